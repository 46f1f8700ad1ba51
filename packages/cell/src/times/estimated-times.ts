/** Takes callers' estimates for the real times. */
import type { Milliseconds } from "@pebbledale/core";
import type { Step } from "../state/index.js";
import type { TaskTimes, TimeFactor } from "./types.js";

const asEstimated: TimeFactor = { median: 1, ninetieth: 1, samples: 0 };

/** See the module's comment. */
export class EstimatedTimes implements TaskTimes {
    /** See {@link TaskTimes.noteDone}. */
    noteDone(): void {
        // Nothing is learned.
    }

    /** See {@link TaskTimes.factorOf}. */
    factorOf(): TimeFactor {
        return asEstimated;
    }

    /** See {@link TaskTimes.expectedTime}. */
    expectedTime({ definition: { estimate } }: Step): Milliseconds {
        return estimate;
    }
}
