/**
 * Puts what organisations are owed in front of what they send beyond it.
 *
 * The load that it answers: one organisation sends many times its usual and the room does not hold all of it. Its surplus takes what the
 * others leave, so that they are served as if it had not been sent, and waits for nothing while there is room.
 */
import type { Step } from "../state/index.js";
import type { Entitlements, ShareOrder } from "./types.js";

/** See the module's comment. */
export class OwedFirst implements ShareOrder {
    constructor(private readonly entitlements: Entitlements) {}

    /** See {@link ShareOrder.standingOf}. */
    standingOf({ job }: Step): number {
        return this.entitlements.of(job);
    }
}
