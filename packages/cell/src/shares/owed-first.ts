/**
 * Puts what organisations are owed in front of what they send beyond it.
 *
 * The load that it answers: one organisation sends many times its usual and the room does not hold all of it. Its surplus takes what the
 * others leave, so that they are served as if it had not been sent, and waits for nothing while there is room.
 */
import type { Step } from "../state/index.js";
import type { Entitlements, FairShareOrder } from "./types.js";

/** See the module's comment. */
export class EntitledFirst implements FairShareOrder {
    constructor(private readonly entitlements: Entitlements) {}

    /** See {@link FairShareOrder.entitlementOf}. */
    entitlementOf({ job }: Step): number {
        return this.entitlements.entitlementOf(job);
    }
}
