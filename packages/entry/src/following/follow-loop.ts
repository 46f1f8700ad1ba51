/**
 * Follows something in the store until it is told to stop: reads all, then takes changes in, and knows how old that is.
 *
 * A connection may fall silent without an end. A call over it looks like a store with nothing new, so no call waits for long
 * and each is given up soon after its wait is over.
 */
import { type Clock, type Milliseconds, ResponseTimeEstimator } from "@pebbledale/core";
import { createAbortController, NoAnswerError } from "@pebbledale/runtime";
import {
    followRetryDelay,
    maxReadAllTimeout,
    maxSlack,
    readAllTimeout,
    repeatedRetryDelay,
    retryWait,
    shortestSlack,
} from "./constants.js";
import type { FollowLimits } from "./limits.js";
import type { StoreProbe } from "./store-probe.js";

/** What one call brought. */
export interface FollowedUpdate {
    /** Where the next call goes on. */
    readonly cursor: string;
    /** Takes it in. Not done for a call that was given up: newer news may have been taken in before it ends. */
    readonly apply: () => void;
}

/** What is followed. Calls reject when no answer came. */
export interface FollowSource {
    /** Reads all as it stands. */
    readAll(signal: AbortSignal): Promise<FollowedUpdate>;
    /** Waits at most `wait` for changes since; undefined when all must be read again. */
    changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined>;
}

/** What a loop needs. */
export interface FollowLoopOptions {
    readonly source: FollowSource;
    readonly clock: Clock;
    readonly limits: FollowLimits;
    /** Tells when a store that has been silent answers again; left out where a call may wait until it is given up. */
    readonly probe?: StoreProbe;
    /** Told of each answer, after it was taken in. */
    readonly onAnswer: () => void;
    /** Told of each call without an answer, and how long ago the last one came; undefined when there was none yet. */
    readonly onFailure: (cause: unknown, age: Milliseconds | undefined) => void;
}

/** Thrown when a call is given up as the store, silent when it was made, answers again. */
class StoreRecoveredError extends Error {
    override readonly name = "StoreBackError";
}

/** See the module's comment. */
export class FollowLoop {
    #answeredAt: Milliseconds | undefined;
    #failuresInARow = 0;
    readonly #answerTimes: ResponseTimeEstimator;

    constructor(private readonly options: FollowLoopOptions) {
        const { slack } = options.limits;
        this.#answerTimes = new ResponseTimeEstimator({ min: Math.min(shortestSlack, slack), max: slack });
    }

    /** How long ago the store last answered: what is known is that old. Undefined before the first answer. */
    get age(): Milliseconds | undefined {
        return this.#answeredAt === undefined ? undefined : this.options.clock.monotonic() - this.#answeredAt;
    }

    /** Follows until `signal` fires. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, onAnswer, onFailure } = this.options;
        let cursor: string | undefined;
        while (!signal.aborted) {
            try {
                const news = await this.#fetchNext(cursor, signal);
                news?.apply();
                cursor = news?.cursor;
                this.#answeredAt = clock.monotonic();
                this.#failuresInARow = 0;
                onAnswer();
            }
            catch (cause) {
                if (!signal.aborted && !(cause instanceof StoreRecoveredError)) {
                    onFailure(cause, this.age);
                    this.#failuresInARow++;
                    await clock.sleep(this.#failuresInARow > 1 ? repeatedRetryDelay : followRetryDelay, signal);
                }
            }
        }
    }

    #fetchNext(cursor: string | undefined, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const { source: followed, limits } = this.options;
        if (cursor === undefined) {
            const limit = Math.min(maxReadAllTimeout, readAllTimeout * 2 ** this.#failuresInARow);
            return this.#withTimeout(limit, signal, linked => followed.readAll(linked));
        }
        const wait = this.#failuresInARow > 0 ? retryWait : limits.wait;
        return this.#withTimeout(wait + this.#slack, signal, async linked => {
            const sentAt = this.options.clock.monotonic();
            const news = await followed.changes(cursor, wait, linked);
            this.#recordAnswerTime(this.options.clock.monotonic() - sentAt - wait);
            return news;
        });
    }

    /** How long the answer to a call may stay out beyond its wait. */
    get #slack(): Milliseconds {
        return Math.min(maxSlack, this.#answerTimes.timeout * 2 ** this.#failuresInARow);
    }

    /** An answer that came before the wait was over brought news, and tells nothing of the time that answers take. */
    #recordAnswerTime(took: Milliseconds): void {
        if (took >= 0) {
            this.#answerTimes.recordResponse(took);
        }
    }

    /**
     * Gives a call up after `limit`: without an answer by then its connection is taken for silent. One that goes through
     * another VM does not heed the signal and is left to itself.
     */
    async #withTimeout<Value>(
        limit: Milliseconds,
        signal: AbortSignal,
        call: (linked: AbortSignal) => Promise<Value>,
    ): Promise<Value> {
        const ended = createAbortController();
        const end = () => ended.abort(signal.reason);
        signal.addEventListener("abort", end, { once: true });
        const finished = createAbortController();
        const givenUp = new Promise<never>((_resolve, reject) =>
            ended.signal.addEventListener("abort", () => reject(ended.signal.reason as Error))
        );
        void this.#waitForRecovery(finished.signal).then(isBack =>
            isBack ? ended.abort(new StoreRecoveredError("the store answers again")) : undefined
        );
        void this.options.clock.sleep(limit, finished.signal).then(() =>
            finished.signal.aborted ? undefined : ended.abort(new NoAnswerError(`no answer in ${Math.round(limit)} ms`))
        );
        try {
            return await Promise.race([call(ended.signal), givenUp]);
        }
        finally {
            finished.abort();
            signal.removeEventListener("abort", end);
        }
    }

    /** Whether the store came back while a call was out. A call that waits for news is given up soon in any case. */
    async #waitForRecovery(signal: AbortSignal): Promise<boolean> {
        const isReadingAll = this.#answeredAt === undefined;
        return (isReadingAll || this.#failuresInARow > 0) && await this.options.probe?.waitForRecovery(signal) === true;
    }
}
