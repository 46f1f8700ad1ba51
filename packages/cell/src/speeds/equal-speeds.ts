/** Takes all workers of a service for equally fast. */
import type { WorkerSpeeds } from "./types.js";

/** See the module's comment. */
export class EqualSpeeds implements WorkerSpeeds {
    /** See {@link WorkerSpeeds.noteDone}. */
    noteDone(): void {
        // Nothing is learned.
    }

    /** See {@link WorkerSpeeds.slownessOf}. */
    slownessOf(): number {
        return 1;
    }

    /** See {@link WorkerSpeeds.forgetWorker}. */
    forgetWorker(): void {
        // Nothing is known.
    }
}
