/** What the advice service said of a step: which workers may run it, and with which ticket. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import type { Permit } from "../advice/index.js";

/** A ticket is taken for over this long before it is, in milliseconds: a start takes some time to arrive. */
const ticketMargin: Milliseconds = 150;

interface Ticket {
    ticket: string;
    /** By the owner's monotonic clock. */
    until: Milliseconds;
}

/** See the module's comment. What was said of a worker holds for its life; tickets run out. */
export class StepPermits {
    readonly #tickets = new Map<WorkerId, Ticket>();
    readonly #asked = new Set<WorkerId>();
    /** Workers that a question about is on its way. */
    readonly #pending = new Set<WorkerId>();
    /** Those of them that have been started again since: the answer may be about the former life. */
    readonly #outdated = new Set<WorkerId>();
    /** When the last call was asked for, by the owner's monotonic clock. */
    lastAskedAt: Milliseconds = -Infinity;

    /** Whether a question is on its way. */
    get hasPendingQuestion(): boolean {
        return this.#pending.size > 0;
    }

    /** Whether a question about a worker is on its way. */
    isPending(worker: WorkerId): boolean {
        return this.#pending.has(worker);
    }

    /** A question about workers is on its way from `now` on. */
    questionSent(workers: readonly WorkerId[], now: Milliseconds): void {
        this.lastAskedAt = now;
        workers.forEach(worker => this.#pending.add(worker));
    }

    /** A question about workers, or a part of one, is over. */
    questionSettled(workers: readonly WorkerId[]): void {
        workers.forEach(worker => {
            this.#pending.delete(worker);
            this.#outdated.delete(worker);
        });
    }

    /** The worker's life is over: nothing is known of the next one, and what is on its way tells nothing of it. */
    forgetWorker(worker: WorkerId): void {
        this.#tickets.delete(worker);
        this.#asked.delete(worker);
        if (this.#pending.has(worker)) {
            this.#outdated.add(worker);
        }
    }

    /** Whether an answer that is on its way is surely about the worker's present life. */
    isAnswerCurrent(worker: WorkerId): boolean {
        return !this.#outdated.has(worker);
    }

    /** Whether the service was asked of a worker. */
    wasAsked(worker: WorkerId): boolean {
        return this.#asked.has(worker);
    }

    /** Workers that may run the step, as far as is known. */
    get permitted(): Iterable<WorkerId> {
        return this.#tickets.keys();
    }

    /** Whether a worker may run the step, as far as is known. */
    isPermitted(worker: WorkerId): boolean {
        return this.#tickets.has(worker);
    }

    /** Workers whose tickets hold, with these. */
    validTickets(now: Milliseconds): (readonly [WorkerId, string])[] {
        const tickets: (readonly [WorkerId, string])[] = [];
        for (const [worker, { ticket, until }] of this.#tickets) {
            if (until > now) {
                tickets.push([worker, ticket]);
            }
        }
        return tickets;
    }

    /** The ticket of a worker, if it still holds. */
    ticketOf(worker: WorkerId, now: Milliseconds): string | undefined {
        const held = this.#tickets.get(worker);
        return held !== undefined && held.until > now ? held.ticket : undefined;
    }

    /** Takes an answer in. `until`: when its tickets run out. */
    applyAnswer(asked: readonly WorkerId[], permits: readonly Permit[], until: Milliseconds): void {
        const named = new Set(permits.map(({ worker }) => worker));
        asked.forEach(worker => {
            this.#asked.add(worker);
            if (!named.has(worker)) {
                this.#tickets.delete(worker);
            }
        });
        for (const { worker, ticket } of permits) {
            this.#tickets.set(worker, { ticket, until: until - ticketMargin });
        }
    }

    /** A worker refused its ticket. */
    expireTicket(worker: WorkerId): void {
        const held = this.#tickets.get(worker);
        if (held !== undefined) {
            held.until = 0;
        }
    }
}
