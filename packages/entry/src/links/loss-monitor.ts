/** Detection of lost answers. */
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { lossWindow } from "./constants.js";

/**
 * Tracks for all links of this VM whether answers of workers have recently been lost. The end of a run is not seen
 * while a poll whose answer was lost has not timed out, so polls wait for a shorter time while answers are being lost.
 */
export class LossMonitor {
    #lastLossAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock, private readonly logger: EventLogger) {}

    /** Records the loss of an answer. */
    recordLoss(): void {
        if (!this.hasRecentLoss) {
            this.logger.log(logEvents.answersLost, { remembered: lossWindow });
        }
        this.#lastLossAt = this.clock.monotonic();
    }

    get hasRecentLoss(): boolean {
        return this.clock.monotonic() - this.#lastLossAt < lossWindow;
    }
}
