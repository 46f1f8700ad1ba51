/** Reservations of resources with backfilling. */
import type { Milliseconds } from "@pebbledale/core";
import {
    backfillMargin,
    countIn,
    isEligible,
    type IsStopped,
    type Opening,
    type RankedStep,
    type Room,
    RoomForecast,
    type RoomPlan,
    roomWithout,
} from "../choosing/index.js";
import type { CellContext, Step, WorkerState } from "../state/index.js";
import type { YieldPolicy } from "../yielding/index.js";
import {
    attemptsPerReservation,
    fewestReservations,
    keptShare,
    leastPreemptionGain,
    planLife,
    workersPerReservation,
} from "./constants.js";

/** A reservation of one worker's resources. */
interface Reservation {
    readonly step: Step;
    /** When the reserved resources are expected to be needed, by the owner's monotonic clock. */
    readonly from: Milliseconds;
    /** Resources expected to be free then in addition to the reserved ones. */
    spare: Room;
}

/** A plan that is kept over several cycles. */
interface StandingPlan extends RoomPlan {
    readonly madeAt: Milliseconds;
}

/** A step with its position in the order of a cycle. */
interface PlacedRank extends RankedStep {
    readonly place: number;
}

/** Cost added to a worker that is reserved for a step further behind. */
const keptCost = 400;

/**
 * Reserves resources for gangs and wide steps that do not fit yet, and lets others backfill them meanwhile.
 *
 * A plan names the workers that will have the resources earliest, by the expected ends of their runs. Until then those workers take
 * only tasks that will have ended by that time or that leave enough free at that time. Plans are kept over cycles, as tickets
 * are obtained for their workers and a reservation that moves each time never comes free. Steps ahead of the planned one may still use its
 * workers, at a higher cost.
 */
export class Reservations {
    readonly #forecast = new RoomForecast();
    readonly #kept = new Map<WorkerState, Reservation>();
    /** The steps of this cycle. */
    readonly #ranks = new Map<Step, PlacedRank>();
    #plans = new Map<Step, StandingPlan>();
    #attempts = 0;

    constructor(private readonly context: CellContext, private readonly policy: YieldPolicy) {}

    /** Begins a cycle over steps in their order. Plans that are still valid are kept. */
    begin(ranked: readonly RankedStep[], now: Milliseconds): void {
        this.#forecast.clear();
        this.#kept.clear();
        this.#ranks.clear();
        this.#attempts = 0;
        const former = this.#plans;
        this.#plans = new Map();
        ranked.forEach((entry, place) => this.#ranks.set(entry.step, { ...entry, place }));
        for (const { step } of ranked) {
            const plan = former.get(step);
            if (plan !== undefined && this.#stands(step, plan, now)) {
                this.#keep(step, { ...plan, from: this.#timeOf(step, plan, now) }, now);
            }
        }
    }

    /**
     * Reserves resources for `count` tasks of a step where they fit earliest. Undefined when they will not fit by `notAfter`, or when
     * no further reservation is allowed.
     */
    plan(step: Step, count: number, now: Milliseconds, notAfter = Infinity): RoomPlan | undefined {
        return this.#plans.get(step) ?? this.#make(step, count, now, notAfter);
    }

    /** Upper bound of a step's tasks on a worker, so that reservations of steps ahead are respected. */
    limitFor(worker: WorkerState, step: Step, now: Milliseconds): number {
        const kept = this.#keptAgainst(worker, step, now);
        return kept === undefined || this.#goesBefore(step, kept.step) ? Infinity : countIn(kept.spare, step);
    }

    /** Cost of a worker for a step that would use resources reserved there. */
    costOf(worker: WorkerState, step: Step, now: Milliseconds): number {
        const kept = this.#keptAgainst(worker, step, now);
        return kept !== undefined && countIn(kept.spare, step) === 0 ? keptCost : 0;
    }

    /** Accounts for tasks of a step that were placed at a worker. */
    take(worker: WorkerState, step: Step, count: number, now: Milliseconds): void {
        this.#forecast.forget(worker);
        const kept = this.#keptAgainst(worker, step, now);
        if (kept !== undefined) {
            kept.spare = roomWithout(kept.spare, step, count);
        }
    }

    /** The reservation that a step's tasks would compete with; undefined when they will have ended by then. */
    #keptAgainst(worker: WorkerState, step: Step, now: Milliseconds): Reservation | undefined {
        const kept = this.#kept.get(worker);
        return kept === undefined || kept.step === step || endsBefore(step, worker, kept, now) ? undefined : kept;
    }

    #goesBefore(step: Step, other: Step): boolean {
        return (this.#ranks.get(step)?.place ?? Infinity) < (this.#ranks.get(other)?.place ?? Infinity);
    }

