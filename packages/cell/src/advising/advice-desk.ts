/** Decides which steps are asked about, of which workers, and when tickets are asked for again. */
import { logEvents, type Milliseconds, type QueueName, type WorkerId } from "@pebbledale/core";
import { type AdviceAnswer, type AdvicePolicy, callDuration, mostAdviceWorkers, type Permit } from "../advice/index.js";
import {
    isEligible,
    isWide,
    isWorthFreshTickets,
    rank,
    RoomIndex,
    type RoomPlan,
    urgencyOf,
} from "../choosing/index.js";
import { type CellContext, type JobTerms, type Step, StepPermits, type WorkerState } from "../state/index.js";
import {
    adviceInterval,
    choiceMargin,
    fewestAdviceWorkers,
    firstPermittedShare,
    gangRoomMargin,
    leastPermittedShare,
    renewedShare,
    roomMargin,
    shareWeight,
    ticketLead,
} from "./constants.js";

/** How many tasks of a step a worker takes. */
export type RoomOf = (worker: WorkerState) => number;

/** See the module's comment. */
export class AdviceDesk {
    /** Steps that a question is on its way for. */
    readonly #asked = new Map<string, Step>();
    /** By queue, the share of workers that may run a step of it. */
    readonly #permittedShares = new Map<QueueName, number>();

    /** Workers that may be ordered in this pass. */
    #index = new RoomIndex([]);
    /** Where the next question begins among the workers with room. */
    #turn = 0;

    constructor(private readonly context: CellContext) {}

    /** Begins a pass. */
    begin(index: RoomIndex): void {
        this.#index = index;
    }

    /** Asks about a step for the first time, if its queue is advised on. */
    prepare(step: Step, terms: JobTerms): void {
        const { advice } = terms;
        if (advice === undefined) {
            step.permits = undefined;
            return;
        }
        if (step.permits === undefined) {
            step.permits = new StepPermits();
            this.#ask(step, advice, this.#notAsked(step, step.tasks.length));
        }
    }

    /**
     * A step found no place for `count` tasks: fresh tickets are asked for where there is room, or more workers.
     * `roomOf`: how many tasks of the step a worker takes now, were they ticketed.
     */
    wantRoom(step: Step, count: number, roomOf: RoomOf): void {
        const { permits } = step;
        const { advice } = step.job.terms;
        const now = this.context.now();
        if (permits === undefined || advice === undefined || now - permits.askedAt < adviceInterval) {
            return;
        }
        if (step.definition.isGang) {
            this.#ask(step, advice, this.#wantedForGang(step, permits, advice, count, roomOf));
        }
        else if (!permits.isAsking) {
            const workers = this.#wantedForTasks(step, permits, count, roomOf);
            this.#ask(step, advice, workers.length > 0 ? workers : this.#runningOut(step, permits, advice, now));
        }
    }

