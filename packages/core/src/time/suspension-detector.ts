/** Detection of machine suspensions by comparing clocks. */
import type { Milliseconds } from "./milliseconds.js";

/**
 * Smallest jump of the wall clock that counts as a suspension, well above its resolution and slewing. Lease margins cover
 * shorter suspensions.
 */
const minJump: Milliseconds = 100;

/**
 * Detects possible suspensions of the machine.
 *
 * While a machine is suspended, the wall clock advances and the monotonic clock does not. A jump of the wall clock relative to
 * the monotonic clock thus means a suspension or a change of the wall clock. These cannot be told apart, so a jump only means
 * that earlier confirmations are out of date; its size is not meaningful. CLOCK_BOOTTIME, which counts suspensions, is not used:
 * Node.js exposes it only as `os.uptime()`, which may show the host's time and not match the clocks of the process.
 */
export class SuspensionDetector {
    #offset: Milliseconds | undefined;
    #uninterruptedSince: Milliseconds = -Infinity;

    /**
     * Compares readings of both clocks, `wallClock` in Unix milliseconds. Returns the monotonic time of the last detected jump, or
     * -Infinity.
     */
    check(monotonic: Milliseconds, wallClock: number): Milliseconds {
        const offset = wallClock - monotonic;
        if (this.#offset !== undefined && offset - this.#offset > minJump) {
            this.#uninterruptedSince = monotonic;
        }
        this.#offset = offset;
        return this.#uninterruptedSince;
    }
}
