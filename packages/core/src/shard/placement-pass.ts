/** Placement of pending units on workers. */
import { type Attempt, indexOfTask } from "../ids/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import { longestRetryAfter, passDepth, passInterval, rateWeight } from "./constants.js";
import type { JobLifecycle } from "./job-lifecycle.js";
import type { PendingUnit } from "./pending-queue.js";
import type { RecordedPlacement } from "./records.js";
import type { ShardContext } from "./shard-context.js";
import type { StepBuilder } from "./step-builder.js";
import type { JobEntry, Step } from "./types.js";
import { type Choice, WorkerChooser } from "./worker-chooser.js";

/** Runs placement cycles over the queue, and estimates waits from the rate at which tasks are placed. */
export class PlacementPass {
    readonly #chooser: WorkerChooser;
    #startsSinceTick = 0;
    #startsPerSecond = 0;
    #lastTick: Milliseconds;
    /** Time of the last cycle, with the versions of capacity and queue at its end. */
    #lastPass = { at: -Infinity, room: -1, ticket: -1 };

    constructor(private readonly context: ShardContext, private readonly jobs: JobLifecycle) {
        this.#chooser = new WorkerChooser(context.workers, context.saver);
        this.#lastTick = context.openedAt;
    }

    /** Runs a placement cycle if one is due. Nothing is placed while the journal accepts no records (`mayRecord` false). */
    run(mayRecord: boolean): Step {
        const builder = this.context.builder();
        if (mayRecord && this.context.mayRenew() && this.context.queue.length > 0) {
            const now = this.context.now();
            if (this.#isPassDue(now)) {
                this.context.saver.refresh(now);
                this.context.queue.offer(unit => this.#place(unit, now, builder), passDepth);
                this.#lastPass = {
                    at: now,
                    room: this.context.workers.index.roomVersion,
                    ticket: this.jobs.nextTicket,
                };
            }
        }
        return builder.step();
    }

    /** A unit that could not be placed can only fit once capacity was freed; other changes wait for the regular interval. */
    #isPassDue(now: Milliseconds): boolean {
        const { at, room, ticket } = this.#lastPass;
        return now - at >= passInterval || room !== this.context.workers.index.roomVersion
            || ticket !== this.jobs.nextTicket;
    }

    /** Estimates the wait at a position of the queue from the rate of placements. */
    expectedWait(place: number): Milliseconds {
        const rate = Math.max(this.#startsPerSecond, 0.1);
        return Math.min(longestRetryAfter, Math.ceil(place / rate * 1000));
    }

    /** Updates the rate of placements, at most once a second. */
    measureRate(now: Milliseconds): void {
        const elapsed = now - this.#lastTick;
        if (elapsed < 1000) {
            return;
        }
        const rate = this.#startsSinceTick / elapsed * 1000;
        this.#startsPerSecond += (rate - this.#startsPerSecond) * rateWeight;
        this.#startsSinceTick = 0;
        this.#lastTick = now;
    }

    #place(unit: PendingUnit, now: Milliseconds, builder: StepBuilder): boolean {
        const job = this.context.jobOf(unit.job);
        const { size } = unit;
        const { team } = job.submission;
        if (
            !this.context.teams.isWithinQuota(team, size, unit.tasks.length, this.context.options.settings().quotas)
        ) {
            return false;
        }
        const settings = this.context.options.settings(job.submission.class);
        const avoided = this.context.health.failedWorkersOf(job.job);
        const choice = this.#chooser.choose({ unit, job, settings, avoided, now });
        if (choice === undefined) {
            if (unit.tasks.length > 1 && now - unit.since >= settings.gangPatience) {
                this.context.saver.save(job.job, size, unit.tasks.length, now);
            }
            return false;
        }
        this.context.saver.done(unit.job);
        this.#recordPlacements(job, unit, choice, size, builder);
        return true;
    }

    #recordPlacements(job: JobEntry, unit: PendingUnit, choice: Choice, grant: Resources, builder: StepBuilder): void {
        const { workers, reason } = choice;
        const tasks = unit.tasks.map(task => job.tasks[indexOfTask(task)]);
        const placements = tasks.map((task, index): RecordedPlacement => ({
            task: task.task,
            attempt: (task.attempt + 1) as Attempt,
            worker: workers[index].worker,
            incarnation: workers[index].incarnation!,
            grant,
        }));
        builder.record({ kind: "starting", at: this.context.at(), job: job.job, placements, reason });
        placements.forEach(({ worker, task, attempt }, index) => {
            this.context.workers.charge(workers[index], tasks[index], grant);
            this.context.teams.take(job.submission.team, grant);
            builder.effect({ kind: "start", worker, task, attempt });
        });
        this.#startsSinceTick += placements.length;
    }
}
