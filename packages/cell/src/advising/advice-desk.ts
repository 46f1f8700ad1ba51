/** Decides which steps are asked about, of which workers, and when tickets are asked for again. */
import { logEvents, type Milliseconds, type QueueName, type WorkerId } from "@pebbledale/core";
import { type AdviceAnswer, type AdvicePolicy, mostAdviceWorkers, type Permit } from "../advice/index.js";
import { isEligible, isWide, isWorthFreshTickets, rank, type RoomPlan, urgencyOf } from "../choosing/index.js";
import { type CellContext, type JobTerms, type Step, StepPermits, type WorkerState } from "../state/index.js";
import {
    adviceInterval,
    choiceMargin,
    fewestAdviceWorkers,
    fewestForGang,
    firstPermittedShare,
    leastPermittedShare,
    roomMargin,
    shareWeight,
    ticketLead,
} from "./constants.js";

/** How many tasks of a step a worker takes. */
export type RoomOf = (worker: WorkerState) => number;

const millisecondsPerSecond = 1_000;

/** See the module's comment. */
export class AdviceDesk {
    /** Steps that a question is on its way for. */
    readonly #asked = new Map<string, Step>();
    /** By queue, the share of workers that may run a step of it. */
    readonly #permittedShares = new Map<QueueName, number>();

    constructor(private readonly context: CellContext) {}

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
        if (permits === undefined || permits.isAsking || advice === undefined) {
            return;
        }
        if (now - permits.askedAt < adviceInterval) {
            return;
        }
        const workers = step.definition.isGang
            ? this.#wantedForGang(step, permits, count, roomOf)
            : this.#wantedForTasks(step, permits, count, roomOf);
        this.#ask(step, advice, workers.length > 0 ? workers : this.#runningOut(step, permits, advice, now));
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
        const needed = now + policy.decision + policy.eachWorker * permitted.length + ticketLead;
        const isRunningOut = permitted.some(worker => permits.ticketOf(worker.id, needed) === undefined);
        return isRunningOut ? permitted : [];
    }

    /** Whether the answer to a question that waits to be asked is still of use. */
    isWanted(address: string): boolean {
        const step = this.#asked.get(address);
        return step !== undefined && !step.job.isOver && step.hasWaitingTask;
    }

    /** A question is not asked. */
    drop(address: string): void {
        const step = this.#asked.get(address);
        this.#asked.delete(address);
        if (step?.permits !== undefined) {
            step.permits.isAsking = false;
        }
    }

    /** Room for a step is expected: tickets that will have run out by then are asked for, so that they come in time. */
    wantTickets(step: Step, plan: RoomPlan, roomOf: RoomOf): void {
        const { permits } = step;
        const { terms } = step.job;
        const now = this.context.now();
        if (permits === undefined || permits.isAsking || terms.advice === undefined) {
            return;
        }
        const { decision, eachWorker } = terms.advice;
        const planned = [...plan.shares.keys()];
        const lead = decision + eachWorker * planned.length + ticketLead;
        const isTime = now >= plan.from - lead && now - permits.askedAt >= adviceInterval;
        const isMissing = planned.some(worker => permits.ticketOf(worker.id, plan.from) === undefined);
        if (isTime && isMissing) {
            const others = this.#roomyOf(step, permits, step.tasks.length, roomOf)
                .filter(other => !plan.shares.has(other));
            this.#ask(step, terms.advice, [...planned, ...others].slice(0, mostAdviceWorkers));
        }
    }

    /** Takes an answer in. `cause`: why there was none, for the log. */
    take(address: string, asked: readonly WorkerId[], answer: AdviceAnswer | undefined, cause: string): void {
        const step = this.#asked.get(address);
        this.#asked.delete(address);
        if (step?.permits === undefined) {
            return;
        }
        step.permits.isAsking = false;
        if (answer?.kind !== "advised") {
            this.context.options.log.log(logEvents.adviceFailed, { step: address, cause: answer?.kind ?? cause });
            return;
        }
        this.#noteShare(step, asked, answer.permits);
        step.permits.take(asked, answer.permits, this.context.now() + answer.validity);
        this.context.options.log.log(logEvents.stepAdvised, {
            step: address,
            asked: asked.length,
            permitted: answer.permits.length,
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
     * Tickets of a gang run out while it waits for room, so they are asked for only once there is enough of it; before
     * that, more workers only while too few may run it. Tickets for room that is kept come with its plan.
     */
    #wantedForGang(step: Step, permits: StepPermits, count: number, roomOf: RoomOf): WorkerState[] {
        const now = this.context.now();
        const roomy = this.#roomyOf(step, permits, count, roomOf);
        const hasRoom = sumOf(roomy, roomOf) >= count;
        const isStale = roomy.some(worker => permits.ticketOf(worker.id, now) === undefined);
        if (hasRoom && isStale) {
            return roomy.slice(0, mostAdviceWorkers);
        }
        // The longer it has waited, the more workers it may choose from.
        const wanted = count * (1 + (now - (step.readyAt ?? now)) / millisecondsPerSecond);
        const whole = sumOf(this.#permitted(step, permits), worker => worker.countWhenEmpty(step));
        return !hasRoom && whole < wanted * choiceMargin ? this.#notAsked(step, wanted) : [];
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
        return this.#eligible(step).filter(worker => permits.isPermitted(worker.id));
    }

    #eligible(step: Step): WorkerState[] {
        const now = this.context.now();
        return [...this.context.workers.values()]
            .filter(worker => isEligible(worker, step, step.job.terms.service, now));
    }

    /** Workers that were not asked about yet, those with the most room first: as many as are likely to be enough. */
    #notAsked(step: Step, count: number): WorkerState[] {
        const share = this.#permittedShares.get(step.job.queue) ?? firstPermittedShare;
        const fewest = step.definition.isGang ? fewestForGang : fewestAdviceWorkers;
        const chosen: WorkerState[] = [];
        let room = 0;
        let whole = 0;
        for (const worker of this.#eligible(step).sort(byRoom)) {
            const isEnough = room * share >= count * roomMargin || whole * share >= count * choiceMargin;
            if (chosen.length >= mostAdviceWorkers || isEnough && chosen.length >= fewest) {
                break;
            }
            if (step.permits?.wasAsked(worker.id) !== true) {
                chosen.push(worker);
                room += worker.countFitting(step, count);
                whole += worker.countWhenEmpty(step);
            }
        }
        return chosen;
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
        if (step.permits === undefined || workers.length === 0) {
            return;
        }
        const now = this.context.now();
        step.permits.isAsking = true;
        step.permits.askedAt = now;
        this.#asked.set(step.address, step);
        const duration: Milliseconds = policy.decision + policy.eachWorker * workers.length;
        this.context.outbox.ask({
            step: step.address,
            workers: workers.map(worker => worker.id),
            urgency: urgencyOf(rank(this.context, step, now)),
            duration,
        });
        this.context.options.log.log(logEvents.stepAsked, { step: step.address, workers: workers.length, duration });
    }
}

/** Workers with more room first. */
const byRoom = (left: WorkerState, right: WorkerState): number => right.freeProcessor - left.freeProcessor;

const sumOf = (workers: readonly WorkerState[], roomOf: RoomOf): number =>
    workers.reduce((sum, worker) => sum + roomOf(worker), 0);
