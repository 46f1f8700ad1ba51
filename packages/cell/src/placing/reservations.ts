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

/** Room of one worker that is kept. */
interface Reservation {
    readonly step: Step;
    /** When the kept room is expected to be needed, by the owner's monotonic clock. */
    readonly from: Milliseconds;
    /** What is expected to be free then besides what is kept. */
    spare: Room;
}

/** A plan as it stands from pass to pass. */
interface StandingPlan extends RoomPlan {
    readonly madeAt: Milliseconds;
}

/** A step's place in the order of a pass. */
interface PlacedRank extends RankedStep {
    readonly place: number;
}

/** Added to the cost of a worker whose room is kept for a step further behind. */
const keptCost = 400;

/** See the module's comment. */
export class Reservations {
    readonly #forecast = new RoomForecast();
    readonly #kept = new Map<WorkerState, Reservation>();
    /** The steps of this pass with what decides their order, and their places in it. */
    readonly #ranks = new Map<Step, PlacedRank>();
    #plans = new Map<Step, StandingPlan>();
    #attempts = 0;

    constructor(private readonly context: CellContext, private readonly policy: YieldPolicy) {}

    /** Begins a pass over steps in their order: plans that can still be kept stand. */
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
     * Keeps room for `count` tasks of a step where they will fit first; undefined when they nowhere will, or not in time. `notAfter`: by
     * when they have to begin to be of use.
     */
    plan(step: Step, count: number, now: Milliseconds, notAfter = Infinity): RoomPlan | undefined {
        return this.#plans.get(step) ?? this.#make(step, count, now, notAfter);
    }

    /** How many tasks of a step a worker takes at most, so that what is kept there stays kept. */
    limitFor(worker: WorkerState, step: Step, now: Milliseconds): number {
        const kept = this.#keptAgainst(worker, step, now);
        return kept === undefined || this.#goesBefore(step, kept.step) ? Infinity : countIn(kept.spare, step);
    }

    /** What is added to a worker's cost for a step that may use room which is kept for one behind it. */
    costOf(worker: WorkerState, step: Step, now: Milliseconds): number {
        const kept = this.#keptAgainst(worker, step, now);
        return kept !== undefined && countIn(kept.spare, step) === 0 ? keptCost : 0;
    }

    /** Tasks of a step were placed at a worker. */
    take(worker: WorkerState, step: Step, count: number, now: Milliseconds): void {
        this.#forecast.forget(worker);
        const kept = this.#keptAgainst(worker, step, now);
        if (kept !== undefined) {
            kept.spare = roomWithout(kept.spare, step, count);
        }
    }

    /** The reservation that tasks of a step would use room of; undefined when they will have ended by then. */
    #keptAgainst(worker: WorkerState, step: Step, now: Milliseconds): Reservation | undefined {
        const kept = this.#kept.get(worker);
        return kept === undefined || kept.step === step || endsBefore(step, worker, kept, now) ? undefined : kept;
    }

    #goesBefore(step: Step, other: Step): boolean {
        return (this.#ranks.get(step)?.place ?? Infinity) < (this.#ranks.get(other)?.place ?? Infinity);
    }

    /** Whether a step may have room that is kept for another: it can earn more, or is more urgent. */
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

    /** Where and when tasks of a step will fit, with or without stops of what gives way; undefined when they will not. */
    #draft(step: Step, count: number, now: Milliseconds, preempts: boolean): StandingPlan | undefined {
        const openings = this.#openings(step, count, now, preempts).slice(0, count);
        const last = openings.at(-1);
        // A gang starts whole; of other tasks those that will fit are served.
        if (last === undefined || step.definition.isGang && openings.length < count) {
            return undefined;
        }
        const shares = new Map<WorkerState, number>();
        openings.forEach(({ worker }) => shares.set(worker, (shares.get(worker) ?? 0) + 1));
        return { madeAt: now, from: last.at, shares, preempts };
    }

    /**
     * Whether room may be kept for one more step: beyond these limits the cell would idle. A plan at one worker is limited
     * by the share of kept workers alone. What is kept for steps that this one outranks does not count: it may have that.
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

    /** Times at which single tasks of a step will fit, the earliest first. */
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

    /** Whether a plan of an earlier pass can still be kept. */
    #stands(step: Step, { madeAt, shares }: StandingPlan, now: Milliseconds): boolean {
        const planned = [...shares.values()].reduce((sum, tasks) => sum + tasks, 0);
        const waiting = step.waitingTasks().length;
        return now - madeAt < planLife
            && (step.definition.isGang ? planned === waiting : planned <= waiting)
            && [...shares.keys()].every(worker => this.#isPossible(worker, step, now));
    }

    /** When the workers of a plan will have its room, as of now. */
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

    /** Drops the plan that keeps room of a worker: the step may have another. */
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

/** Whether tasks of a step that start now will have ended when the kept room is needed. */
const endsBefore = (
    { definition }: Step,
    { slowness }: WorkerState,
    { from }: Reservation,
    now: Milliseconds,
): boolean => !definition.isLasting && now + definition.estimate * slowness * backfillMargin <= from;
