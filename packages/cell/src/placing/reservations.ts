/**
 * Keeps room for what is wide and does not fit yet, and lets others use it meanwhile.
 *
 * For a gang the earliest time is worked out at which workers that it may run on will have room for all of it, from when
 * the runs there are expected to end. Until then those workers take only what will have ended by that time, or what
 * leaves enough room at that time. A plan stands from pass to pass: its tickets are for its workers, and room that is
 * kept at others each time is free nowhere. Steps that go before the gang may still use its room, for want of other.
 */
import type { Milliseconds } from "@pebbledale/core";
import {
    backfillMargin,
    CapacityForecast,
    countFittingIn,
    isEligible,
    type RankedStep,
    type ReservationPlan,
    type ResourceAmounts,
    resourcesWithout,
    type StartSlot,
    type StopPredicate,
} from "../choosing/index.js";
import type { CellContext, Step, WorkerState } from "../state/index.js";
import type { PreemptionPolicy } from "../yielding/index.js";
import {
    attemptsPerReservation,
    maxReservedShare,
    minPreemptionGain,
    minReservations,
    planLifetime,
    workersPerReservation,
} from "./constants.js";

/** Room of one worker that is kept. */
interface Reservation {
    readonly step: Step;
    /** When the kept room is expected to be needed, by the owner's monotonic clock. */
    readonly availableAt: Milliseconds;
    /** What is expected to be free then besides what is kept. */
    spare: ResourceAmounts;
}

/** A plan as it stands from pass to pass. */
interface ActivePlan extends ReservationPlan {
    readonly madeAt: Milliseconds;
}

/** A step's place in the order of a pass. */
interface PositionedStep extends RankedStep {
    readonly position: number;
}

/** Added to the cost of a worker whose room is kept for a step further behind. */
const reservedCost = 400;

/** See the module's comment. */
export class Reservations {
    readonly #forecast = new CapacityForecast();
    readonly #reservations = new Map<WorkerState, Reservation>();
    /** The steps of this pass with what decides their order, and their places in it. */
    readonly #ranks = new Map<Step, PositionedStep>();
    #plans = new Map<Step, ActivePlan>();
    #attempts = 0;

    constructor(private readonly context: CellContext, private readonly policy: PreemptionPolicy) {}

    /** Begins a pass over steps in their order: plans that can still be kept stand. */
    beginCycle(ranked: readonly RankedStep[], now: Milliseconds): void {
        this.#forecast.clear();
        this.#reservations.clear();
        this.#ranks.clear();
        this.#attempts = 0;
        const former = this.#plans;
        this.#plans = new Map();
        ranked.forEach((entry, place) => this.#ranks.set(entry.step, { ...entry, position: place }));
        for (const { step } of ranked) {
            const plan = former.get(step);
            if (plan !== undefined && this.#isStillValid(step, plan, now)) {
                this.#reserve(step, { ...plan, availableAt: this.#availableAt(step, plan, now) }, now);
            }
        }
    }

    /**
     * Keeps room for `count` tasks of a step where they will fit first; undefined when they nowhere will, or not in time. `notAfter`: by
     * when they have to begin to be of use.
     */
    plan(step: Step, count: number, now: Milliseconds, notAfter = Infinity): ReservationPlan | undefined {
        return this.#plans.get(step) ?? this.#createPlan(step, count, now, notAfter);
    }

    /** How many tasks of a step a worker takes at most, so that what is kept there stays kept. */
    limitFor(worker: WorkerState, step: Step, now: Milliseconds): number {
        const kept = this.#conflictingReservation(worker, step, now);
        return kept === undefined || this.#precedes(step, kept.step) ? Infinity : countFittingIn(kept.spare, step);
    }

    /** What is added to a worker's cost for a step that may use room which is kept for one behind it. */
    costOf(worker: WorkerState, step: Step, now: Milliseconds): number {
        const kept = this.#conflictingReservation(worker, step, now);
        return kept !== undefined && countFittingIn(kept.spare, step) === 0 ? reservedCost : 0;
    }

    /** Tasks of a step were placed at a worker. */
    notePlaced(worker: WorkerState, step: Step, count: number, now: Milliseconds): void {
        this.#forecast.invalidate(worker);
        const kept = this.#conflictingReservation(worker, step, now);
        if (kept !== undefined) {
            kept.spare = resourcesWithout(kept.spare, step, count);
        }
    }

    /** The reservation that tasks of a step would use room of; undefined when they will have ended by then. */
    #conflictingReservation(worker: WorkerState, step: Step, now: Milliseconds): Reservation | undefined {
        const kept = this.#reservations.get(worker);
        return kept === undefined || kept.step === step || endsBefore(step, worker, kept, now) ? undefined : kept;
    }

    #precedes(step: Step, other: Step): boolean {
        return (this.#ranks.get(step)?.position ?? Infinity) < (this.#ranks.get(other)?.position ?? Infinity);
    }