    /**
     * Permitted workers of a wide step whose tickets are about to run out. A fresh ticket takes half a second, in which
     * others take the room that was seen: such steps keep tickets in hand while they wait, as long as that is of use.
     */
    #runningOut(step: Step, permits: StepPermits, policy: AdvicePolicy, now: Milliseconds): WorkerState[] {
        if (
            step.definition.isGang || !isWide(step, this.context.workers.values())
            || !isWorthFreshTickets(rank(this.context, step, now))
        ) {
            return [];
        }
        const permitted = this.#permitted(step, permits).slice(0, mostAdviceWorkers);
        const needed = now + callDuration(policy, permitted.length) + ticketLead;
        const isRunningOut = permitted.some(worker => permits.ticketOf(worker.id, needed) === undefined);
        return isRunningOut ? permitted : [];
    }

    /** Whether the answer to a question that waits to be asked is still of use. */
    isWanted(address: string): boolean {
        const step = this.#asked.get(address);
        return step !== undefined && !step.job.isOver && step.hasWaitingTask;
    }

    /** A question, or a part of one, is not asked. */
    drop(address: string, workers: readonly WorkerId[]): void {
        this.#settle(address, workers);
    }

    /** Room for a step is expected: tickets that will have run out by then are asked for, so that they come in time. */
    wantTickets(step: Step, plan: RoomPlan, roomOf: RoomOf): void {
        const { permits } = step;
        const { terms } = step.job;
        const now = this.context.now();
        if (permits === undefined || permits.isAsking || terms.advice === undefined) {
            return;
        }
        const planned = [...plan.shares.keys()];
        const lead = callDuration(terms.advice, planned.length) + ticketLead;
        const isTime = now >= plan.from - lead && now - permits.askedAt >= adviceInterval;
        const isMissing = planned.some(worker => permits.ticketOf(worker.id, plan.from) === undefined);
        if (isTime && isMissing) {
            const others = this.#roomyOf(step, permits, step.tasks.length, roomOf)
                .filter(other => !plan.shares.has(other));
            this.#ask(step, terms.advice, [...planned, ...others].slice(0, mostAdviceWorkers));
        }
    }

    /** What the service says of a worker holds for its life: of the next one nothing is known. */
    forgetWorker(worker: WorkerId): void {
        for (const job of this.context.table.jobs.values()) {
            for (const { steps } of job.occurrences.values()) {
                steps.forEach(step => step.permits?.forget(worker));
            }
        }
    }

    /** Takes an answer in. `cause`: why there was none, for the log. */
    take(address: string, named: readonly WorkerId[], answer: AdviceAnswer | undefined, cause: string): void {
        const permits = this.#asked.get(address)?.permits;
        const asked = named.filter(worker => permits?.isOfPresentLife(worker) !== false);
        const step = this.#settle(address, named);
        if (step?.permits === undefined) {
            return;
        }
        if (answer?.kind !== "advised") {
            this.context.options.log.log(logEvents.adviceFailed, { step: address, cause: answer?.kind ?? cause });
            return;
        }
        const permitted = answer.permits.filter(({ worker }) => asked.includes(worker));
        this.#noteShare(step, asked, permitted);
        step.permits.take(asked, permitted, this.context.now() + answer.validity);
        this.context.options.log.log(logEvents.stepAdvised, {
            step: address,
            asked: asked.length,
            permitted: permitted.length,
            took: Math.round(this.context.now() - step.permits.askedAt),
        });
    }

    /** Permitted workers with room whose tickets ran out; where there are none, workers that were not asked about. */
    #wantedForTasks(step: Step, permits: StepPermits, count: number, roomOf: RoomOf): WorkerState[] {
        const now = this.context.now();
        const stale = this.#permitted(step, permits).filter(worker =>
            permits.ticketOf(worker.id, now) === undefined && roomOf(worker) > 0
        );
        return stale.length > 0 ? stale.slice(0, mostAdviceWorkers) : this.#notAsked(step, count);
    }

    /**
     * Tickets of a gang run out while it waits for room, so they are asked for only once there is enough of it, and kept
     * fresh as long as there is; before that it learns of more workers. Tickets for room that is kept come with its plan.
     */
    #wantedForGang(
        step: Step,
        permits: StepPermits,
        policy: AdvicePolicy,
        count: number,
        roomOf: RoomOf,
    ): WorkerState[] {
        const roomy = this.#roomyOf(step, permits, count, roomOf);
        if (sumOf(roomy, roomOf) < count) {
            return permits.isAsking ? [] : this.#notAsked(step, count);
        }
        const needed = this.context.now() + callDuration(policy, roomy.length) + ticketLead;
        const isFresh = (worker: WorkerState) => permits.ticketOf(worker.id, needed) !== undefined;
        if (permits.isAsking || roomy.every(isFresh)) {
            return [];
        }
        const wanted = needed + policy.validity * renewedShare;
        return roomy.filter(worker => permits.ticketOf(worker.id, wanted) === undefined);
    }

    /**
     * Permitted workers with the most room, with some to choose from: all members' tickets have to hold at one moment, a
     * call takes most of its time whatever it names, and some of the room is gone by the time of the answer.
     */
    #roomyOf(step: Step, permits: StepPermits, count: number, roomOf: RoomOf): WorkerState[] {
        const chosen: WorkerState[] = [];
        for (const worker of this.#permitted(step, permits).sort(byRoom)) {
            if (sumOf(chosen, roomOf) >= count * roomMargin) {
                break;
            }
            if (roomOf(worker) > 0) {
                chosen.push(worker);
            }
        }
        return chosen;
    }

    #permitted(step: Step, permits: StepPermits): WorkerState[] {
        const now = this.context.now();
        return this.context.workersOf(permits.permitted)
            .filter(worker => isEligible(worker, step, step.job.terms.service, now));
    }

    /** Workers that were not asked about yet, those with the most room first: as many as are likely to be enough. */
    #notAsked(step: Step, count: number): WorkerState[] {
        const { isGang } = step.definition;
        const share = this.#permittedShares.get(step.job.queue) ?? firstPermittedShare;
        const most = isGang ? Infinity : mostAdviceWorkers;
        const chosen: WorkerState[] = [];
        let room = 0;
        let whole = 0;
        const now = this.context.now();
        for (const worker of this.#inTurn(step)) {
            const isEnough = isGang
                ? room * share >= count * gangRoomMargin
                : room * share >= count * roomMargin || whole * share >= count * choiceMargin;
            if (chosen.length >= most || isEnough && chosen.length >= fewestAdviceWorkers) {
                break;
            }
            const isFresh = step.permits?.wasAsked(worker.id) !== true;
            if (isFresh && isEligible(worker, step, step.job.terms.service, now)) {
                chosen.push(worker);
                room += worker.countFitting(step, count);
                whole += worker.countWhenEmpty(step);
            }
        }
        return chosen;
    }

    /**
     * Workers in the order in which a step's question names them: the emptiest first for a gang; for others those with room
     * in turn, as hundreds of steps that are asked about at once, each of the same few workers, would mostly find these full.
     */
    #inTurn({ definition: { isGang, size } }: Step): readonly WorkerState[] {
        const { emptiestFirst, fullestFirst } = this.#index;
        const withRoom = fullestFirst.length - this.#index.firstWith(size.processorThousandths);
        if (isGang || withRoom <= fewestAdviceWorkers) {
            return emptiestFirst;
        }
        this.#turn = (this.#turn + fewestAdviceWorkers) % withRoom;
        const turn = this.#turn;
        return [
            ...emptiestFirst.slice(turn, withRoom),
            ...emptiestFirst.slice(0, turn),
            ...emptiestFirst.slice(withRoom),
        ];
    }

    /** Learns what share of the workers may run steps of a queue, from those that were asked about for the first time. */
    #noteShare({ job, permits }: Step, asked: readonly WorkerId[], permitted: readonly Permit[]): void {
        const fresh = new Set(asked.filter(worker => permits?.wasAsked(worker) !== true));
        if (fresh.size === 0) {
            return;
        }
        const share = permitted.filter(({ worker }) => fresh.has(worker)).length / fresh.size;
        const known = this.#permittedShares.get(job.queue) ?? firstPermittedShare;
        const learned = known + (share - known) * shareWeight;
        this.#permittedShares.set(job.queue, Math.max(leastPermittedShare, learned));
    }

    #ask(step: Step, policy: AdvicePolicy, workers: readonly WorkerState[]): void {
        const { permits, address } = step;
        const named = workers.map(worker => worker.id).filter(worker => permits?.isPending(worker) === false);
        if (permits === undefined || named.length === 0) {
            return;
        }
        const now = this.context.now();
        permits.expect(named, now);
        this.#asked.set(address, step);
        this.context.outbox.ask({
            step: address,
            workers: named,
            urgency: urgencyOf(rank(this.context, step, now)),
            policy,
        });
        this.context.options.log.log(logEvents.stepAsked, { step: address, workers: named.length });
    }

    /** A question, or a part of one, is over; the step it was about, if that is still known. */
    #settle(address: string, workers: readonly WorkerId[]): Step | undefined {
        const step = this.#asked.get(address);
        step?.permits?.settle(workers);
        if (step?.permits?.isAsking !== true) {
            this.#asked.delete(address);
        }
        return step;
    }
}

/** Workers with more room first. */
const byRoom = (left: WorkerState, right: WorkerState): number => right.freeProcessor - left.freeProcessor;

const sumOf = (workers: readonly WorkerState[], roomOf: RoomOf): number =>
    workers.reduce((sum, worker) => sum + roomOf(worker), 0);
