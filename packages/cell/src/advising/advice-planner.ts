/** Planning of questions to the advice service. */
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
} from "../selection/index.js";
import { type CellContext, type JobTerms, type Step, StepPermits, type WorkerState } from "../state/index.js";
import {
    adviceInterval,
    capacityMargin,
    emptyCapacityMargin,
    gangCapacityMargin,
    initialPermittedShare,
    minAdviceWorkers,
    minPermittedShare,
    renewalShare,
    shareWeight,
    ticketLead,
} from "./constants.js";

/** Tells how many tasks of a step a worker can take now. */
export type CapacityOf = (worker: WorkerState) => number;

/** Decides about which steps and workers the advice service is asked, and when tickets are renewed. */
export class AdvicePlanner {
    /** Steps with an unanswered question, by address. */
    readonly #pending = new Map<string, Step>();
    /** Learned share of workers that may run a step, by queue. */
    readonly #permittedShares = new Map<QueueName, number>();

    /** Workers that accept new runs in this cycle. */
    #index = new CapacityIndex([]);
    /** Offset of the next question among the workers with free capacity. */
    #rotation = 0;

    constructor(private readonly context: CellContext) {}

    /** Begins a cycle. `index`: workers that accept new runs. */
    beginCycle(index: CapacityIndex): void {
        this.#index = index;
    }

