/** What the advice service said of a step: which workers may run it, and with which ticket. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import type { Permit } from "../advice/index.js";

/** A ticket is taken for over this long before it is, in milliseconds: a start takes some time to arrive. */
const ticketMargin: Milliseconds = 150;

interface HeldTicket {
    ticket: string;
    /** By the owner's monotonic clock. */
    until: Milliseconds;
}

/** See the module's comment. What was said of a worker holds for its life; tickets run out. */
export class StepPermits {
    readonly #held = new Map<WorkerId, HeldTicket>();
    readonly #asked = new Set<WorkerId>();
    /** Workers that a question about is on its way. */
    readonly #pending = new Set<WorkerId>();
    /** Those of them that have been started again since: the answer may be about the former life. */
    readonly #outdated = new Set<WorkerId>();
    /** When the last call was asked for, by the owner's monotonic clock. */
    askedAt: Milliseconds = -Infinity;

    /** Whether a question is on its way. */
    get isAsking(): boolean {
        return this.#pending.size > 0;
    }

    /** Whether a question about a worker is on its way. */
    isPending(worker: WorkerId): boolean {
        return this.#pending.has(worker);
    }

    /** A question about workers is on its way from `now` on. */
    expect(workers: readonly WorkerId[], now: Milliseconds): void {
        this.askedAt = now;
        workers.forEach(worker => this.#pending.add(worker));
    }

    /** A question about workers, or a part of one, is over. */
    settle(workers: readonly WorkerId[]): void {
        workers.forEach(worker => {
            this.#pending.delete(worker);
            this.#outdated.delete(worker);
        });
    }

    /** The worker's life is over: nothing is known of the next one, and what is on its way tells nothing of it. */
    forget(worker: WorkerId): void {
        this.#held.delete(worker);
        this.#asked.delete(worker);
        if (this.#pending.has(worker)) {
            this.#outdated.add(worker);
        }
    }

    /** Whether an answer that is on its way is surely about the worker's present life. */
    isOfPresentLife(worker: WorkerId): boolean {
        return !this.#outdated.has(worker);
    }

    /** Whether the service was asked of a worker. */
    wasAsked(worker: WorkerId): boolean {
        return this.#asked.has(worker);
    }

    /** Workers that may run the step, as far as is known. */
    get permitted(): Iterable<WorkerId> {
        return this.#held.keys();
    }

    /** Whether a worker may run the step, as far as is known. */
    isPermitted(worker: WorkerId): boolean {
        return this.#held.has(worker);
    }

    /** Workers whose tickets hold, with these. */
    ticketsAt(now: Milliseconds): (readonly [WorkerId, string])[] {
        const tickets: (readonly [WorkerId, string])[] = [];
        for (const [worker, { ticket, until }] of this.#held) {
            if (until > now) {
                tickets.push([worker, ticket]);
            }
        }
        return tickets;
    }

    /** The ticket of a worker, if it still holds. */
    ticketOf(worker: WorkerId, now: Milliseconds): string | undefined {
        const held = this.#held.get(worker);
        return held !== undefined && held.until > now ? held.ticket : undefined;
    }

    /** Takes an answer in. `until`: when its tickets run out. */
    take(asked: readonly WorkerId[], permits: readonly Permit[], until: Milliseconds): void {
        const named = new Set(permits.map(({ worker }) => worker));
        asked.forEach(worker => {
            this.#asked.add(worker);
            if (!named.has(worker)) {
                this.#held.delete(worker);
            }
        });
        for (const { worker, ticket } of permits) {
            this.#held.set(worker, { ticket, until: until - ticketMargin });
        }
    }

    /** A worker refused its ticket. */
    drop(worker: WorkerId): void {
        const held = this.#held.get(worker);
        if (held !== undefined) {
            held.until = 0;
        }
    }
}
