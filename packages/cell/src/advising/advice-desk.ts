/** Decides which steps are asked about, of which workers, and when tickets are asked for again. */
import { logEvents, type Milliseconds, type QueueName, type WorkerId } from "@pebbledale/core";
import { type AdviceAnswer, type AdvicePolicy, callDuration, maxAdviceWorkers, type Permit } from "../advice/index.js";
import {
    adviceUrgencyOf,
    CapacityIndex,
    isEligible,
    isWide,
    needsFreshTickets,
    rankStep,
    type ReservationPlan,
} from "../choosing/index.js";
import { type CellContext, type JobTerms, type Step, StepPermits, type WorkerState } from "../state/index.js";
import {
    adviceInterval,
    capacityMargin,
    choiceMargin,
    gangCapacityMargin,
    initialPermittedShare,
    minAdviceWorkers,
    minPermittedShare,
    renewalShare,
    shareWeight,
    ticketLead,
} from "./constants.js";

/** How many tasks of a step a worker takes. */
export type CapacityOf = (worker: WorkerState) => number;

/** See the module's comment. */
export class AdvicePlanner {
    /** Steps that a question is on its way for. */
    readonly #pending = new Map<string, Step>();
    /** By queue, the share of workers that may run a step of it. */
    readonly #permittedShares = new Map<QueueName, number>();

    /** Workers that may be ordered in this pass. */
    #index = new CapacityIndex([]);
    /** Where the next question begins among the workers with room. */
    #rotation = 0;

    constructor(private readonly context: CellContext) {}

