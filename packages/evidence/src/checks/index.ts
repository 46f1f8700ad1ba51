/** Checks that read the stand-ins' audit and never the system's own word. */
import type { AuditLine } from "@pebbledale/stand-ins";

/** Two runs of one task that overlapped in time. */
export interface Overlap {
    readonly task: string;
    readonly workers: readonly string[];
}

interface TaskRun {
    readonly task: string;
    readonly worker: string;
    readonly startedAt: number;
    endedAt: number;
}

const listRuns = (audit: readonly AuditLine[]): TaskRun[] => {
    const runsByAttempt = new Map<string, TaskRun>();
    const runs: TaskRun[] = [];
    for (const line of audit) {
        const key = `${line.worker}|${line.task}|${line.attempt}`;
        if (line.event === "start") {
            const run = { task: String(line.task), worker: String(line.worker), startedAt: line.at, endedAt: Infinity };
            runsByAttempt.set(key, run);
            runs.push(run);
        }
        else if (line.event === "end") {
            const run = runsByAttempt.get(key);
            if (run !== undefined) {
                run.endedAt = line.at;
            }
        }
    }
    return runs;
};

/** Tasks that ran in two places at once. */
export const findOverlaps = (audit: readonly AuditLine[]): Overlap[] => {
    const runsByTask = new Map<string, TaskRun[]>();
    for (const run of listRuns(audit)) {
        runsByTask.set(run.task, [...(runsByTask.get(run.task) ?? []), run]);
    }
    const overlaps: Overlap[] = [];
    for (const [task, runs] of runsByTask) {
        const sortedRuns = [...runs].sort((left, right) => left.startedAt - right.startedAt);
        for (let index = 1; index < sortedRuns.length; index++) {
            if (sortedRuns[index].startedAt < sortedRuns[index - 1].endedAt) {
                overlaps.push({ task, workers: [sortedRuns[index - 1].worker, sortedRuns[index].worker] });
            }
        }
    }
    return overlaps;
};

/** Number of starts by task. */
export const countStarts = (audit: readonly AuditLine[]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const line of audit.filter(entry => entry.event === "start")) {
        counts.set(String(line.task), (counts.get(String(line.task)) ?? 0) + 1);
    }
    return counts;
};

/** Starts after which a worker's grants were more than it has. */
export const countOverCapacity = (audit: readonly AuditLine[]): number =>
    audit.filter(line => line.event === "start" && line.isOver === true).length;

/** The job of a task's id. */
export const jobIdOf = (task: string): string => task.slice(0, task.lastIndexOf("/"));
