/** Decides which steps are asked about, of which workers, and when tickets are asked for again. */
import { logEvents, type Milliseconds, type WorkerId } from "@pebbledale/core";
import { type AdviceAnswer, type AdvicePolicy, mostAdviceWorkers } from "../advice/index.js";
import type { CellContext } from "./cell-context.js";
import { adviceBreadth, adviceInterval, ticketLead } from "./constants.js";
import type { JobTerms } from "./definition.js";
import type { Step } from "./entities.js";
import type { RoomPlan } from "./reservations.js";
import { StepPermits } from "./step-permits.js";
import { isEligible } from "./worker-choice.js";
import type { WorkerState } from "./worker-state.js";

/** See the module's comment. */
export class AdviceDesk {
    /** Steps that a question is on its way for. */
    readonly #asked = new Map<string, Step>();

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
            this.#ask(step, terms, advice, this.#notAsked(step, terms));
        }
    }

    /** A step found no room for `count` tasks: fresh tickets are asked for where there is room, or more workers. */
    wantRoom(step: Step, count: number): void {
        const { permits } = step;
        const { terms } = step.job;
        const now = this.context.now();
        if (permits === undefined || permits.isAsking || terms.advice === undefined) {
            return;
        }
        if (now - permits.askedAt < adviceInterval) {
            return;
        }
        const roomy = [...this.context.workers.values()].filter(worker =>
            isEligible(worker, step, terms.service, now) && worker.countFitting(step, count) > 0
        );
        const stale = roomy.filter(worker =>
            permits.isPermitted(worker.id) && permits.ticketOf(worker.id, now) === undefined
        );
        const fresh = this.#notAsked(step, terms);
        const workers = stale.length > 0 ? stale.slice(0, mostAdviceWorkers) : fresh;
        if (workers.length > 0) {
            this.#ask(step, terms, terms.advice, workers);
        }
    }

    /** Room for a step is expected: tickets that will have run out by then are asked for, so that they come in time. */
    wantTickets(step: Step, plan: RoomPlan): void {
        const { permits } = step;
        const { terms } = step.job;
        const now = this.context.now();
        if (permits === undefined || permits.isAsking || terms.advice === undefined) {
            return;
        }
        const { decision, eachWorker } = terms.advice;
        const lead = decision + eachWorker * plan.workers.length + ticketLead;
        const stale = plan.workers.filter(worker => permits.ticketOf(worker.id, plan.from) === undefined);
        const isTime = now >= plan.from - lead && now - permits.askedAt >= adviceInterval;
        if (isTime && stale.length > 0) {
            this.#ask(step, terms, terms.advice, stale.slice(0, mostAdviceWorkers));
        }
    }

    /** Takes an answer in. `answeredAt`: when it arrived, by the owner's monotonic clock. */
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
        step.permits.take(asked, answer.permits, this.context.now() + answer.validity);
        this.context.options.log.log(logEvents.stepAdvised, {
            step: address,
            asked: asked.length,
            permitted: answer.permits.length,
            took: Math.round(this.context.now() - step.permits.askedAt),
        });
    }

    /** Workers that were not asked about yet, those with the most room first. */
    #notAsked(step: Step, terms: JobTerms): WorkerState[] {
        const now = this.context.now();
        return [...this.context.workers.values()]
            .filter(worker => isEligible(worker, step, terms.service, now))
            .filter(worker => step.permits?.wasAsked(worker.id) !== true)
            .sort((left, right) => right.freeProcessor - left.freeProcessor)
            .slice(0, adviceBreadth);
    }

    #ask(step: Step, terms: JobTerms, policy: AdvicePolicy, workers: readonly WorkerState[]): void {
        if (step.permits === undefined || workers.length === 0) {
            return;
        }
        step.permits.isAsking = true;
        step.permits.askedAt = this.context.now();
        this.#asked.set(step.address, step);
        const duration: Milliseconds = policy.decision + policy.eachWorker * workers.length;
        this.context.outbox.ask({
            step: step.address,
            workers: workers.map(worker => worker.id),
            priority: terms.priority,
            duration,
        });
        this.context.options.log.log(logEvents.stepAsked, { step: step.address, workers: workers.length, duration });
    }
}
