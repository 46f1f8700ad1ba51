/** Checks that read the stand-ins' audit and never the system's own word. */
import type { AuditLine } from "@pebbledale/stand-ins";

/** Two runs of one task that overlapped in time. */
export interface Overlap {
    readonly task: string;
    readonly workers: readonly string[];
}

interface Run {
    readonly task: string;
    readonly worker: string;
    readonly from: number;
    to: number;
}

const runsOf = (audit: readonly AuditLine[]): Run[] => {
    const open = new Map<string, Run>();
    const runs: Run[] = [];
    for (const line of audit) {
        const key = `${line.worker}|${line.task}|${line.attempt}`;
        if (line.event === "start") {
            const run = { task: String(line.task), worker: String(line.worker), from: line.at, to: Infinity };
            open.set(key, run);
            runs.push(run);
        }
        else if (line.event === "end") {
            const run = open.get(key);
            if (run !== undefined) {
                run.to = line.at;
            }
        }
    }
    return runs;
};

/** Tasks that ran in two places at once. */
export const findOverlaps = (audit: readonly AuditLine[]): Overlap[] => {
    const byTask = new Map<string, Run[]>();
    for (const run of runsOf(audit)) {
        byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
    }
    const overlaps: Overlap[] = [];
    for (const [task, runs] of byTask) {
        const inOrder = [...runs].sort((left, right) => left.from - right.from);
        for (let index = 1; index < inOrder.length; index++) {
            if (inOrder[index].from < inOrder[index - 1].to) {
                overlaps.push({ task, workers: [inOrder[index - 1].worker, inOrder[index].worker] });
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
export const jobOf = (task: string): string => task.slice(0, task.lastIndexOf("/"));
