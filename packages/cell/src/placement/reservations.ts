/** Reservations of resources with backfilling. */
import type { Milliseconds } from "@pebbledale/core";
import type { PreemptionPolicy } from "../preemption/index.js";
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
} from "../selection/index.js";
import type { CellContext, Step, WorkerState } from "../state/index.js";
import {
    attemptsPerReservation,
    maxReservedShare,
    minPreemptionGain,
    minReservations,
    planLifetime,
    workersPerReservation,
} from "./constants.js";

/** A reservation of one worker's resources. */
interface Reservation {
    readonly step: Step;
    /** When the reserved resources are expected to be needed, by the owner's monotonic clock. */
    readonly availableAt: Milliseconds;
    /** Resources expected to be free then in addition to the reserved ones. */
    spare: ResourceAmounts;
}

/** A plan that is kept over several cycles. */
interface ActivePlan extends ReservationPlan {
    readonly madeAt: Milliseconds;
}

/** A step with its position in the order of a cycle. */
interface PositionedStep extends RankedStep {
    readonly position: number;
}

/** Cost added to a worker that is reserved for a step later in the order. */
const reservedCost = 400;

/**
 * Reserves resources for gangs and wide steps that do not fit yet, and lets others backfill them meanwhile.
 *
 * A plan names the workers that will have the resources earliest, by the expected ends of their runs. Until then those workers take
 * only tasks that will have ended by that time or that leave enough free at that time. Plans are kept over cycles, as tickets
 * are obtained for their workers and resources do not accumulate if a reservation moves to other workers in each cycle. Steps ahead of
 * the planned one may still use its workers, at a higher cost.
 */
export class Reservations {
    readonly #forecast = new CapacityForecast();
    readonly #reservations = new Map<WorkerState, Reservation>();
    /** The steps of this cycle. */
    readonly #ranks = new Map<Step, PositionedStep>();
    #plans = new Map<Step, ActivePlan>();
    #attempts = 0;

    constructor(private readonly context: CellContext, private readonly policy: PreemptionPolicy) {}

    /** Begins a cycle over steps in their order. Plans that are still valid are kept. */
    beginCycle(ranked: readonly RankedStep[], now: Milliseconds): void {
        this.#forecast.clear();
        this.#reservations.clear();
        this.#ranks.clear();
        this.#attempts = 0;
        const previous = this.#plans;
        this.#plans = new Map();
        ranked.forEach((entry, position) => this.#ranks.set(entry.step, { ...entry, position }));
        for (const { step } of ranked) {
            const plan = previous.get(step);
            if (plan !== undefined && this.#isStillValid(step, plan, now)) {
                this.#reserve(step, { ...plan, availableAt: this.#availableAt(step, plan, now) }, now);
            }
        }
    }

    /**
     * Reserves resources for `count` tasks of a step where they fit earliest. Undefined when they will not fit by `notAfter`, or when
     * no further reservation is allowed.
     */
    plan(step: Step, count: number, now: Milliseconds, notAfter = Infinity): ReservationPlan | undefined {
        return this.#plans.get(step) ?? this.#createPlan(step, count, now, notAfter);
    }

    /** Upper bound of a step's tasks on a worker, so that reservations of steps ahead are respected. */
    limitFor(worker: WorkerState, step: Step, now: Milliseconds): number {
        const reservation = this.#conflictingReservation(worker, step, now);
        return reservation === undefined || this.#precedes(step, reservation.step)
            ? Infinity
            : countFittingIn(reservation.spare, step);
    }

    /** Cost of a worker for a step that would use resources reserved there. */
    costOf(worker: WorkerState, step: Step, now: Milliseconds): number {
        const reservation = this.#conflictingReservation(worker, step, now);
        return reservation !== undefined && countFittingIn(reservation.spare, step) === 0 ? reservedCost : 0;
    }

    /** Accounts for tasks of a step that were placed at a worker. */
    notePlaced(worker: WorkerState, step: Step, count: number, now: Milliseconds): void {
        this.#forecast.invalidate(worker);
        const reservation = this.#conflictingReservation(worker, step, now);
        if (reservation !== undefined) {
            reservation.spare = resourcesWithout(reservation.spare, step, count);
        }
    }

    /** The reservation that a step's tasks would compete with; undefined when they will have ended by then. */
    #conflictingReservation(worker: WorkerState, step: Step, now: Milliseconds): Reservation | undefined {
        const reservation = this.#reservations.get(worker);
        return reservation === undefined || reservation.step === step || endsBefore(step, worker, reservation, now)
            ? undefined
            : reservation;
    }

    #precedes(step: Step, other: Step): boolean {
        return (this.#ranks.get(step)?.position ?? Infinity) < (this.#ranks.get(other)?.position ?? Infinity);
    }

