/** Answers of the advice service about a step. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import type { Permit } from "../advice/index.js";

/** Tickets are treated as expired this many milliseconds early, to leave time for a start order to arrive. */
const ticketMargin: Milliseconds = 150;

interface Ticket {
    ticket: string;
    /** By the owner's monotonic clock. */
    until: Milliseconds;
}

/**
 * Workers that may run a step, and their tickets. A permission is valid for the worker's current incarnation; its ticket expires.
 */
export class StepPermits {
    readonly #tickets = new Map<WorkerId, Ticket>();
    readonly #asked = new Set<WorkerId>();
    /** Workers covered by a question that is not answered yet. */
    readonly #pending = new Set<WorkerId>();
    /** Those of them that restarted after the question was sent: the answer may concern the former incarnation. */
    readonly #outdated = new Set<WorkerId>();
    /** By the owner's monotonic clock. */
    lastAskedAt: Milliseconds = -Infinity;

    get hasPendingQuestion(): boolean {
        return this.#pending.size > 0;
    }

    /** Whether a question about the worker is not answered yet. */
    isPending(worker: WorkerId): boolean {
        return this.#pending.has(worker);
    }

    questionSent(workers: readonly WorkerId[], now: Milliseconds): void {
        this.lastAskedAt = now;
        workers.forEach(worker => this.#pending.add(worker));
    }

    /** Marks a question, or a part of one, as answered or given up. */
    questionEnded(workers: readonly WorkerId[]): void {
        workers.forEach(worker => {
            this.#pending.delete(worker);
            this.#outdated.delete(worker);
        });
    }

    /** Drops what is known of a worker's former incarnation, and marks a pending answer about it as outdated. */
    forgetWorker(worker: WorkerId): void {
        this.#tickets.delete(worker);
        this.#asked.delete(worker);
        if (this.#pending.has(worker)) {
            this.#outdated.add(worker);
        }
    }

    /** Whether a pending answer is certain to concern the worker's current incarnation. */
    isAnswerCurrent(worker: WorkerId): boolean {
        return !this.#outdated.has(worker);
    }

    /** Whether the service has answered about the worker. */
    wasAsked(worker: WorkerId): boolean {
        return this.#asked.has(worker);
    }

    /** Workers known to be permitted, whether or not their tickets are still valid. */
    get permitted(): Iterable<WorkerId> {
        return this.#tickets.keys();
    }

    isPermitted(worker: WorkerId): boolean {
        return this.#tickets.has(worker);
    }

    /** Workers whose tickets are valid at `now`, with their tickets. */
    validTickets(now: Milliseconds): (readonly [WorkerId, string])[] {
        const tickets: (readonly [WorkerId, string])[] = [];
        for (const [worker, { ticket, until }] of this.#tickets) {
            if (until > now) {
                tickets.push([worker, ticket]);
            }
        }
        return tickets;
    }

    /** Ticket of a worker; undefined when it has none that is valid at `now`. */
    ticketOf(worker: WorkerId, now: Milliseconds): string | undefined {
        const entry = this.#tickets.get(worker);
        return entry !== undefined && entry.until > now ? entry.ticket : undefined;
    }

    /** Applies an answer about the workers in `asked`. `until`: when its tickets expire. */
    applyAnswer(asked: readonly WorkerId[], permits: readonly Permit[], until: Milliseconds): void {
        const permitted = new Set(permits.map(({ worker }) => worker));
        asked.forEach(worker => {
            this.#asked.add(worker);
            if (!permitted.has(worker)) {
                this.#tickets.delete(worker);
            }
        });
        for (const { worker, ticket } of permits) {
            this.#tickets.set(worker, { ticket, until: until - ticketMargin });
        }
    }

    /** Invalidates the ticket that a worker refused; the worker remains permitted. */
    expireTicket(worker: WorkerId): void {
        const entry = this.#tickets.get(worker);
        if (entry !== undefined) {
            entry.until = 0;
        }
    }
}
