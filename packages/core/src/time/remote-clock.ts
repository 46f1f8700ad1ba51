/** Relation between the local monotonic clock and that of another process. */
import type { SuspensionAwareClock } from "./clock.js";
import type { Milliseconds } from "./milliseconds.js";

/**
 * A message that another process has received: the local time at which it was sent, and the remote time of its arrival, both on
 * monotonic clocks.
 */
export interface ClockEcho {
    readonly sentAt: Milliseconds;
    readonly receivedAt: Milliseconds;
}

/** Bounds are renewed at this interval, as the clocks of two machines do not run at quite the same rate. */
const boundLifetime: Milliseconds = 10_000;

/**
 * Dates events of another process by the local clock without trusting the time at which a message about them is read, which may be
 * long after it was sent. The result is never too late: it is early by the fastest delivery that was observed.
 */
export class RemoteClock {
    /** Lower bounds of the local time minus the remote one, from the current and the previous interval. */
    #bound = -Infinity;
    #formerBound = -Infinity;
    #boundSince = -Infinity;
    #uninterruptedSince = -Infinity;

    constructor(private readonly clock: SuspensionAwareClock) {}

    /** Whether events can be dated: an echo has been added since the last possible suspension of this process. */
    get isKnown(): boolean {
        this.#forgetBeforeSuspension();
        return Math.max(this.#bound, this.#formerBound) > -Infinity;
    }

    /** Adds an echo. One of a message that was sent before a possible suspension of this process is ignored. */
    addEcho({ sentAt, receivedAt }: ClockEcho): void {
        this.#forgetBeforeSuspension();
        if (sentAt < this.#uninterruptedSince) {
            return;
        }
        const now = this.clock.monotonic();
        if (now - this.#boundSince >= boundLifetime) {
            this.#formerBound = this.#bound;
            this.#bound = -Infinity;
            this.#boundSince = now;
        }
        this.#bound = Math.max(this.#bound, sentAt - receivedAt);
    }

    /** The earliest local time at which an event of the remote time `remote` may have happened; undefined while that is not known. */
    earliestTimeOf(remote: Milliseconds): Milliseconds | undefined {
        return this.isKnown
            ? Math.min(remote + Math.max(this.#bound, this.#formerBound), this.clock.monotonic())
            : undefined;
    }

    /** A suspension stops the local clock and not the remote one. */
    #forgetBeforeSuspension(): void {
        const uninterruptedSince = this.clock.uninterruptedSince();
        if (uninterruptedSince !== this.#uninterruptedSince) {
            this.#uninterruptedSince = uninterruptedSince;
            this.#bound = -Infinity;
            this.#formerBound = -Infinity;
        }
    }
}
