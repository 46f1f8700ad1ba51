/** Tells nobody apart: steps go by their urgency alone. */
import type { ShareOrder } from "./types.js";

/** See the module's comment. */
export class EqualStanding implements ShareOrder {
    /** See {@link ShareOrder.begin}. */
    begin(): void {
        // Nothing changes from pass to pass.
    }

    /** See {@link ShareOrder.standingOf}. */
    standingOf(): number {
        return 0;
    }
}