    /** Whether a step may have room that is kept for another: it can earn more, or is more urgent. */
    #outranks(step: Step, other: Step): boolean {
        const rank = this.#ranks.get(step);
        const otherRank = this.#ranks.get(other);
        return rank !== undefined && otherRank !== undefined
            && (rank.deadlineStatus - otherRank.deadlineStatus || rank.priority - otherRank.priority) < 0;
    }

    #createPlan(step: Step, count: number, now: Milliseconds, notAfter: Milliseconds): ActivePlan | undefined {
        if (!this.#mayReserveMore(step)) {
            return undefined;
        }
        this.#attempts++;
        const waiting = this.#draftPlan(step, count, now, false);
        const stopping = this.#draftPlan(step, count, now, true);
        const isWorthStops =
            (stopping?.availableAt ?? Infinity) + minPreemptionGain < (waiting?.availableAt ?? Infinity);
        const plan = isWorthStops ? stopping : waiting;
        if (plan !== undefined && plan.availableAt > notAfter) {
            return undefined;
        }
        if (plan !== undefined) {
            this.#reserve(step, plan, now);
        }
        return plan;
    }

    /** Where and when tasks of a step will fit, with or without stops of what gives way; undefined when they will not. */
    #draftPlan(step: Step, count: number, now: Milliseconds, preempts: boolean): ActivePlan | undefined {
        const openings = this.#startSlots(step, count, now, preempts).slice(0, count);
        const last = openings.at(-1);
        // A gang starts whole; of other tasks those that will fit are served.
        if (last === undefined || step.definition.isGang && openings.length < count) {
            return undefined;
        }
        const shares = new Map<WorkerState, number>();
        openings.forEach(({ worker }) => shares.set(worker, (shares.get(worker) ?? 0) + 1));
        return { madeAt: now, availableAt: last.at, tasksByWorker: shares, preempts };
    }

    /**
     * Whether room may be kept for one more step: beyond these limits the cell would idle. A plan at one worker is limited
     * by the share of kept workers alone. What is kept for steps that this one outranks does not count: it may have that.
     */
    #mayReserveMore(step: Step): boolean {
        const { size } = this.context.workers;
        const most = Math.max(minReservations, Math.floor(size / workersPerReservation));
        const kept = [...this.#reservations.values()].filter(({ step: other }) => !this.#outranks(step, other)).length;
        const wide = [...this.#plans]
            .filter(([other, plan]) => plan.tasksByWorker.size > 1 && !this.#outranks(step, other))
            .length;
        return kept <= size * maxReservedShare && wide < most && this.#attempts < most * attemptsPerReservation;
    }

    /** Times at which single tasks of a step will fit, the earliest first. */
    #startSlots(step: Step, count: number, now: Milliseconds, preempts: boolean): StartSlot[] {
        const openings: StartSlot[] = [];
        const isStopped = this.#stopPredicateFor(step, preempts, now);
        for (const worker of this.#candidatesOf(step)) {
            if (this.#isUsable(worker, step, now)) {
                openings.push(...this.#forecast.startSlotsOf(worker, step, count, now, isStopped));
            }
        }
        return openings.sort((left, right) => left.at - right.at);
    }

    #candidatesOf({ permits }: Step): Iterable<WorkerState> {
        return permits === undefined ? this.context.workers.values() : this.context.findWorkers(permits.permitted);
    }

    #stopPredicateFor(step: Step, preempts: boolean, now: Milliseconds): StopPredicate | undefined {
        return preempts ? run => this.policy.mayPreemptFor(run, step, now) : undefined;
    }

    #isUsable(worker: WorkerState, step: Step, now: Milliseconds): boolean {
        const isPermitted = step.permits === undefined || step.permits.isPermitted(worker.id);
        const kept = this.#reservations.get(worker);
        const isOpen = kept === undefined || this.#outranks(step, kept.step);
        return isPermitted && isOpen && isEligible(worker, step, step.job.terms.service, now);
    }

    /** Whether a plan of an earlier pass can still be kept. */
    #isStillValid(step: Step, { madeAt, tasksByWorker: shares }: ActivePlan, now: Milliseconds): boolean {
        const planned = [...shares.values()].reduce((sum, tasks) => sum + tasks, 0);
        const waiting = step.waitingTasks().length;
        return now - madeAt < planLifetime
            && (step.definition.isGang ? planned === waiting : planned <= waiting)
            && [...shares.keys()].every(worker => this.#isUsable(worker, step, now));
    }

    /** When the workers of a plan will have its room, as of now. */
    #availableAt(step: Step, { tasksByWorker: shares, preempts }: ActivePlan, now: Milliseconds): Milliseconds {
        const isStopped = this.#stopPredicateFor(step, preempts, now);
        let from = now;
        for (const [worker, tasks] of shares) {
            const opening = this.#forecast.startSlotsOf(worker, step, tasks, now, isStopped)[tasks - 1];
            from = Math.max(from, opening?.at ?? Infinity);
        }
        return from;
    }

    #reserve(step: Step, plan: ActivePlan, now: Milliseconds): void {
        this.#plans.set(step, plan);
        for (const [worker, tasks] of plan.tasksByWorker) {
            this.#dropPlanAt(worker);
            const spare = resourcesWithout(this.#forecast.resourcesAt(worker, plan.availableAt, now), step, tasks);
            this.#reservations.set(worker, { step, availableAt: plan.availableAt, spare });
        }
    }

    /** Drops the plan that keeps room of a worker: the step may have another. */
    #dropPlanAt(worker: WorkerState): void {
        const kept = this.#reservations.get(worker);
        if (kept === undefined) {
            return;
        }
        const plan = this.#plans.get(kept.step);
        this.#plans.delete(kept.step);
        for (const other of plan?.tasksByWorker.keys() ?? []) {
            this.#reservations.delete(other);
        }
    }
}

/** Whether tasks of a step that start now will have ended when the kept room is needed. */
const endsBefore = (
    { definition }: Step,
    { slowness }: WorkerState,
    { availableAt: from }: Reservation,
    now: Milliseconds,
): boolean => !definition.isLasting && now + definition.estimate * slowness * backfillMargin <= from;
