/** Order of entitled and surplus work. */
import type { Step } from "../state/index.js";
import type { Entitlements, FairShareOrder } from "./types.js";

/**
 * Puts work within organisations' entitlements before surplus work. Others are served as if the surplus had not been submitted, and it
 * still uses all capacity that they leave.
 */
export class EntitledFirst implements FairShareOrder {
    constructor(private readonly entitlements: Entitlements) {}

    entitlementOf({ job }: Step): number {
        return this.entitlements.entitlementOf(job);
    }
}
