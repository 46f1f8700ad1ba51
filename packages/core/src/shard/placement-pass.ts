/** Places what waits for room at workers, and knows the rate at which that goes. */
import { type Attempt, indexOfTask } from "../ids/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import { maxRetryAfter, maxUnplacedUnits, placementCycleInterval, startRateWeight } from "./constants.js";
import type { JobLifecycle } from "./job-lifecycle.js";
import type { PendingUnit } from "./pending-queue.js";
import type { RecordedPlacement } from "./records.js";
import type { ShardContext } from "./shard-context.js";
import type { TransitionBuilder } from "./step-builder.js";
import type { JobEntry, Transition } from "./types.js";
import { type WorkerSelection, WorkerSelector } from "./worker-chooser.js";

/** See the module's comment. */
export class PlacementCycle {
    readonly #selector: WorkerSelector;
    #startsSinceTick = 0;
    #startsPerSecond = 0;
    #lastTick: Milliseconds;
    /** When the last pass was, and the room and the queue at its end. */
    #lastCycle = { at: -Infinity, room: -1, ticket: -1 };

    constructor(private readonly context: ShardContext, private readonly jobs: JobLifecycle) {
        this.#selector = new WorkerSelector(context.workers, context.gangReservation);
        this.#lastTick = context.openedAt;
    }

    /** Places what fits. `mayRecord` is false while the journal takes no records: then nothing is placed. */
    run(mayRecord: boolean): Transition {
        const builder = this.context.beginTransition();
        if (mayRecord && this.context.mayGrantLeases() && this.context.queue.length > 0) {
            const now = this.context.now();
            if (this.#isDue(now)) {
                this.context.gangReservation.expire(now);
                this.context.queue.offer(unit => this.#place(unit, now, builder), maxUnplacedUnits);
                this.#lastCycle = {
                    at: now,
                    room: this.context.workers.index.capacityVersion,
                    ticket: this.jobs.nextSequence,
                };
            }
        }
        return builder.build();
    }

    /** What did not fit before can only fit now if room came free; the rest waits for the next regular pass. */
    #isDue(now: Milliseconds): boolean {
        const { at, room, ticket } = this.#lastCycle;
        return now - at >= placementCycleInterval || room !== this.context.workers.index.capacityVersion
            || ticket !== this.jobs.nextSequence;
    }

    /** Wait that is told to one who is refused or comes later, from the rate at which the queue drains. */
    expectedWait(place: number): Milliseconds {
        const rate = Math.max(this.#startsPerSecond, 0.1);
        return Math.min(maxRetryAfter, Math.ceil(place / rate * 1000));
    }

    /** Takes in how many tasks were placed since the last call, about once a second. */
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
        const choice = this.#selector.select({ unit, job, settings, avoided, now });
        if (choice === undefined) {
            if (unit.tasks.length > 1 && now - unit.since >= settings.gangPatience) {
                this.context.gangReservation.reserve(job.job, size, unit.tasks.length, now);
            }
            return false;
        }
        this.context.gangReservation.release(unit.job);
        this.#recordPlacements(job, unit, choice, size, builder);
        return true;
    }

    #recordPlacements(
        job: JobEntry,
        unit: PendingUnit,
        choice: WorkerSelection,
        grant: Resources,
        builder: TransitionBuilder,
    ): void {
        const { workers, reason } = choice;
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
