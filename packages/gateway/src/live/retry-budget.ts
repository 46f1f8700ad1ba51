/** Limits repeated sends to a share of first sends, so that retries do not multiply under overload. */

/** Sends that may be repeated at once after a quiet time. */
const burst = 10;

/** A budget that first sends fill and repeated sends use. */
export class RetryBudget {
    #credit = burst;

    /** Notes a first send. `share`: repeated sends allowed a first send. */
    noteFirst(share: number): void {
        this.#credit = Math.min(burst, this.#credit + share);
    }

    /** Takes one repeated send; false when the budget is used up. */
    takeRetry(): boolean {
        if (this.#credit < 1) {
            return false;
        }
        this.#credit--;
        return true;
    }
}
