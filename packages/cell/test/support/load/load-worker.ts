/** Simulated worker of a replay. */
import type { Milliseconds, RunNumber, TaskAddress } from "@pebbledale/core";
import type { EndedRun, PollResult, RunEnd, StepDefinition, WorkerEntry } from "../../../src/index.js";

/** Interval at which tasks that save progress write a checkpoint. */
const checkpointInterval: Milliseconds = 2_000;

/** A run of the replay. */
export interface LoadRun {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly worker: LoadWorker;
    readonly step: StepDefinition;
    /** Share of the task that is restored from a checkpoint, from 0 to 1. */
    readonly restored: number;
    readonly arrivedAt: Milliseconds;
    /** When it started to work; undefined while members of its gang are missing. */
    startedAt: Milliseconds | undefined;
    /** When it will be done. */
    endsAt: Milliseconds;
}

/** Holds runs, reports them when polled, and numbers their ends. */
export class LoadWorker {
    readonly runs = new Map<string, LoadRun>();
    isUp = true;
    /** Until then its work takes {@link coldFactor} times as long. */
    coldUntil: Milliseconds = 0;
    coldFactor = 1;
    #ended: EndedRun[] = [];
    #count = 0;

    constructor(readonly entry: WorkerEntry, readonly slowness: number) {}

    add(run: LoadRun): void {
        this.runs.set(runKey(run.task, run.run), run);
    }

    /** Duration of work that takes `duration` on a worker of full speed, beginning now. */
    durationOf(duration: Milliseconds, now: Milliseconds): Milliseconds {
        const usual = duration * this.slowness;
        const coldTime = Math.max(0, this.coldUntil - now);
        const isAllCold = usual * this.coldFactor <= coldTime;
        return isAllCold ? usual * this.coldFactor : usual + coldTime * (1 - 1 / this.coldFactor);
    }

    runOf(task: TaskAddress, run: RunNumber): LoadRun | undefined {
        return this.runs.get(runKey(task, run));
    }

    /** Ends a run; false when the worker does not have it. */
    end(run: LoadRun, end: RunEnd, checkpoint: string): boolean {
        const isHere = this.runs.delete(runKey(run.task, run.run));
        if (isHere) {
            this.#ended.push({ number: ++this.#count, task: run.task, run: run.run, end, checkpoint });
        }
        return isHere;
    }

    /** Answers a poll. Each end is reported once, since no message is lost in a replay. */
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

/** Completed share of a run's task, from 0 to 1, including the restored part. */
export const shareCompleted = ({ startedAt, endsAt, restored }: LoadRun, now: Milliseconds): number => {
    const done = startedAt === undefined
        ? 0
        : Math.min(1, Math.max(0, (now - startedAt) / Math.max(1, endsAt - startedAt)));
    return restored + (1 - restored) * done;
};

/** The latest checkpoint that a run wrote; empty when there is none. */
const savedCheckpoint = (run: LoadRun, now: Milliseconds): string => {
    if (!run.step.savesProgress || run.startedAt === undefined) {
        return "";
    }
    const intervals = Math.floor((now - run.startedAt) / checkpointInterval);
    return intervals === 0 ? "" : String(shareCompleted(run, run.startedAt + intervals * checkpointInterval));
};

const runKey = (task: TaskAddress, run: RunNumber): string => `${task}#${run}`;
