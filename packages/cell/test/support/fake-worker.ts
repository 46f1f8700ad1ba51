/** A worker that keeps the rules of the workers' protocol, in the tests' time. */
import type { FencingToken, Milliseconds, RunNumber, TaskAddress, WorkerId } from "@pebbledale/core";
import {
    type EndedRun,
    OrderRefusal,
    type PollResult,
    RunEnd,
    type StartCommand,
    type TaskSize,
    type WorkerRun,
} from "../../src/index.js";

interface Run {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly startedAt: Milliseconds;
    readonly endsAt: Milliseconds;
    readonly end: RunEnd;
    readonly size: TaskSize;
    readonly payload: string;
}

/** What a fake worker is told of a task that it starts. */
export interface FakeTask {
    readonly size: TaskSize;
    readonly duration: Milliseconds;
    readonly end: RunEnd;
}

/** See the module's comment. */
export class FakeWorker {
    readonly runs: Run[] = [];
    readonly ended: EndedRun[] = [];
    token = 0;
    leaseUntil: Milliseconds = 0;
    isUp = true;
    #count = 0;

    constructor(readonly id: WorkerId, readonly capacity: TaskSize) {}

    /** Takes a start; undefined when it was taken. Starts whatever it is told, as workers without guard do. */
    start(
        command: Pick<StartCommand, "task" | "run" | "payload">,
        token: FencingToken,
        task: FakeTask,
        now: Milliseconds,
    ): OrderRefusal | undefined {
        if (token < this.token) {
            return OrderRefusal.Fenced;
        }
        this.token = token;
        const isThere = this.runs.some(run => run.task === command.task && run.run === command.run);
        if (isThere) {
            return undefined;
        }
        if (this.ended.some(end => end.task === command.task && end.run >= command.run)) {
            return OrderRefusal.OldRun;
        }
        this.runs.push({
            task: command.task,
            run: command.run,
            payload: command.payload,
            startedAt: now,
            endsAt: now + task.duration,
            end: task.end,
            size: task.size,
        });
        return undefined;
    }

    /** Ends a run that it was told to stop. */
    stop(task: TaskAddress, run: RunNumber, token: FencingToken): void {
        if (token < this.token) {
            return;
        }
        this.token = token;
        this.#end(entry => entry.task === task && entry.run === run, RunEnd.Stopped);
    }

    /** Answers a look. */
    poll(
        token: FencingToken,
        forgetThrough: number,
        leaseUntil: Milliseconds,
        now: Milliseconds,
    ): PollResult | undefined {
        if (token < this.token) {
            return undefined;
        }
        this.token = token;
        this.leaseUntil = Math.max(this.leaseUntil, leaseUntil);
        const kept = this.ended.filter(end => end.number > forgetThrough);
        this.ended.splice(0, this.ended.length, ...kept);
        return { clock: now, running: this.runs.map(run => reportedRun(run, now)), ended: [...kept] };
    }

    /** Lets time pass: runs end, and all of them when the lease is over. */
    tick(now: Milliseconds): void {
        for (const run of [...this.runs]) {
            if (run.endsAt <= now) {
                this.#end(entry => entry === run, run.end);
            }
        }
        if (now > this.leaseUntil) {
            this.#end(() => true, RunEnd.Lapsed);
        }
    }

    /** Loses everything, as a crash does. */
    crash(): void {
        this.runs.length = 0;
        this.ended.length = 0;
        this.isUp = false;
    }

    #end(matches: (run: Run) => boolean, end: RunEnd): void {
        for (const run of this.runs.filter(matches)) {
            this.runs.splice(this.runs.indexOf(run), 1);
            this.ended.push({ number: ++this.#count, task: run.task, run: run.run, end, checkpoint: "" });
        }
    }
}

const reportedRun = (run: Run, now: Milliseconds): WorkerRun => ({
    task: run.task,
    run: run.run,
    checkpoint: "",
    percent: Math.min(99, Math.floor(100 * (now - run.startedAt) / Math.max(1, run.endsAt - run.startedAt))),
    measure: 0,
});
