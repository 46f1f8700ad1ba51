/**
 * Follows something in the store until it is told to stop: reads all, then takes changes in, and knows how old that is.
 *
 * A connection may fall silent without an end. A call over it looks like a store with nothing new, so no call waits for long
 * and each is given up soon after its wait is over.
 */
import { AnswerTimes, type Clock, type Milliseconds } from "@pebbledale/core";
import { createAbortController, NoAnswerError } from "@pebbledale/runtime";
import {
    followRetryDelay,
    mostReadAllLimit,
    mostSlack,
    probeWait,
    readAllLimit,
    repeatedRetryDelay,
    shortestSlack,
} from "./constants.js";
import type { FollowLimits } from "./limits.js";
import type { StoreProbe } from "./store-probe.js";

/** What one call brought. */
export interface FollowedNews {
    /** Where the next call goes on. */
    readonly cursor: string;
    /** Takes it in. Not done for a call that was given up: newer news may have been taken in before it ends. */
    readonly take: () => void;
}

/** What is followed. Calls reject when no answer came. */
export interface Followed {
    /** Reads all as it stands. */
    readAll(signal: AbortSignal): Promise<FollowedNews>;
    /** Waits at most `wait` for changes since; undefined when all must be read again. */
    changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedNews | undefined>;
}

/** What a loop needs. */
export interface FollowLoopOptions {
    readonly followed: Followed;
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
class StoreBackError extends Error {
    override readonly name = "StoreBackError";
}

/** See the module's comment. */
export class FollowLoop {
    #answeredAt: Milliseconds | undefined;
    #failuresInARow = 0;
    readonly #answerTimes: AnswerTimes;

    constructor(private readonly options: FollowLoopOptions) {
        const { slack } = options.limits;
        this.#answerTimes = new AnswerTimes({ shortest: Math.min(shortestSlack, slack), longest: slack });
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
                const news = await this.#followOnce(cursor, signal);
                news?.take();
                cursor = news?.cursor;
                this.#answeredAt = clock.monotonic();
                this.#failuresInARow = 0;
                onAnswer();
            }
            catch (cause) {
                if (!signal.aborted && !(cause instanceof StoreBackError)) {
                    onFailure(cause, this.age);
                    this.#failuresInARow++;
                    await clock.sleep(this.#failuresInARow > 1 ? repeatedRetryDelay : followRetryDelay, signal);
                }
            }
        }
    }

    #followOnce(cursor: string | undefined, signal: AbortSignal): Promise<FollowedNews | undefined> {
        const { followed, limits } = this.options;
        if (cursor === undefined) {
            const limit = Math.min(mostReadAllLimit, readAllLimit * 2 ** this.#failuresInARow);
            return this.#within(limit, signal, linked => followed.readAll(linked));
        }
        const wait = this.#failuresInARow > 0 ? probeWait : limits.wait;
        return this.#within(wait + this.#slack, signal, async linked => {
            const sentAt = this.options.clock.monotonic();
            const news = await followed.changes(cursor, wait, linked);
            this.#noteAnswerTime(this.options.clock.monotonic() - sentAt - wait);
            return news;
        });
    }

    /** How long the answer to a call may stay out beyond its wait. */
    get #slack(): Milliseconds {
        return Math.min(mostSlack, this.#answerTimes.limit * 2 ** this.#failuresInARow);
    }

    /** An answer that came before the wait was over brought news, and tells nothing of the time that answers take. */
    #noteAnswerTime(took: Milliseconds): void {
        if (took >= 0) {
            this.#answerTimes.note(took);
        }
    }

    /**
     * Gives a call up after `limit`: without an answer by then its connection is taken for silent. One that goes through
     * another VM does not heed the signal and is left to itself.
     */
    async #within<Value>(
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
        void this.#untilBack(finished.signal).then(isBack =>
            isBack ? ended.abort(new StoreBackError("the store answers again")) : undefined
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
    async #untilBack(signal: AbortSignal): Promise<boolean> {
        const isReadingAll = this.#answeredAt === undefined;
        return (isReadingAll || this.#failuresInARow > 0) && await this.options.probe?.untilBack(signal) === true;
    }
}
