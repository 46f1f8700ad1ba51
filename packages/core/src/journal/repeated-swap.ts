/**
 * Writes that are repeated until they are answered.
 *
 * A write that stays without an answer is sent again beside the first one, not after it: while the store is silent each call
 * waits for its time to be over, and the write is to be answered as soon as the store is back. Of several that wait only the
 * oldest is repeated; the others once a later call than theirs was answered, so that a slow store gets few calls twice, and one that
 * turns calls away is not flooded.
 */
import { type KeyVersion, type PlatformStore, PlatformUnavailableError, type SwapOutcome } from "../platform/index.js";
import { ResponseTimeEstimator, type Clock, type Milliseconds } from "../time/index.js";
import type { JournalOptions } from "./types.js";

/** An answer, and when the call that it answers was sent. */
export interface WriteAnswer {
    readonly outcome: SwapOutcome;
    readonly sentAt: Milliseconds;
}

/** What repeated writes need. */
export interface HedgedWriterDependencies {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly options: Pick<JournalOptions, "repeatAfter" | "retryDelay">;
    readonly signal: AbortSignal;
}

/** One write that has no answer yet. */
interface PendingWrite {
    readonly key: string;
    readonly expected: KeyVersion;
    readonly value: string;
    /** When its first call was sent. */
    readonly firstSentAt: Milliseconds;
    /** When its last call was sent. */
    lastSentAt: Milliseconds;
    /** When its first call that failed was sent. */
    failedSince: Milliseconds | undefined;
}

/** How one call ended: answered, or failed with a cause. */
type CallOutcome =
    | { readonly kind: "answered"; readonly answer: WriteAnswer; }
    | { readonly kind: "failed"; readonly cause: unknown; };

/** Longest time after which a write is repeated, however slow the store is, in milliseconds. */
const maxHedgeDelay: Milliseconds = 800;

/** See the module's comment. */
export class HedgedWriter {
    /** Those that wait, the oldest first. */
    readonly #pending = new Set<PendingWrite>();
    readonly #responseTimes: ResponseTimeEstimator | undefined;
    /** When the latest call that was answered was sent. */
    #latestAnsweredSentAt: Milliseconds = -Infinity;
    /** When the latest answer came. */
    #lastAnswerAt: Milliseconds = -Infinity;
    /** Wake the writes that wait until another one is answered. */
    readonly #answerListeners = new Set<() => void>();
    #calls = 0;

    constructor(private readonly dependencies: HedgedWriterDependencies) {
        const { repeatAfter } = dependencies.options;
        this.#responseTimes = repeatAfter === undefined
            ? undefined
            : new ResponseTimeEstimator({ min: repeatAfter, max: Math.max(repeatAfter, maxHedgeDelay) });
    }

    /** Number of calls so far. */
    get calls(): number {
        return this.#calls;
    }

    /** How long the oldest write has been without an answer; 0 when none is on its way. */
    waitingFor(): Milliseconds {
        return this.#longestSince(({ firstSentAt: since }) => since);
    }

    /** How long no write has been answered while some wait; 0 when none is on its way. */
    silentFor(): Milliseconds {
        return Math.min(this.waitingFor(), this.dependencies.clock.monotonic() - this.#lastAnswerAt);
    }

    /** How long calls have failed without an answer since; 0 while the store answers. */
    failingFor(): Milliseconds {
        return this.#longestSince(({ failedSince }) => failedSince);
    }

    /** Repeats a write until it is answered. Rejects when the signal fires, or with an error that no repetition mends. */
    async write(key: string, expected: KeyVersion, value: string): Promise<WriteAnswer> {
        const now = this.dependencies.clock.monotonic();
        const swap: PendingWrite = { key, expected, value, firstSentAt: now, lastSentAt: now, failedSince: undefined };
        this.#pending.add(swap);
        try {
            return await this.#sendUntilAnswered(swap);
        }
        finally {
            this.#pending.delete(swap);
        }
    }

    async #sendUntilAnswered(swap: PendingWrite): Promise<WriteAnswer> {
        const { signal } = this.dependencies;
        const pending = new Map<number, Promise<readonly [number, CallOutcome]>>();
        for (let call = 0;; call++) {
            signal.throwIfAborted();
            pending.set(call, this.#call(swap).then(end => [call, end] as const));
            const answer = await this.#waitForAnswer(swap, pending);
            if (answer !== undefined) {
                return answer;
            }
            if (pending.size === 0) {
                await this.#waitForRetry(swap);
            }
        }
    }

    /** Waits for an answer; undefined when every call has failed or it is time for another one. */
    async #waitForAnswer(
        swap: PendingWrite,
        pending: Map<number, Promise<readonly [number, CallOutcome]>>,
    ): Promise<WriteAnswer | undefined> {
        const due = this.#responseTimes === undefined ? [] : [this.#waitForHedge(swap, this.#responseTimes)];
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

    /** Resolves when a write whose answer is out is to be sent again, or is over. */
    async #waitForHedge(swap: PendingWrite, times: ResponseTimeEstimator): Promise<undefined> {
        const { clock, signal } = this.dependencies;
        do {
            await clock.sleep(times.timeout, signal);
        }
        while (this.#pending.has(swap) && !signal.aborted && !this.#mayResend(swap));
    }

    /** Resolves when a write all of whose calls failed is to be sent again: after a pause, or as soon as another one is answered. */
    async #waitForRetry(swap: PendingWrite): Promise<void> {
        const { clock, options, signal } = this.dependencies;
        await clock.sleep(options.retryDelay, signal);
        while (!signal.aborted && !this.#mayResend(swap)) {
            let wake = () => undefined as void;
            const answered = new Promise<void>(resolve => wake = resolve);
            this.#answerListeners.add(wake);
            await Promise.race([clock.sleep(options.retryDelay, signal), answered]);
            this.#answerListeners.delete(wake);
        }
    }

    #mayResend(swap: PendingWrite): boolean {
        const [oldest] = this.#pending;
        return swap === oldest || this.#latestAnsweredSentAt > swap.lastSentAt;
    }

    async #call(swap: PendingWrite): Promise<CallOutcome> {
        const sent = this.dependencies.clock.monotonic();
        this.#calls++;
        swap.lastSentAt = sent;
        try {
            const outcome = await this.dependencies.store.compareAndSwap(swap.key, swap.expected, swap.value);
            this.#responseTimes?.recordResponse(this.dependencies.clock.monotonic() - sent);
            this.#latestAnsweredSentAt = Math.max(this.#latestAnsweredSentAt, sent);
            this.#lastAnswerAt = this.dependencies.clock.monotonic();
            this.#answerListeners.forEach(wake => wake());
            return { kind: "answered", answer: { outcome, sentAt: sent } };
        }
        catch (cause) {
            swap.failedSince ??= sent;
            return { kind: "failed", cause };
        }
    }

    #longestSince(sinceOf: (swap: PendingWrite) => Milliseconds | undefined): Milliseconds {
        const now = this.dependencies.clock.monotonic();
        let longest = 0;
        for (const swap of this.#pending) {
            longest = Math.max(longest, now - (sinceOf(swap) ?? now));
        }
        return longest;
    }
}