    /** Whether a step may take over a reservation of another: its deadline status is better, or equal and its queue more urgent. */
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
        const withoutPreemption = this.#draftPlan(step, count, now, false);
        const withPreemption = this.#draftPlan(step, count, now, true);
        const isPreemptionWorthwhile = (withPreemption?.availableAt ?? Infinity) + minPreemptionGain
            < (withoutPreemption?.availableAt ?? Infinity);
        const plan = isPreemptionWorthwhile ? withPreemption : withoutPreemption;
        if (plan !== undefined && plan.availableAt > notAfter) {
            return undefined;
        }
        if (plan !== undefined) {
            this.#reserve(step, plan, now);
        }
        return plan;
    }

    /** The earliest plan for tasks of a step, with or without preemption; undefined when they will not fit. */
    #draftPlan(step: Step, count: number, now: Milliseconds, preempts: boolean): ActivePlan | undefined {
        const slots = this.#startSlots(step, count, now, preempts).slice(0, count);
        const lastSlot = slots.at(-1);
        // A gang starts as a whole; of other steps a part may be planned.
        if (lastSlot === undefined || step.definition.isGang && slots.length < count) {
            return undefined;
        }
        const tasksByWorker = new Map<WorkerState, number>();
        slots.forEach(({ worker }) => tasksByWorker.set(worker, (tasksByWorker.get(worker) ?? 0) + 1));
        return { madeAt: now, availableAt: lastSlot.at, tasksByWorker, preempts };
    }

    /**
     * Whether one more step may reserve resources without leaving too much of the cell idle. Plans for a single worker count only towards
     * the share of reserved workers. Reservations of steps that this one outranks do not count, as it may take them over.
     */
    #mayReserveMore(step: Step): boolean {
        const { size } = this.context.workers;
        const maxReservations = Math.max(minReservations, Math.floor(size / workersPerReservation));
        const reserved =
            [...this.#reservations.values()].filter(({ step: other }) => !this.#outranks(step, other)).length;
        const wide = [...this.#plans]
            .filter(([other, plan]) => plan.tasksByWorker.size > 1 && !this.#outranks(step, other))
            .length;
        return reserved <= size * maxReservedShare && wide < maxReservations
            && this.#attempts < maxReservations * attemptsPerReservation;
    }

    /** Times at which single tasks of a step will fit, earliest first. */
    #startSlots(step: Step, count: number, now: Milliseconds, preempts: boolean): StartSlot[] {
        const slots: StartSlot[] = [];
        const isStopped = this.#stopPredicateFor(step, preempts, now);
        for (const worker of this.#candidatesOf(step)) {
            if (this.#isUsable(worker, step, now)) {
                slots.push(...this.#forecast.startSlotsOf(worker, step, count, now, isStopped));
            }
        }
        return slots.sort((left, right) => left.at - right.at);
    }

    #candidatesOf({ permits }: Step): Iterable<WorkerState> {
        return permits === undefined ? this.context.workers.values() : this.context.findWorkers(permits.permitted);
    }

    #stopPredicateFor(step: Step, preempts: boolean, now: Milliseconds): StopPredicate | undefined {
        return preempts ? run => this.policy.mayPreemptFor(run, step, now) : undefined;
    }

    #isUsable(worker: WorkerState, step: Step, now: Milliseconds): boolean {
        const isPermitted = step.permits === undefined || step.permits.isPermitted(worker.id);
        const reservation = this.#reservations.get(worker);
        const isOpen = reservation === undefined || this.#outranks(step, reservation.step);
        return isPermitted && isOpen && isEligible(worker, step, step.job.terms.service, now);
    }

    /** Whether a plan of an earlier cycle still matches its step and workers. */
    #isStillValid(step: Step, { madeAt, tasksByWorker }: ActivePlan, now: Milliseconds): boolean {
        const planned = [...tasksByWorker.values()].reduce((sum, tasks) => sum + tasks, 0);
        const waiting = step.waitingTasks().length;
        return now - madeAt < planLifetime
            && (step.definition.isGang ? planned === waiting : planned <= waiting)
            && [...tasksByWorker.keys()].every(worker => this.#isUsable(worker, step, now));
    }

    /** When the workers of a plan will have its resources, as forecast now. */
    #availableAt(step: Step, { tasksByWorker, preempts }: ActivePlan, now: Milliseconds): Milliseconds {
        const isStopped = this.#stopPredicateFor(step, preempts, now);
        let availableAt = now;
        for (const [worker, tasks] of tasksByWorker) {
            const slot = this.#forecast.startSlotsOf(worker, step, tasks, now, isStopped)[tasks - 1];
            availableAt = Math.max(availableAt, slot?.at ?? Infinity);
        }
        return availableAt;
    }

    #reserve(step: Step, plan: ActivePlan, now: Milliseconds): void {
        this.#plans.set(step, plan);
        for (const [worker, tasks] of plan.tasksByWorker) {
            this.#dropPlanAt(worker);
            const spare = resourcesWithout(this.#forecast.resourcesAt(worker, plan.availableAt, now), step, tasks);
            this.#reservations.set(worker, { step, availableAt: plan.availableAt, spare });
        }
    }

    /** Drops the plan that reserves a worker, on all its workers. */
    #dropPlanAt(worker: WorkerState): void {
        const reservation = this.#reservations.get(worker);
        if (reservation === undefined) {
            return;
        }
        const plan = this.#plans.get(reservation.step);
        this.#plans.delete(reservation.step);
        for (const other of plan?.tasksByWorker.keys() ?? []) {
            this.#reservations.delete(other);
        }
    }
}

/** Whether tasks of a step that start now will have ended when the reserved resources are needed. */
const endsBefore = (
    { definition }: Step,
    { slowness }: WorkerState,
    { availableAt }: Reservation,
    now: Milliseconds,
): boolean => !definition.isLasting && now + definition.estimate * slowness * backfillMargin <= availableAt;
