/**
 * Whether answers of workers have been lost lately, by all links of this VM.
 *
 * The answer to a look that waits for an end may be lost like any other, and until that is found out no end of its worker
 * is seen. While answers are being lost, looks wait for a shorter time.
 */
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { lossWindow } from "./constants.js";

/** See the module's comment. */
export class LossMonitor {
    #lastLossAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock, private readonly logger: EventLogger) {}

    /** An answer was lost. */
    noteLoss(): void {
        if (!this.hasRecentLoss) {
            this.logger.log(logEvents.answersLost, { remembered: lossWindow });
        }
        this.#lastLossAt = this.clock.monotonic();
    }

    /** Whether an answer was lost lately. */
    get hasRecentLoss(): boolean {
        return this.clock.monotonic() - this.#lastLossAt < lossWindow;
    }
}