    /** Begins a pass. */
    beginCycle(index: CapacityIndex): void {
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
            this.#ask(step, advice, this.#unaskedWorkers(step, step.tasks.length));
        }
    }

    /**
     * A step found no place for `count` tasks: fresh tickets are asked for where there is room, or more workers.
     * `roomOf`: how many tasks of the step a worker takes now, were they ticketed.
     */
    requestAdvice(step: Step, count: number, roomOf: CapacityOf): void {
        const { permits } = step;
        const { advice } = step.job.terms;
        const now = this.context.now();
        if (permits === undefined || advice === undefined || now - permits.lastAskedAt < adviceInterval) {
            return;
        }
        if (step.definition.isGang) {
            this.#ask(step, advice, this.#workersForGang(step, permits, advice, count, roomOf));
        }
        else if (!permits.hasPendingQuestion) {
            const workers = this.#workersForTasks(step, permits, count, roomOf);
            this.#ask(
                step,
                advice,
                workers.length > 0 ? workers : this.#withExpiringTickets(step, permits, advice, now),
            );
        }
    }

    /**
     * Permitted workers of a wide step whose tickets are about to run out. A fresh ticket takes half a second, in which
     * others take the room that was seen: such steps keep tickets in hand while they wait, as long as that is of use.
     */
    #withExpiringTickets(step: Step, permits: StepPermits, policy: AdvicePolicy, now: Milliseconds): WorkerState[] {
        if (
            step.definition.isGang || !isWide(step, this.context.workers.values())
            || !needsFreshTickets(rankStep(this.context, step, now))
        ) {
            return [];
        }
        const permitted = this.#permitted(step, permits).slice(0, maxAdviceWorkers);
        const needed = now + callDuration(policy, permitted.length) + ticketLead;
        const isRunningOut = permitted.some(worker => permits.ticketOf(worker.id, needed) === undefined);
        return isRunningOut ? permitted : [];
    }

    /** Whether the answer to a question that waits to be asked is still of use. */
    isWanted(address: string): boolean {
        const step = this.#pending.get(address);
        return step !== undefined && !step.job.isOver && step.hasWaitingTask;
    }

    /** A question, or a part of one, is not asked. */
    drop(address: string, workers: readonly WorkerId[]): void {
        this.#settle(address, workers);
    }

    /** Room for a step is expected: tickets that will have run out by then are asked for, so that they come in time. */
    requestTickets(step: Step, plan: ReservationPlan, roomOf: CapacityOf): void {
        const { permits } = step;
        const { terms } = step.job;
        const now = this.context.now();
        if (permits === undefined || permits.hasPendingQuestion || terms.advice === undefined) {
            return;
        }
        const planned = [...plan.tasksByWorker.keys()];
        const lead = callDuration(terms.advice, planned.length) + ticketLead;
        const isTime = now >= plan.availableAt - lead && now - permits.lastAskedAt >= adviceInterval;
        const isMissing = planned.some(worker => permits.ticketOf(worker.id, plan.availableAt) === undefined);
        if (isTime && isMissing) {
            const others = this.#workersWithCapacity(step, permits, step.tasks.length, roomOf)
                .filter(other => !plan.tasksByWorker.has(other));
            this.#ask(step, terms.advice, [...planned, ...others].slice(0, maxAdviceWorkers));
        }
    }

    /** What the service says of a worker holds for its life: of the next one nothing is known. */
    forgetWorker(worker: WorkerId): void {
        for (const job of this.context.table.jobs.values()) {
            for (const { steps } of job.occurrences.values()) {
                steps.forEach(step => step.permits?.forgetWorker(worker));
            }
        }
    }

    /** Takes an answer in. `cause`: why there was none, for the log. */
    applyAnswer(address: string, named: readonly WorkerId[], answer: AdviceAnswer | undefined, cause: string): void {
        const permits = this.#pending.get(address)?.permits;
        const asked = named.filter(worker => permits?.isAnswerCurrent(worker) !== false);
        const step = this.#settle(address, named);
        if (step?.permits === undefined) {
            return;
        }
        if (answer?.kind !== "advised") {
            this.context.options.log.log(logEvents.adviceFailed, { step: address, cause: answer?.kind ?? cause });
            return;
        }
        const permitted = answer.permits.filter(({ worker }) => asked.includes(worker));
        this.#learnPermittedShare(step, asked, permitted);
        step.permits.applyAnswer(asked, permitted, this.context.now() + answer.validity);
        this.context.options.log.log(logEvents.stepAdvised, {
            step: address,
            asked: asked.length,
            permitted: permitted.length,
            took: Math.round(this.context.now() - step.permits.lastAskedAt),
        });
    }

    /** Permitted workers with room whose tickets ran out; where there are none, workers that were not asked about. */
    #workersForTasks(step: Step, permits: StepPermits, count: number, roomOf: CapacityOf): WorkerState[] {
        const now = this.context.now();
        const stale = this.#permitted(step, permits).filter(worker =>
            permits.ticketOf(worker.id, now) === undefined && roomOf(worker) > 0
        );
        return stale.length > 0 ? stale.slice(0, maxAdviceWorkers) : this.#unaskedWorkers(step, count);
    }

    /**
     * Tickets of a gang run out while it waits for room, so they are asked for only once there is enough of it, and kept
     * fresh as long as there is; before that it learns of more workers. Tickets for room that is kept come with its plan.
     */
    #workersForGang(
        step: Step,
        permits: StepPermits,
        policy: AdvicePolicy,
        count: number,
        roomOf: CapacityOf,
    ): WorkerState[] {
        const roomy = this.#workersWithCapacity(step, permits, count, roomOf);
        if (totalCapacity(roomy, roomOf) < count) {
            return permits.hasPendingQuestion ? [] : this.#unaskedWorkers(step, count);
        }
        const needed = this.context.now() + callDuration(policy, roomy.length) + ticketLead;
        const isFresh = (worker: WorkerState) => permits.ticketOf(worker.id, needed) !== undefined;
        if (permits.hasPendingQuestion || roomy.every(isFresh)) {
            return [];
        }
        const wanted = needed + policy.validity * renewalShare;
        return roomy.filter(worker => permits.ticketOf(worker.id, wanted) === undefined);
    }

    /**
     * Permitted workers with the most room, with some to choose from: all members' tickets have to hold at one moment, a
     * call takes most of its time whatever it names, and some of the room is gone by the time of the answer.
     */
    #workersWithCapacity(step: Step, permits: StepPermits, count: number, roomOf: CapacityOf): WorkerState[] {
        const chosen: WorkerState[] = [];
        for (const worker of this.#permitted(step, permits).sort(byFreeProcessor)) {
            if (totalCapacity(chosen, roomOf) >= count * capacityMargin) {
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
        return this.context.findWorkers(permits.permitted)
            .filter(worker => isEligible(worker, step, step.job.terms.service, now));
    }

    /** Workers that were not asked about yet, those with the most room first: as many as are likely to be enough. */
    #unaskedWorkers(step: Step, count: number): WorkerState[] {
        const { isGang } = step.definition;
        const share = this.#permittedShares.get(step.job.queue) ?? initialPermittedShare;
        const most = isGang ? Infinity : maxAdviceWorkers;
        const chosen: WorkerState[] = [];
        let room = 0;
        let whole = 0;
        const now = this.context.now();
        for (const worker of this.#inQueryOrder(step)) {
            const isEnough = isGang
                ? room * share >= count * gangCapacityMargin
                : room * share >= count * capacityMargin || whole * share >= count * choiceMargin;
            if (chosen.length >= most || isEnough && chosen.length >= minAdviceWorkers) {
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
    #inQueryOrder({ definition: { isGang, size } }: Step): readonly WorkerState[] {
        const { emptiestFirst, fullestFirst } = this.#index;
        const withRoom = fullestFirst.length - this.#index.firstIndexWith(size.processorThousandths);
        if (isGang || withRoom <= minAdviceWorkers) {
            return emptiestFirst;
        }
        this.#rotation = (this.#rotation + minAdviceWorkers) % withRoom;
        const turn = this.#rotation;
        return [
            ...emptiestFirst.slice(turn, withRoom),
            ...emptiestFirst.slice(0, turn),
            ...emptiestFirst.slice(withRoom),
        ];
    }

    /** Learns what share of the workers may run steps of a queue, from those that were asked about for the first time. */
    #learnPermittedShare({ job, permits }: Step, asked: readonly WorkerId[], permitted: readonly Permit[]): void {
        const fresh = new Set(asked.filter(worker => permits?.wasAsked(worker) !== true));
        if (fresh.size === 0) {
            return;
        }
        const share = permitted.filter(({ worker }) => fresh.has(worker)).length / fresh.size;
        const known = this.#permittedShares.get(job.queue) ?? initialPermittedShare;
        const learned = known + (share - known) * shareWeight;
        this.#permittedShares.set(job.queue, Math.max(minPermittedShare, learned));
    }

    #ask(step: Step, policy: AdvicePolicy, workers: readonly WorkerState[]): void {
        const { permits, address } = step;
        const named = workers.map(worker => worker.id).filter(worker => permits?.isPending(worker) === false);
        if (permits === undefined || named.length === 0) {
            return;
        }
        const now = this.context.now();
        permits.questionSent(named, now);
        this.#pending.set(address, step);
        this.context.outbox.ask({
            step: address,
            workers: named,
            urgency: adviceUrgencyOf(rankStep(this.context, step, now)),
            policy,
        });
        this.context.options.log.log(logEvents.stepAsked, { step: address, workers: named.length });
    }

    /** A question, or a part of one, is over; the step it was about, if that is still known. */
    #settle(address: string, workers: readonly WorkerId[]): Step | undefined {
        const step = this.#pending.get(address);
        step?.permits?.questionSettled(workers);
        if (step?.permits?.hasPendingQuestion !== true) {
            this.#pending.delete(address);
        }
        return step;
    }
}

/** Workers with more room first. */
const byFreeProcessor = (left: WorkerState, right: WorkerState): number => right.freeProcessor - left.freeProcessor;

const totalCapacity = (workers: readonly WorkerState[], roomOf: CapacityOf): number =>
    workers.reduce((sum, worker) => sum + roomOf(worker), 0);
