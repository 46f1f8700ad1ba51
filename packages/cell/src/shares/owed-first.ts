/** Order of entitled and surplus work. */
import type { Step } from "../state/index.js";
import type { Entitlements, ShareOrder } from "./types.js";

/**
 * Puts work within organisations' entitlements before surplus work. Others are served as if the surplus had not been submitted, and it
 * still uses all capacity that they leave.
 */
export class OwedFirst implements ShareOrder {
    constructor(private readonly entitlements: Entitlements) {}

    standingOf({ job }: Step): number {
        return this.entitlements.of(job);
    }
}