    /** Whether a step may take over a reservation of another: it can earn more, or its queue is more urgent. */
    #outranks(step: Step, other: Step): boolean {
        const rank = this.#ranks.get(step);
        const otherRank = this.#ranks.get(other);
        return rank !== undefined && otherRank !== undefined
            && (rank.prospect - otherRank.prospect || rank.priority - otherRank.priority) < 0;
    }

    #make(step: Step, count: number, now: Milliseconds, notAfter: Milliseconds): StandingPlan | undefined {
        if (!this.#mayKeepMore(step)) {
            return undefined;
        }
        this.#attempts++;
        const waiting = this.#draft(step, count, now, false);
        const stopping = this.#draft(step, count, now, true);
        const isWorthStops = (stopping?.from ?? Infinity) + leastPreemptionGain < (waiting?.from ?? Infinity);
        const plan = isWorthStops ? stopping : waiting;
        if (plan !== undefined && plan.from > notAfter) {
            return undefined;
        }
        if (plan !== undefined) {
            this.#keep(step, plan, now);
        }
        return plan;
    }

    /** The earliest plan for tasks of a step, with or without preemption; undefined when they will not fit. */
    #draft(step: Step, count: number, now: Milliseconds, preempts: boolean): StandingPlan | undefined {
        const openings = this.#openings(step, count, now, preempts).slice(0, count);
        const last = openings.at(-1);
        // A gang starts as a whole; of other steps a part may be planned.
        if (last === undefined || step.definition.isGang && openings.length < count) {
            return undefined;
        }
        const shares = new Map<WorkerState, number>();
        openings.forEach(({ worker }) => shares.set(worker, (shares.get(worker) ?? 0) + 1));
        return { madeAt: now, from: last.at, shares, preempts };
    }

    /**
     * Whether one more step may reserve resources without leaving too much of the cell idle. Plans for a single worker count only towards
     * the share of reserved workers. Reservations of steps that this one outranks do not count, as it may take them over.
     */
    #mayKeepMore(step: Step): boolean {
        const { size } = this.context.workers;
        const most = Math.max(fewestReservations, Math.floor(size / workersPerReservation));
        const kept = [...this.#kept.values()].filter(({ step: other }) => !this.#outranks(step, other)).length;
        const wide = [...this.#plans]
            .filter(([other, plan]) => plan.shares.size > 1 && !this.#outranks(step, other))
            .length;
        return kept <= size * keptShare && wide < most && this.#attempts < most * attemptsPerReservation;
    }

    /** Times at which single tasks of a step will fit, earliest first. */
    #openings(step: Step, count: number, now: Milliseconds, preempts: boolean): Opening[] {
        const openings: Opening[] = [];
        const isStopped = this.#stopsOf(step, preempts, now);
        for (const worker of this.#candidatesOf(step)) {
            if (this.#isPossible(worker, step, now)) {
                openings.push(...this.#forecast.openingsOf(worker, step, count, now, isStopped));
            }
        }
        return openings.sort((left, right) => left.at - right.at);
    }

    #candidatesOf({ permits }: Step): Iterable<WorkerState> {
        return permits === undefined ? this.context.workers.values() : this.context.workersOf(permits.permitted);
    }

    #stopsOf(step: Step, preempts: boolean, now: Milliseconds): IsStopped | undefined {
        return preempts ? run => this.policy.yieldsTo(run, step, now) : undefined;
    }

    #isPossible(worker: WorkerState, step: Step, now: Milliseconds): boolean {
        const isPermitted = step.permits === undefined || step.permits.isPermitted(worker.id);
        const kept = this.#kept.get(worker);
        const isOpen = kept === undefined || this.#outranks(step, kept.step);
        return isPermitted && isOpen && isEligible(worker, step, step.job.terms.service, now);
    }

    /** Whether a plan of an earlier cycle still matches its step and workers. */
    #stands(step: Step, { madeAt, shares }: StandingPlan, now: Milliseconds): boolean {
        const planned = [...shares.values()].reduce((sum, tasks) => sum + tasks, 0);
        const waiting = step.waitingTasks().length;
        return now - madeAt < planLife
            && (step.definition.isGang ? planned === waiting : planned <= waiting)
            && [...shares.keys()].every(worker => this.#isPossible(worker, step, now));
    }

    /** When the workers of a plan will have its resources, as forecast now. */
    #timeOf(step: Step, { shares, preempts }: StandingPlan, now: Milliseconds): Milliseconds {
        const isStopped = this.#stopsOf(step, preempts, now);
        let from = now;
        for (const [worker, tasks] of shares) {
            const opening = this.#forecast.openingsOf(worker, step, tasks, now, isStopped)[tasks - 1];
            from = Math.max(from, opening?.at ?? Infinity);
        }
        return from;
    }

    #keep(step: Step, plan: StandingPlan, now: Milliseconds): void {
        this.#plans.set(step, plan);
        for (const [worker, tasks] of plan.shares) {
            this.#release(worker);
            const spare = roomWithout(this.#forecast.roomAt(worker, plan.from, now), step, tasks);
            this.#kept.set(worker, { step, from: plan.from, spare });
        }
    }

    /** Drops the plan that reserves a worker, on all its workers. */
    #release(worker: WorkerState): void {
        const kept = this.#kept.get(worker);
        if (kept === undefined) {
            return;
        }
        const plan = this.#plans.get(kept.step);
        this.#plans.delete(kept.step);
        for (const other of plan?.shares.keys() ?? []) {
            this.#kept.delete(other);
        }
    }
}

/** Whether tasks of a step that start now will have ended when the reserved resources are needed. */
const endsBefore = (
    { definition }: Step,
    { slowness }: WorkerState,
    { from }: Reservation,
    now: Milliseconds,
): boolean => !definition.isLasting && now + definition.estimate * slowness * backfillMargin <= from;
