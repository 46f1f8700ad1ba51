/** Placement of pending units on workers. */
import { type Attempt, indexOfTask } from "../ids/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import { maxRetryAfter, maxUnplacedUnits, placementCycleInterval, startRateWeight } from "./constants.js";
import type { JobLifecycle } from "./job-lifecycle.js";
import type { PendingUnit } from "./pending-queue.js";
import type { RecordedPlacement } from "./records.js";
import type { ShardContext } from "./shard-context.js";
import type { TransitionBuilder } from "./transition-builder.js";
import type { JobEntry, Transition } from "./types.js";
import { type WorkerSelection, WorkerSelector } from "./worker-selector.js";

/** Runs placement cycles over the queue, and estimates waits from the rate at which tasks are placed. */
export class PlacementCycle {
    readonly #selector: WorkerSelector;
    #startsSinceTick = 0;
    #startsPerSecond = 0;
    #lastTick: Milliseconds;
    /** Time of the last cycle, with the versions of capacity and queue at its end. */
    #lastCycle = { at: -Infinity, capacityVersion: -1, nextSequence: -1 };

    constructor(private readonly context: ShardContext, private readonly jobs: JobLifecycle) {
        this.#selector = new WorkerSelector(context.workers, context.gangReservation);
        this.#lastTick = context.openedAt;
    }

    /** Runs a placement cycle if one is due. Nothing is placed while the journal accepts no records (`mayRecord` false). */
    run(mayRecord: boolean): Transition {
        const builder = this.context.beginTransition();
        if (mayRecord && this.context.mayGrantLeases() && this.context.queue.length > 0) {
            const now = this.context.now();
            if (this.#isDue(now)) {
                this.context.gangReservation.expire(now);
                this.context.queue.offer(unit => this.#place(unit, now, builder), maxUnplacedUnits);
                this.#lastCycle = {
                    at: now,
                    capacityVersion: this.context.workers.index.capacityVersion,
                    nextSequence: this.jobs.nextSequence,
                };
            }
        }
        return builder.build();
    }

    /** A unit that could not be placed can only fit once capacity was freed; other changes wait for the regular interval. */
    #isDue(now: Milliseconds): boolean {
        const { at, capacityVersion, nextSequence } = this.#lastCycle;
        return now - at >= placementCycleInterval || capacityVersion !== this.context.workers.index.capacityVersion
            || nextSequence !== this.jobs.nextSequence;
    }

    /** Estimates the wait at a position of the queue from the rate of placements. */
    expectedWait(position: number): Milliseconds {
        const rate = Math.max(this.#startsPerSecond, 0.1);
        return Math.min(maxRetryAfter, Math.ceil(position / rate * 1000));
    }

    /** Updates the rate of placements, at most once a second. */
    updateStartRate(now: Milliseconds): void {
        const elapsed = now - this.#lastTick;
        if (elapsed < 1000) {
            return;
        }
        const rate = this.#startsSinceTick / elapsed * 1000;
        this.#startsPerSecond += (rate - this.#startsPerSecond) * startRateWeight;
        this.#startsSinceTick = 0;
        this.#lastTick = now;
    }

    #place(unit: PendingUnit, now: Milliseconds, builder: TransitionBuilder): boolean {
        const job = this.context.jobOf(unit.job);
        const { size } = unit;
        const { team } = job.submission;
        if (
            !this.context.teamUsage.isWithinQuota(team, size, unit.tasks.length, this.context.options.settings().quotas)
        ) {
            return false;
        }
        const settings = this.context.options.settings(job.submission.class);
        const avoided = this.context.health.failedWorkersOf(job.job);
        const selection = this.#selector.select({ unit, job, settings, avoided, now });
        if (selection === undefined) {
            if (unit.tasks.length > 1 && now - unit.since >= settings.gangReservationDelay) {
                this.context.gangReservation.reserve(job.job, size, unit.tasks.length, now);
            }
            return false;
        }
        this.context.gangReservation.release(unit.job);
        this.#recordPlacements(job, unit, selection, size, builder);
        return true;
    }

    #recordPlacements(
        job: JobEntry,
        unit: PendingUnit,
        selection: WorkerSelection,
        grant: Resources,
        builder: TransitionBuilder,
    ): void {
        const { workers, reason } = selection;
        const tasks = unit.tasks.map(task => job.tasks[indexOfTask(task)]);
        const placements = tasks.map((task, index): RecordedPlacement => ({
            task: task.task,
            attempt: (task.attempt + 1) as Attempt,
            worker: workers[index].worker,
            incarnation: workers[index].incarnation!,
            grant,
        }));
        builder.record({ kind: "starting", at: this.context.timestamp(), job: job.job, placements, reason });
        placements.forEach(({ worker, task, attempt }, index) => {
            this.context.workers.charge(workers[index], tasks[index], grant);
            this.context.teamUsage.charge(job.submission.team, grant);
            builder.effect({ kind: "start", worker, task, attempt });
        });
        this.#startsSinceTick += placements.length;
    }
}
