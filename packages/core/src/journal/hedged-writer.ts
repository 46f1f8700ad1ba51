/** Compare-and-swap writes that are hedged and retried until they are answered. */
import { type KeyVersion, type PlatformStore, PlatformUnavailableError, type SwapOutcome } from "../platform/index.js";
import { ResponseTimeEstimator, type Clock, type Milliseconds } from "../time/index.js";
import type { JournalOptions } from "./types.js";

/** The answer to a write, and when the answered call was sent. */
export interface WriteAnswer {
    readonly outcome: SwapOutcome;
    readonly sentAt: Milliseconds;
}

/** Dependencies of {@link HedgedWriter}. */
export interface HedgedWriterDependencies {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly options: Pick<JournalOptions, "repeatAfter" | "retryDelay">;
    readonly signal: AbortSignal;
}

interface PendingWrite {
    readonly key: string;
    readonly expected: KeyVersion;
    readonly value: string;
    readonly firstSentAt: Milliseconds;
    lastSentAt: Milliseconds;
    /** When the first call that failed was sent. */
    failedSince: Milliseconds | undefined;
}

type CallOutcome =
    | { readonly kind: "answered"; readonly answer: WriteAnswer; }
    | { readonly kind: "failed"; readonly cause: unknown; };

/** Upper bound of the delay before a hedged call, in milliseconds. */
const maxHedgeDelay: Milliseconds = 800;

/**
 * Repeats each write until it is answered.
 *
 * A write without an answer is sent again in parallel to the first call, as calls to a silent store only fail after their
 * timeout and the write should succeed as soon as the store is back. Of several pending writes only the oldest is repeated; the
 * others follow once a call sent later than theirs was answered. This limits duplicate calls on a slow store, and does not
 * overload a store that rejects calls.
 */
export class HedgedWriter {
    /** Unanswered writes, oldest first. */
    readonly #pending = new Set<PendingWrite>();
    readonly #responseTimes: ResponseTimeEstimator | undefined;
    /** Latest send time of all answered calls. */
    #latestAnsweredSentAt: Milliseconds = -Infinity;
    /** When the latest answer arrived. */
    #lastAnswerAt: Milliseconds = -Infinity;
    /** Called on each answer; wakes writes that wait for another one to be answered. */
    readonly #answerListeners = new Set<() => void>();
    #calls = 0;

    constructor(private readonly dependencies: HedgedWriterDependencies) {
        const { repeatAfter } = dependencies.options;
        this.#responseTimes = repeatAfter === undefined
            ? undefined
            : new ResponseTimeEstimator({ min: repeatAfter, max: Math.max(repeatAfter, maxHedgeDelay) });
    }

    get calls(): number {
        return this.#calls;
    }

    /** Age of the oldest unanswered write; 0 when there is none. */
    waitingFor(): Milliseconds {
        return this.#longestSince(({ firstSentAt }) => firstSentAt);
    }

    /** Time without any answer while writes are pending; 0 when there are none. */
    silentFor(): Milliseconds {
        return Math.min(this.waitingFor(), this.dependencies.clock.monotonic() - this.#lastAnswerAt);
    }

    /** Whether writes have been without any answer for longer than answers usually take. */
    isOverdue(): boolean {
        return this.silentFor() > (this.#responseTimes?.timeout ?? Infinity);
    }

    /** Longest time for which calls of a pending write have been failing; 0 when none has failed. */
    failingFor(): Milliseconds {
        return this.#longestSince(({ failedSince }) => failedSince);
    }

    /** Sends a write until it is answered. Rejects when the signal aborts, or with an error that is not retryable. */
    async write(key: string, expected: KeyVersion, value: string): Promise<WriteAnswer> {
        const now = this.dependencies.clock.monotonic();
        const pending: PendingWrite = { key, expected, value, firstSentAt: now, lastSentAt: now, failedSince: undefined };
        this.#pending.add(pending);
        try {
            return await this.#sendUntilAnswered(pending);
        }
        finally {
            this.#pending.delete(pending);
        }
    }

    async #sendUntilAnswered(write: PendingWrite): Promise<WriteAnswer> {
        const { signal } = this.dependencies;
        const pending = new Map<number, Promise<readonly [number, CallOutcome]>>();
        for (let call = 0;; call++) {
            signal.throwIfAborted();
            pending.set(call, this.#call(write).then(end => [call, end] as const));
            const answer = await this.#waitForAnswer(write, pending);
            if (answer !== undefined) {
                return answer;
            }
            if (pending.size === 0) {
                await this.#waitForRetry(write);
            }
        }
    }

    /** Waits for an answer; undefined when all calls have failed or another one is due. */
    async #waitForAnswer(
        write: PendingWrite,
        pending: Map<number, Promise<readonly [number, CallOutcome]>>,
    ): Promise<WriteAnswer | undefined> {
        const due = this.#responseTimes === undefined ? [] : [this.#waitForHedge(write, this.#responseTimes)];
        while (pending.size > 0) {
            const ended = await Promise.race([...pending.values(), ...due]);
            if (ended === undefined) {
                return undefined;
            }
            const [call, end] = ended;
            pending.delete(call);
            if (end.kind === "answered") {
                return end.answer;
            }
            if (!(end.cause instanceof PlatformUnavailableError)) {
                throw end.cause;
            }
        }
        return undefined;
    }

    /** Resolves when a hedged call of an unanswered write is due, or the write has ended. */
    async #waitForHedge(write: PendingWrite, times: ResponseTimeEstimator): Promise<undefined> {
        const { clock, signal } = this.dependencies;
        do {
            await clock.sleep(times.timeout, signal);
        }
        while (this.#pending.has(write) && !signal.aborted && !this.#mayResend(write));
    }

    /** Resolves when a write whose calls have all failed may be retried, after the retry delay at the earliest. */
    async #waitForRetry(write: PendingWrite): Promise<void> {
        const { clock, options, signal } = this.dependencies;
        await clock.sleep(options.retryDelay, signal);
        while (!signal.aborted && !this.#mayResend(write)) {
            let wake = () => undefined as void;
            const answered = new Promise<void>(resolve => wake = resolve);
            this.#answerListeners.add(wake);
            await Promise.race([clock.sleep(options.retryDelay, signal), answered]);
            this.#answerListeners.delete(wake);
        }
    }

    #mayResend(write: PendingWrite): boolean {
        const [oldest] = this.#pending;
        return write === oldest || this.#latestAnsweredSentAt > write.lastSentAt;
    }

    async #call(write: PendingWrite): Promise<CallOutcome> {
        const sentAt = this.dependencies.clock.monotonic();
        this.#calls++;
        write.lastSentAt = sentAt;
        try {
            const outcome = await this.dependencies.store.compareAndSwap(write.key, write.expected, write.value);
            this.#responseTimes?.recordResponse(this.dependencies.clock.monotonic() - sentAt);
            this.#latestAnsweredSentAt = Math.max(this.#latestAnsweredSentAt, sentAt);
            this.#lastAnswerAt = this.dependencies.clock.monotonic();
            this.#answerListeners.forEach(wake => wake());
            return { kind: "answered", answer: { outcome, sentAt } };
        }
        catch (cause) {
            write.failedSince ??= sentAt;
            return { kind: "failed", cause };
        }
    }

    #longestSince(sinceOf: (write: PendingWrite) => Milliseconds | undefined): Milliseconds {
        const now = this.dependencies.clock.monotonic();
        let longest = 0;
        for (const write of this.#pending) {
            longest = Math.max(longest, now - (sinceOf(write) ?? now));
        }
        return longest;
    }
}
