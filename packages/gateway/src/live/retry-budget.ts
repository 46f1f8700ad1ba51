/** Limit on the retries of live requests. */

/** Number of retries that are allowed in a burst. */
const maxTokens = 10;

/**
 * A token bucket that limits retries to a share of first attempts, so that retries do not multiply the load when
 * instances are overloaded.
 */
export class RetryBudget {
    #tokens = maxTokens;

    /** Adds `retryShare` tokens: the number of retries allowed per first attempt. */
    recordFirstAttempt(retryShare: number): void {
        this.#tokens = Math.min(maxTokens, this.#tokens + retryShare);
    }

    /** Takes the token for one retry; returns false if there is none. */
    tryConsume(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}
