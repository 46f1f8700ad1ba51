/** The advice service in the tests' time: answers after a while, or never, and knows which tickets hold. */
import type { Milliseconds, SeededRandom, WorkerId } from "@pebbledale/core";
import { type AdviceRequest, callDuration, type CellScheduler, type StartCommand } from "../../src/index.js";

/** Policy of the queue that is advised on. */
export const fakePolicy = { decision: 150, eachWorker: 10, validity: 600 };

interface Question {
    readonly command: AdviceRequest;
    /** When the answer comes. */
    readonly at: Milliseconds;
}

/** See the module's comment. */
export class FakeAdvice {
    #questions: Question[] = [];
    /** By step, the one worker that may not run it. */
    readonly #refused = new Map<string, WorkerId>();
    /** By step and worker, until when the newest ticket holds. */
    readonly #tickets = new Map<string, Milliseconds>();

    /** `loss`: share of the questions that get no answer. */
    constructor(private readonly random: SeededRandom, private readonly loss: number) {}

    /** Takes questions in. */
    ask(commands: readonly AdviceRequest[], now: Milliseconds): void {
        commands.forEach(command =>
            this.#questions.push({ command, at: now + callDuration(command.policy, command.workers.length) })
        );
    }

    /** The owner that asked is gone. */
    dropQuestions(): void {
        this.#questions = [];
    }

    /** Gives the answers that are due. */
    answer(cell: CellScheduler, now: Milliseconds): void {
        const due = this.#questions.filter(question => question.at <= now);
        this.#questions = this.#questions.filter(question => question.at > now);
        for (const { command: { step, workers } } of due) {
            if (!cell.isAdviceWanted(step)) {
                cell.dropAdvice(step, workers);
                continue;
            }
            if (this.random.next() < this.loss) {
                cell.applyAdvice(step, workers, undefined);
                continue;
            }
            const permits = workers.filter(worker => this.#isGood(step, worker)).map(worker => ({
                worker,
                ticket: "ticket",
            }));
            permits.forEach(({ worker }) => this.#tickets.set(`${step} ${worker}`, now + fakePolicy.validity));
            cell.applyAdvice(step, workers, { kind: "advised", permits, validity: fakePolicy.validity });
        }
    }

    /** Whether the ticket of a start holds. */
    isTicketValid({ task, worker, ticket }: StartCommand, now: Milliseconds): boolean {
        const step = task.slice(0, task.lastIndexOf("/"));
        return ticket !== undefined && (this.#tickets.get(`${step} ${worker}`) ?? -Infinity) >= now;
    }

    /** One worker in seven may not run a step, and only one for each step, so that every job has its place. */
    #isGood(step: string, worker: WorkerId): boolean {
        const numbers = `${step}${worker}`.match(/\d+/g)?.map(Number) ?? [];
        const isUnlucky = numbers.reduce((sum, number) => sum + number, 0) % 7 === 0;
        if (isUnlucky && !this.#refused.has(step)) {
            this.#refused.set(step, worker);
        }
        return this.#refused.get(step) !== worker;
    }
}
