/** A worker on which tasks take the time that their pattern says. */
import type { Milliseconds, RunNumber, TaskAddress } from "@pebbledale/core";
import type { EndedRun, PollResult, RunEnd, StepDefinition, WorkerEntry } from "../../../src/index.js";

/** Progress of tasks that save it is saved after each stretch of work of this length (the users' `CheckpointS`). */
const checkpointInterval: Milliseconds = 2_000;

/** One run as the replay knows it. */
export interface LoadRun {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly worker: LoadWorker;
    readonly step: StepDefinition;
    /** Share of the task that earlier runs had saved, from 0 to 1. */
    readonly restored: number;
    readonly arrivedAt: Milliseconds;
    /** When it is at work; undefined while its gang is not whole. */
    startedAt: Milliseconds | undefined;
    /** When it would be done. */
    endsAt: Milliseconds;
}

/** See the module's comment. */
export class LoadWorker {
    readonly runs = new Map<string, LoadRun>();
    isUp = true;
    #ended: EndedRun[] = [];
    #count = 0;

    constructor(readonly entry: WorkerEntry, readonly slowness: number) {}

    /** Takes a run in. */
    add(run: LoadRun): void {
        this.runs.set(runKey(run.task, run.run), run);
    }

    /** A run that is here. */
    runOf(task: TaskAddress, run: RunNumber): LoadRun | undefined {
        return this.runs.get(runKey(task, run));
    }

    /** Ends a run that is here; false when it is not. */
    end(run: LoadRun, end: RunEnd, checkpoint: string): boolean {
        const isHere = this.runs.delete(runKey(run.task, run.run));
        if (isHere) {
            this.#ended.push({ number: ++this.#count, task: run.task, run: run.run, end, checkpoint });
        }
        return isHere;
    }

    /** What a look shows. Ends are shown once: no message is lost here. */
    poll(now: Milliseconds): PollResult {
        const ended = this.#ended;
        this.#ended = [];
        const running = [...this.runs.values()].map(run => ({
            task: run.task,
            run: run.run,
            checkpoint: savedCheckpoint(run, now),
            percent: Math.floor(100 * shareCompleted(run, now)),
            measure: 0,
        }));
        return { clock: now, running, ended };
    }
}

/** How much of its task a run has done, from 0 to 1. */
export const shareCompleted = ({ startedAt: began, endsAt, restored }: LoadRun, now: Milliseconds): number => {
    const done = began === undefined ? 0 : Math.min(1, Math.max(0, (now - began) / Math.max(1, endsAt - began)));
    return restored + (1 - restored) * done;
};

/** The progress that a run saved by itself, as its checkpoint. */
const savedCheckpoint = (run: LoadRun, now: Milliseconds): string => {
    if (!run.step.savesProgress || run.startedAt === undefined) {
        return "";
    }
    const stretches = Math.floor((now - run.startedAt) / checkpointInterval);
    return stretches === 0 ? "" : String(shareCompleted(run, run.startedAt + stretches * checkpointInterval));
};

const runKey = (task: TaskAddress, run: RunNumber): string => `${task}#${run}`;
