/** Strikes: worker losses that a task may have caused. */
import type { Milliseconds, RunNumber, TaskAddress, WorkerId, WorkerIncarnation } from "@pebbledale/core";

/** One worker that crashed, or may have crashed, while it had a run of the task. Stored in records and snapshots. */
export interface Strike {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly worker: WorkerId;
    /** Incarnation that was lost; absent on platforms that do not name incarnations, and in records of versions without them. */
    readonly life?: WorkerIncarnation;
    /** Address of the worker: what answers there later shows whether it crashed. */
    readonly address: string;
    /** Time from the worker's confirmation of the run to its last answer; undefined when it did not confirm the run. */
    readonly stood: Milliseconds | undefined;
    /** Whether the crash is proved by another incarnation that answers; silence alone may be a network failure. */
    readonly isProved: boolean;
    /** Whether the run was past its start and many other workers fell silent at the same time, which a single task does not cause. */
    readonly isShared: boolean;
    /**
     * Whether something else may have caused the crash: it was one of a series, or suspects of other jobs were on trial beside the task. Omitted when it is false, and in records of earlier versions.
     */
    readonly isAmbiguous?: boolean;
}

/** Strikes against the tasks of one job. Occurrences of a timed job share them, because they run the same work. */
export class StrikeLedger {
    readonly #strikes = new Map<string, Strike[]>();

    get isEmpty(): boolean {
        return this.#strikes.size === 0;
    }

    /** Strikes against a task. */
    of(task: TaskAddress): readonly Strike[] {
        return this.#strikes.get(keyInJob(task)) ?? [];
    }

    all(): Strike[] {
        return [...this.#strikes.values()].flat();
    }

    add(strike: Strike): void {
        const key = keyInJob(strike.task);
        this.#strikes.set(key, [...this.#strikes.get(key) ?? [], strike]);
    }

    /** Resolves the strike of a run: marks it as proved if the worker crashed, removes it otherwise. */
    explain(task: TaskAddress, run: RunNumber, isCrash: boolean): void {
        const matches = (strike: Strike) => strike.task === task && strike.run === run;
        const remaining = this.of(task).filter(strike => isCrash || !matches(strike));
        this.#replace(task, remaining.map(strike => matches(strike) ? { ...strike, isProved: true } : strike));
    }

    clear(task: TaskAddress): void {
        this.#replace(task, []);
    }

    #replace(task: TaskAddress, strikes: Strike[]): void {
        if (strikes.length === 0) {
            this.#strikes.delete(keyInJob(task));
        }
        else {
            this.#strikes.set(keyInJob(task), strikes);
        }
    }
}

/** The step and index of a task's address, without job and occurrence. */
const keyInJob = (task: TaskAddress): string => task.split("/").slice(2).join("/");
