/** Checks on the stand-ins' audit files, independent of what the system itself reports. */
import type { AuditLine } from "@pebbledale/stand-ins";

/** Two runs of one task that overlapped in time, and the workers they ran on. */
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

/**
 * Finds runs that started before an earlier run of the same task had ended. A run without an end overlaps all later
 * ones.
 */
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

/** Counts starts by task ID, over all attempts. */
export const countStarts = (audit: readonly AuditLine[]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const line of audit.filter(entry => entry.event === "start")) {
        counts.set(String(line.task), (counts.get(String(line.task)) ?? 0) + 1);
    }
    return counts;
};

/** Counts starts after which the sum of a worker's grants exceeded its capacity. */
export const countOverCapacity = (audit: readonly AuditLine[]): number =>
    audit.filter(line => line.event === "start" && line.isOver === true).length;

/** The job ID within a task ID, `JOB/INDEX`. */
export const jobIdOf = (task: string): string => task.slice(0, task.lastIndexOf("/"));
