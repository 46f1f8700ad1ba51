/** What is held against a task: workers that crashed, or may have, while a run of it was there. */
import type { Milliseconds, RunNumber, TaskAddress, WorkerId, WorkerIncarnation } from "@pebbledale/core";

/** One worker that was lost with a run of a task on it. */
export interface Strike {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly worker: WorkerId;
    /** The life that was lost; left out where lives have no names, and by programs that did not know of lives. */
    readonly life?: WorkerIncarnation;
    /** Where the worker was: what answers there later tells whether it crashed. */
    readonly address: string;
    /** How long the worker was heard after it had taken the run; undefined when it was not heard to take it. */
    readonly stood: Milliseconds | undefined;
    /** Whether another life of the worker proves the crash; a silence alone may be a cut. */
    readonly isProved: boolean;
    /** Whether the run was past its start and many other workers fell silent with its own, as no one task makes them. */
    readonly isShared: boolean;
}

/**
 * Strikes of the tasks of one job. A task keeps its strikes from one occurrence of a timed job to the next, as each time runs
 * the same work.
 */
export class StrikeLedger {
    readonly #strikes = new Map<string, Strike[]>();

    /** Whether anything is held against any task. */
    get isEmpty(): boolean {
        return this.#strikes.size === 0;
    }

    /** What is held against a task. */
    of(task: TaskAddress): readonly Strike[] {
        return this.#strikes.get(keyInJob(task)) ?? [];
    }

    /** All that is held. */
    all(): Strike[] {
        return [...this.#strikes.values()].flat();
    }

    /** Holds one more against its task. */
    add(strike: Strike): void {
        const place = keyInJob(strike.task);
        this.#strikes.set(place, [...this.#strikes.get(place) ?? [], strike]);
    }

    /** Whether the worker of a strike crashed is known now: a crash is proved, anything else is held against nobody. */
    explain(task: TaskAddress, run: RunNumber, isCrash: boolean): void {
        const isMeant = (strike: Strike) => strike.task === task && strike.run === run;
        const kept = this.of(task).filter(strike => isCrash || !isMeant(strike));
        this.#replace(task, kept.map(strike => isMeant(strike) ? { ...strike, isProved: true } : strike));
    }

    /** Nothing is held against a task any more. */
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

/** A task's step and index, without its job and occurrence. */
const keyInJob = (task: TaskAddress): string => task.split("/").slice(2).join("/");
