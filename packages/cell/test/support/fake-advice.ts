/** Simulated advice service. */
import type { Milliseconds, SeededRandom, WorkerId } from "@pebbledale/core";
import { type AdviceRequest, callDuration, type CellScheduler, type StartCommand } from "../../src/index.js";

/** Advice policy of the queue under test. */
export const fakePolicy = { decision: 150, eachWorker: 10, validity: 600 };

interface Question {
    readonly request: AdviceRequest;
    /** When it is answered. */
    readonly at: Milliseconds;
}

/** Answers questions after the time that their calls take, loses some of them, and knows which tickets are valid. */
export class FakeAdvice {
    #questions: Question[] = [];
    /** The one worker that may not run a step, by step. */
    readonly #refused = new Map<string, WorkerId>();
    /** Expiry of the latest ticket, by step and worker. */
    readonly #tickets = new Map<string, Milliseconds>();

    /** `loss`: share of questions that get no answer. */
    constructor(private readonly random: SeededRandom, private readonly loss: number) {}

    /** Accepts questions, which are answered later. */
    ask(requests: readonly AdviceRequest[], now: Milliseconds): void {
        requests.forEach(request =>
            this.#questions.push({ request, at: now + callDuration(request.policy, request.workers.length) })
        );
    }

    /** Drops all questions, as their owner is gone. */
    dropQuestions(): void {
        this.#questions = [];
    }

    /** Delivers the answers that are due. */
    answer(cell: CellScheduler, now: Milliseconds): void {
        const due = this.#questions.filter(question => question.at <= now);
        this.#questions = this.#questions.filter(question => question.at > now);
        for (const { request: { step, workers } } of due) {
            if (!cell.isAdviceWanted(step)) {
                cell.dropAdvice(step, workers);
                continue;
            }
            if (this.random.next() < this.loss) {
                cell.applyAdvice(step, workers, undefined);
                continue;
            }
            const permits = workers.filter(worker => this.#isPermitted(step, worker)).map(worker => ({
                worker,
                ticket: "ticket",
            }));
            permits.forEach(({ worker }) => this.#tickets.set(`${step} ${worker}`, now + fakePolicy.validity));
            cell.applyAdvice(step, workers, { kind: "advised", permits, validity: fakePolicy.validity });
        }
    }

    /** Whether a start has a valid ticket. */
    isTicketValid({ task, worker, ticket }: StartCommand, now: Milliseconds): boolean {
        const step = task.slice(0, task.lastIndexOf("/"));
        return ticket !== undefined && (this.#tickets.get(`${step} ${worker}`) ?? -Infinity) >= now;
    }

    /** Refuses at most one worker for each step, so that every job can be placed. */
    #isPermitted(step: string, worker: WorkerId): boolean {
        const numbers = `${step}${worker}`.match(/\d+/g)?.map(Number) ?? [];
        const isUnlucky = numbers.reduce((sum, number) => sum + number, 0) % 7 === 0;
        if (isUnlucky && !this.#refused.has(step)) {
            this.#refused.set(step, worker);
        }
        return this.#refused.get(step) !== worker;
    }
}
