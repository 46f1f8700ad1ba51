/** Compare-and-swap writes that are hedged and retried until they are answered. */
import { type KeyVersion, type PlatformStore, PlatformUnavailableError, type SwapOutcome } from "../platform/index.js";
import { AnswerTimes, type Clock, type Milliseconds } from "../time/index.js";
import type { JournalOptions } from "./types.js";

/** The answer to a write, and when the answered call was sent. */
export interface AnsweredSwap {
    readonly outcome: SwapOutcome;
    readonly sent: Milliseconds;
}

/** Dependencies of {@link HedgedWriter}. */
export interface RepeatedSwapOptions {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly options: Pick<JournalOptions, "repeatAfter" | "retryDelay">;
    readonly signal: AbortSignal;
}

interface OpenSwap {
    readonly key: string;
    readonly expected: KeyVersion;
    readonly value: string;
    readonly since: Milliseconds;
    lastSent: Milliseconds;
    /** When the first call that failed was sent. */
    failedSince: Milliseconds | undefined;
}

type CallEnd =
    | { readonly kind: "answered"; readonly answer: AnsweredSwap; }
    | { readonly kind: "failed"; readonly cause: unknown; };

/** Upper bound of the delay before a hedged call, in milliseconds. */
const longestRepeatAfter: Milliseconds = 800;

/**
 * Repeats each write until it is answered.
 *
 * A write without an answer is sent again in parallel to the first call, as calls to a silent store only fail after their
 * timeout and the write should succeed as soon as the store is back. Of several pending writes only the oldest is repeated; the
 * others follow once a call sent later than theirs was answered. This limits duplicate calls on a slow store, and does not
 * overload a store that rejects calls.
 */
export class RepeatedSwaps {
    /** Unanswered writes, oldest first. */
    readonly #open = new Set<OpenSwap>();
    readonly #answerTimes: AnswerTimes | undefined;
    /** Latest send time of all answered calls. */
    #answeredSent: Milliseconds = -Infinity;
    /** When the latest answer arrived. */
    #answeredAt: Milliseconds = -Infinity;
    /** Called on each answer; wakes writes that wait for another one to be answered. */
    readonly #onAnswer = new Set<() => void>();
    #calls = 0;

    constructor(private readonly needs: RepeatedSwapOptions) {
        const { repeatAfter } = needs.options;
        this.#answerTimes = repeatAfter === undefined
            ? undefined
            : new AnswerTimes({ shortest: repeatAfter, longest: Math.max(repeatAfter, longestRepeatAfter) });
    }

    get calls(): number {
        return this.#calls;
    }

    /** Age of the oldest unanswered write; 0 when there is none. */
    waitingFor(): Milliseconds {
        return this.#longest(({ since }) => since);
    }

    /** Time without any answer while writes are pending; 0 when there are none. */
    silentFor(): Milliseconds {
        return Math.min(this.waitingFor(), this.needs.clock.monotonic() - this.#answeredAt);
    }

    /** Longest time for which calls of a pending write have been failing; 0 when none has failed. */
    failingFor(): Milliseconds {
        return this.#longest(({ failedSince }) => failedSince);
    }

    /** Sends a write until it is answered. Rejects when the signal aborts, or with an error that is not retryable. */
    async untilAnswered(key: string, expected: KeyVersion, value: string): Promise<AnsweredSwap> {
        const now = this.needs.clock.monotonic();
        const swap: OpenSwap = { key, expected, value, since: now, lastSent: now, failedSince: undefined };
        this.#open.add(swap);
        try {
            return await this.#repeat(swap);
        }
        finally {
            this.#open.delete(swap);
        }
    }

    async #repeat(swap: OpenSwap): Promise<AnsweredSwap> {
        const { signal } = this.needs;
        const pending = new Map<number, Promise<readonly [number, CallEnd]>>();
        for (let call = 0;; call++) {
            signal.throwIfAborted();
            pending.set(call, this.#call(swap).then(end => [call, end] as const));
            const answer = await this.#untilNextIsDue(swap, pending);
            if (answer !== undefined) {
                return answer;
            }
            if (pending.size === 0) {
                await this.#untilRetried(swap);
            }
        }
    }

    /** Waits for an answer; undefined when all calls have failed or another one is due. */
    async #untilNextIsDue(
        swap: OpenSwap,
        pending: Map<number, Promise<readonly [number, CallEnd]>>,
    ): Promise<AnsweredSwap | undefined> {
        const due = this.#answerTimes === undefined ? [] : [this.#untilRepeated(swap, this.#answerTimes)];
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
    async #untilRepeated(swap: OpenSwap, times: AnswerTimes): Promise<undefined> {
        const { clock, signal } = this.needs;
        do {
            await clock.sleep(times.limit, signal);
        }
        while (this.#open.has(swap) && !signal.aborted && !this.#mayRepeat(swap));
    }

    /** Resolves when a write whose calls have all failed may be retried, after the retry delay at the earliest. */
    async #untilRetried(swap: OpenSwap): Promise<void> {
        const { clock, options, signal } = this.needs;
        await clock.sleep(options.retryDelay, signal);
        while (!signal.aborted && !this.#mayRepeat(swap)) {
            let wake = () => undefined as void;
            const answered = new Promise<void>(resolve => wake = resolve);
            this.#onAnswer.add(wake);
            await Promise.race([clock.sleep(options.retryDelay, signal), answered]);
            this.#onAnswer.delete(wake);
        }
    }

    #mayRepeat(swap: OpenSwap): boolean {
        const [oldest] = this.#open;
        return swap === oldest || this.#answeredSent > swap.lastSent;
    }

    async #call(swap: OpenSwap): Promise<CallEnd> {
        const sent = this.needs.clock.monotonic();
        this.#calls++;
        swap.lastSent = sent;
        try {
            const outcome = await this.needs.store.compareAndSwap(swap.key, swap.expected, swap.value);
            this.#answerTimes?.note(this.needs.clock.monotonic() - sent);
            this.#answeredSent = Math.max(this.#answeredSent, sent);
            this.#answeredAt = this.needs.clock.monotonic();
            this.#onAnswer.forEach(wake => wake());
            return { kind: "answered", answer: { outcome, sent } };
        }
        catch (cause) {
            swap.failedSince ??= sent;
            return { kind: "failed", cause };
        }
    }

    #longest(sinceOf: (swap: OpenSwap) => Milliseconds | undefined): Milliseconds {
        const now = this.needs.clock.monotonic();
        let longest = 0;
        for (const swap of this.#open) {
            longest = Math.max(longest, now - (sinceOf(swap) ?? now));
        }
        return longest;
    }
}
