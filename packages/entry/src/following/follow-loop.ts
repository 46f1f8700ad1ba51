/** Follows a source of changes in the store. */
import { type Clock, type Milliseconds, ResponseTimeEstimator } from "@pebbledale/core";
import { createAbortController, NoAnswerError } from "@pebbledale/runtime";
import {
    followRetryDelay,
    maxReadAllTimeout,
    maxSlack,
    minSlack,
    readAllTimeout,
    repeatedRetryDelay,
    retryWait,
} from "./constants.js";
import type { FollowLimits } from "./limits.js";
import type { StoreProbe } from "./store-probe.js";

/** Result of one call. */
export interface FollowedUpdate {
    /** Cursor for the next call. */
    readonly cursor: string;
    /** Applies the result. Not called when the call was abandoned: a newer result may have been applied by then. */
    readonly apply: () => void;
}

/** What a {@link FollowLoop} follows. Calls reject when no answer arrives. */
export interface FollowSource {
    /** Reads the whole current state. */
    readAll(signal: AbortSignal): Promise<FollowedUpdate>;
    /** Waits up to `wait` for changes after the cursor; undefined when the whole state has to be read again. */
    changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined>;
}

/** What a {@link FollowLoop} depends on. */
export interface FollowLoopOptions {
    readonly source: FollowSource;
    readonly clock: Clock;
    readonly limits: FollowLimits;
    /** Detects that the store answers again. Without one, a call to a silent store ends only by its timeout. */
    readonly probe?: StoreProbe;
    /**
     * After an answer that came with changes, the next call is sent this much later, so that it brings all that have come meanwhile.
     * Its wait is shorter by as much. For what changes so often that each change would take a call.
     */
    readonly gatherFor?: Milliseconds;
    /** Called after each answer, once it is applied. */
    readonly onAnswer: () => void;
    /** Called after each failed call. `age`: time since the last answer, undefined before the first. */
    readonly onFailure: (cause: unknown, age: Milliseconds | undefined) => void;
}

/** Ends a call that was sent while the store was silent: the store has recovered and will not answer that call. */
class StoreRecoveredError extends Error {
    override readonly name = "StoreRecoveredError";
}

/**
 * Keeps a local copy of data in the store up to date: reads the whole state once, then waits for changes in a loop, and reports
 * the age of the copy.
 *
 * A connection can die without being closed, and then looks like a store without changes. Each call therefore waits only briefly
 * and is abandoned soon after its wait is over.
 */
export class FollowLoop {
    #answeredAt: Milliseconds | undefined;
    #consecutiveFailures = 0;
    /** Whether the last answer came before its wait was over. */
    #hasEarlyAnswer = false;
    readonly #responseTimes: ResponseTimeEstimator;

    constructor(private readonly options: FollowLoopOptions) {
        const { slack } = options.limits;
        this.#responseTimes = new ResponseTimeEstimator({ min: Math.min(minSlack, slack), max: slack });
    }

    /** Age of the copy: time since the store last answered, undefined before the first answer. */
    get age(): Milliseconds | undefined {
        return this.#answeredAt === undefined ? undefined : this.options.clock.monotonic() - this.#answeredAt;
    }

    async run(signal: AbortSignal): Promise<void> {
        const { clock, onAnswer, onFailure } = this.options;
        let cursor: string | undefined;
        while (!signal.aborted) {
            try {
                const update = await this.#fetchNext(cursor, signal);
                update?.apply();
                cursor = update?.cursor;
                this.#answeredAt = clock.monotonic();
                this.#consecutiveFailures = 0;
                onAnswer();
                await this.#gather(signal);
            }
            catch (cause) {
                if (!signal.aborted && !(cause instanceof StoreRecoveredError)) {
                    onFailure(cause, this.age);
                    this.#consecutiveFailures++;
                    await clock.sleep(this.#consecutiveFailures > 1 ? repeatedRetryDelay : followRetryDelay, signal);
                }
            }
        }
    }

    #fetchNext(cursor: string | undefined, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const { source, limits } = this.options;
        if (cursor === undefined) {
            const limit = Math.min(maxReadAllTimeout, readAllTimeout * 2 ** this.#consecutiveFailures);
            return this.#withTimeout(limit, signal, linked => source.readAll(linked));
        }
        const gathered = this.#hasEarlyAnswer ? this.#gatherFor : 0;
        const wait = this.#consecutiveFailures > 0 ? retryWait : limits.wait - gathered;
        return this.#withTimeout(wait + this.#slack, signal, async linked => {
            const sentAt = this.options.clock.monotonic();
            const update = await source.changes(cursor, wait, linked);
            const lateness = this.options.clock.monotonic() - sentAt - wait;
            this.#recordResponseTime(lateness);
            this.#hasEarlyAnswer = update !== undefined && lateness < 0;
            return update;
        });
    }

    /** How long changes are gathered; less where the required freshness is very short. */
    get #gatherFor(): Milliseconds {
        return Math.min(this.options.gatherFor ?? 0, this.options.limits.wait / 2);
    }

    async #gather(signal: AbortSignal): Promise<void> {
        if (this.#hasEarlyAnswer && this.#gatherFor > 0) {
            await this.options.clock.sleep(this.#gatherFor, signal);
        }
    }

    /** Time after the end of its wait within which a call must be answered. */
    get #slack(): Milliseconds {
        return Math.min(maxSlack, this.#responseTimes.timeout * 2 ** this.#consecutiveFailures);
    }

    /** Ignores answers that arrive before the wait is over: they carry changes and say nothing about the store's response time. */
    #recordResponseTime(responseTime: Milliseconds): void {
        if (responseTime >= 0) {
            this.#responseTimes.recordResponse(responseTime);
        }
    }

    /**
     * Abandons a call after `limit`. A call that another VM makes for this one ignores the signal; its result is discarded when it
     * arrives.
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
        const abandoned = new Promise<never>((_resolve, reject) =>
            ended.signal.addEventListener("abort", () => reject(ended.signal.reason as Error))
        );
        void this.#waitForRecovery(finished.signal).then(hasRecovered =>
            hasRecovered ? ended.abort(new StoreRecoveredError("the store recovered")) : undefined
        );
        void this.options.clock.sleep(limit, finished.signal).then(() =>
            finished.signal.aborted ? undefined : ended.abort(new NoAnswerError(`no answer in ${Math.round(limit)} ms`))
        );
        try {
            return await Promise.race([call(ended.signal), abandoned]);
        }
        finally {
            finished.abort();
            signal.removeEventListener("abort", end);
        }
    }

    /** Resolves to true if the store recovers during a call. Waits for changes need no such check, as they time out soon. */
    async #waitForRecovery(signal: AbortSignal): Promise<boolean> {
        const isReadingAll = this.#answeredAt === undefined;
        return (isReadingAll || this.#consecutiveFailures > 0)
            && await this.options.probe?.waitForRecovery(signal) === true;
    }
}