    /** Asks about a step for the first time, if its queue requires advice. */
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
     * Called when `count` tasks of a step could not be placed: asks for new tickets where there is capacity, or about more workers.
     * `capacityOf`: how many tasks of the step a worker could take now, regardless of tickets.
     */
    requestAdvice(step: Step, count: number, capacityOf: CapacityOf): void {
        const { permits } = step;
        const { advice } = step.job.terms;
        const now = this.context.now();
        if (permits === undefined || advice === undefined || now - permits.lastAskedAt < adviceInterval) {
            return;
        }
        if (step.definition.isGang) {
            this.#ask(step, advice, this.#workersForGang(step, permits, advice, count, capacityOf));
        }
        else if (!permits.hasPendingQuestion) {
            const workers = this.#workersForTasks(step, permits, count, capacityOf);
            this.#ask(
                step,
                advice,
                workers.length > 0 ? workers : this.#withExpiringTickets(step, permits, advice, now),
            );
        }
    }

    /**
     * Permitted workers of a wide step that is no gang, when some of their tickets are about to expire. A new ticket takes half a second, in which others
     * use the resources, so such steps hold valid tickets all the time while they wait.
     */
    #withExpiringTickets(step: Step, permits: StepPermits, policy: AdvicePolicy, now: Milliseconds): WorkerState[] {
        if (
            !isWide(step, this.context.workers.values())
            || !needsFreshTickets(rankStep(this.context, step, now))
        ) {
            return [];
        }
        const permitted = this.#permitted(step, permits).slice(0, maxAdviceWorkers);
        const needed = now + callDuration(policy, permitted.length) + ticketLead;
        const isExpiring = permitted.some(worker => permits.ticketOf(worker.id, needed) === undefined);
        return isExpiring ? permitted : [];
    }

    /** Whether the answer to a waiting question would still be of use. */
    isWanted(address: string): boolean {
        const step = this.#pending.get(address);
        return step !== undefined && !step.job.isOver && step.hasWaitingTask;
    }

    /** A question, or a part of one, was discarded without being asked. */
    drop(address: string, workers: readonly WorkerId[]): void {
        this.#endQuestion(address, workers);
    }

    /** Renews the tickets of a plan that will have expired by its start, just in time. */
    requestTickets(step: Step, plan: ReservationPlan, capacityOf: CapacityOf): void {
        const { permits } = step;
        const { terms } = step.job;
        const now = this.context.now();
        if (permits === undefined || permits.hasPendingQuestion || terms.advice === undefined) {
            return;
        }
        const planned = [...plan.tasksByWorker.keys()];
        const lead = callDuration(terms.advice, planned.length) + ticketLead;
        const isDue = now >= plan.availableAt - lead && now - permits.lastAskedAt >= adviceInterval;
        const isMissing = planned.some(worker => permits.ticketOf(worker.id, plan.availableAt) === undefined);
        if (isDue && isMissing) {
            const others = this.#workersWithCapacity(step, permits, step.tasks.length, capacityOf)
                .filter(other => !plan.tasksByWorker.has(other));
            this.#ask(step, terms.advice, [...planned, ...others].slice(0, maxAdviceWorkers));
        }
    }

    /** Advice is valid for one incarnation of a worker, so it is dropped when a worker is gone or restarted. */
    forgetWorker(worker: WorkerId): void {
        for (const job of this.context.table.jobs.values()) {
            for (const { steps } of job.occurrences.values()) {
                steps.forEach(step => step.permits?.forgetWorker(worker));
            }
        }
    }

    /** Applies an answer of the service. `cause`: why there was none, for the log. */
    applyAnswer(
        address: string,
        workerIds: readonly WorkerId[],
        answer: AdviceAnswer | undefined,
        cause: string,
    ): void {
        const permits = this.#pending.get(address)?.permits;
        const asked = workerIds.filter(worker => permits?.isAnswerCurrent(worker) !== false);
        const step = this.#endQuestion(address, workerIds);
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

    /** Permitted workers with capacity whose tickets have expired or, without any, workers that were not asked about yet. */
    #workersForTasks(step: Step, permits: StepPermits, count: number, capacityOf: CapacityOf): WorkerState[] {
        const now = this.context.now();
        const stale = this.#permitted(step, permits).filter(worker =>
            permits.ticketOf(worker.id, now) === undefined && capacityOf(worker) > 0
        );
        return stale.length > 0 ? stale.slice(0, maxAdviceWorkers) : this.#unaskedWorkers(step, count);
    }

    /**
     * A gang asks about more workers until the permitted ones have enough capacity. Only then does it ask for tickets, which would
     * expire meanwhile, and renews them together. Tickets for reservations are requested with their plan.
     */
    #workersForGang(
        step: Step,
        permits: StepPermits,
        policy: AdvicePolicy,
        count: number,
        capacityOf: CapacityOf,
    ): WorkerState[] {
        const candidates = this.#workersWithCapacity(step, permits, count, capacityOf);
        if (totalCapacity(candidates, capacityOf) < count) {
            return permits.hasPendingQuestion ? [] : this.#unaskedWorkers(step, count);
        }
        const needed = this.context.now() + callDuration(policy, candidates.length) + ticketLead;
        const hasTicket = (worker: WorkerState) => permits.ticketOf(worker.id, needed) !== undefined;
        if (permits.hasPendingQuestion || candidates.every(hasTicket)) {
            return [];
        }
        const wanted = needed + policy.validity * renewalShare;
        return candidates.filter(worker => permits.ticketOf(worker.id, wanted) === undefined);
    }

    /**
     * Permitted workers with the most capacity, more than needed: some of it will be gone by the time of the answer, and further workers
     * add little to the duration of a call.
     */
    #workersWithCapacity(step: Step, permits: StepPermits, count: number, capacityOf: CapacityOf): WorkerState[] {
        const chosen: WorkerState[] = [];
        for (const worker of this.#permitted(step, permits).sort(byFreeProcessor)) {
            if (totalCapacity(chosen, capacityOf) >= count * capacityMargin) {
                break;
            }
            if (capacityOf(worker) > 0) {
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

    /** Workers that were not asked about yet: as many as are likely to be enough, given the share that is usually permitted. */
    #unaskedWorkers(step: Step, count: number): WorkerState[] {
        const { isGang } = step.definition;
        const share = this.#permittedShares.get(step.job.queue) ?? initialPermittedShare;
        const maxWorkers = isGang ? Infinity : maxAdviceWorkers;
        const chosen: WorkerState[] = [];
        let capacity = 0;
        let capacityWhenEmpty = 0;
        const now = this.context.now();
        for (const worker of this.#inQueryOrder(step)) {
            const isEnough = isGang
                ? capacity * share >= count * gangCapacityMargin
                : capacity * share >= count * capacityMargin
                    || capacityWhenEmpty * share >= count * emptyCapacityMargin;
            if (chosen.length >= maxWorkers || isEnough && chosen.length >= minAdviceWorkers) {
                break;
            }
            const isUnasked = step.permits?.wasAsked(worker.id) !== true;
            if (isUnasked && isEligible(worker, step, step.job.terms.service, now)) {
                chosen.push(worker);
                capacity += worker.countFitting(step, count);
                capacityWhenEmpty += worker.countWhenEmpty(step);
            }
        }
        return chosen;
    }

    /**
     * Workers in the order in which they are asked about: the emptiest first for a gang. Other steps rotate among the workers with
     * capacity, as hundreds of steps asking about the same few workers at once would mostly find these full.
     */
    #inQueryOrder({ definition: { isGang, size } }: Step): readonly WorkerState[] {
        const { emptiestFirst, fullestFirst } = this.#index;
        const withCapacity = fullestFirst.length - this.#index.firstIndexWith(size.processorThousandths);
        if (isGang || withCapacity <= minAdviceWorkers) {
            return emptiestFirst;
        }
        this.#rotation = (this.#rotation + minAdviceWorkers) % withCapacity;
        const offset = this.#rotation;
        return [
            ...emptiestFirst.slice(offset, withCapacity),
            ...emptiestFirst.slice(0, offset),
            ...emptiestFirst.slice(withCapacity),
        ];
    }

    /** Learns the share of workers that may run steps of a queue from those that were asked about for the first time. */
    #learnPermittedShare({ job, permits }: Step, asked: readonly WorkerId[], permitted: readonly Permit[]): void {
        const firstAsked = new Set(asked.filter(worker => permits?.wasAsked(worker) !== true));
        if (firstAsked.size === 0) {
            return;
        }
        const share = permitted.filter(({ worker }) => firstAsked.has(worker)).length / firstAsked.size;
        const previous = this.#permittedShares.get(job.queue) ?? initialPermittedShare;
        const learned = previous + (share - previous) * shareWeight;
        this.#permittedShares.set(job.queue, Math.max(minPermittedShare, learned));
    }

    #ask(step: Step, policy: AdvicePolicy, workers: readonly WorkerState[]): void {
        const { permits, address } = step;
        const workerIds = workers.map(worker => worker.id).filter(worker => permits?.isPending(worker) === false);
        if (permits === undefined || workerIds.length === 0) {
            return;
        }
        const now = this.context.now();
        permits.questionSent(workerIds, now);
        this.#pending.set(address, step);
        this.context.outbox.ask({
            step: address,
            workers: workerIds,
            urgency: adviceUrgencyOf(rankStep(this.context, step, now)),
            policy,
        });
        this.context.options.log.log(logEvents.stepAsked, { step: address, workers: workerIds.length });
    }

    /** Ends a question or a part of one. Returns its step if that is still known. */
    #endQuestion(address: string, workers: readonly WorkerId[]): Step | undefined {
        const step = this.#pending.get(address);
        step?.permits?.questionEnded(workers);
        if (step?.permits?.hasPendingQuestion !== true) {
            this.#pending.delete(address);
        }
        return step;
    }
}

const byFreeProcessor = (left: WorkerState, right: WorkerState): number => right.freeProcessor - left.freeProcessor;

const totalCapacity = (workers: readonly WorkerState[], capacityOf: CapacityOf): number =>
    workers.reduce((sum, worker) => sum + capacityOf(worker), 0);
