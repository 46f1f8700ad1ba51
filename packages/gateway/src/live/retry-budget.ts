/** Limits repeated sends to a share of first sends, so that retries do not multiply under overload. */

/** Sends that may be repeated at once after a quiet time. */
const maxTokens = 10;

/** A budget that first sends fill and repeated sends use. */
export class RetryBudget {
    #tokens = maxTokens;

    /** Notes a first send. `share`: repeated sends allowed a first send. */
    recordFirstAttempt(retryShare: number): void {
        this.#tokens = Math.min(maxTokens, this.#tokens + retryShare);
    }

    /** Takes one repeated send; false when the budget is used up. */
    tryConsume(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}
