/**
 * Tells since when the monotonic clock is sure to have counted all time.
 *
 * A machine may be suspended for seconds. The monotonic clock does not count that time; the time of day does. So when the time of
 * day gets ahead of the monotonic clock, the process may have been suspended just now, or the time of day was set: which of the
 * two cannot be told here, so it is a sign on which to ask again, never a length of time to reckon with. The clock that counts
 * suspension (CLOCK_BOOTTIME) is not read: Node.js has it only through `os.uptime()`, and where the users run us that shows the
 * time of the host, which does not go with the clocks of the process.
 */
import type { Milliseconds } from "./milliseconds.js";

/**
 * The time of day may get ahead by this much without a sign: it is read in whole milliseconds and is slewed by half a
 * millisecond a second at most. Shorter suspensions are within what leases have to spare for messages.
 */
const minGap: Milliseconds = 100;

/** See the module's comment. */
export class SuspensionDetector {
    #offset: Milliseconds | undefined;
    #uninterruptedSince: Milliseconds = -Infinity;

    /** Compares both clocks; the moment by the monotonic clock since which there was no gap, as far as is known. */
    check(monotonic: Milliseconds, timeOfDay: number): Milliseconds {
        const offset = timeOfDay - monotonic;
        if (this.#offset !== undefined && offset - this.#offset > minGap) {
            this.#uninterruptedSince = monotonic;
        }
        this.#offset = offset;
        return this.#uninterruptedSince;
    }
}
