/**
 * Writes that are repeated until they are answered.
 *
 * A write that stays without an answer is sent again beside the first one, not after it: while the store is silent each call
 * waits for its time to be over, and the write is to be answered as soon as the store is back. Of several that wait only the
 * oldest is repeated; the others once a later call than theirs was answered, so that a slow store gets few calls twice, and one that
 * turns calls away is not flooded.
 */
import { type KeyVersion, type PlatformStore, PlatformUnavailableError, type SwapOutcome } from "../platform/index.js";
import { AnswerTimes, type Clock, type Milliseconds } from "../time/index.js";
import type { JournalOptions } from "./types.js";

/** An answer, and when the call that it answers was sent. */
export interface AnsweredSwap {
    readonly outcome: SwapOutcome;
    readonly sent: Milliseconds;
}

/** What repeated writes need. */
export interface RepeatedSwapOptions {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly options: Pick<JournalOptions, "repeatAfter" | "retryDelay">;
    readonly signal: AbortSignal;
}

/** One write that has no answer yet. */
interface OpenSwap {
    readonly key: string;
    readonly expected: KeyVersion;
    readonly value: string;
    /** When its first call was sent. */
    readonly since: Milliseconds;
    /** When its last call was sent. */
    lastSent: Milliseconds;
    /** When its first call that failed was sent. */
    failedSince: Milliseconds | undefined;
}

/** How one call ended: answered, or failed with a cause. */
type CallEnd =
    | { readonly kind: "answered"; readonly answer: AnsweredSwap; }
    | { readonly kind: "failed"; readonly cause: unknown; };

/** Longest time after which a write is repeated, however slow the store is, in milliseconds. */
const longestRepeatAfter: Milliseconds = 800;

/** See the module's comment. */
export class RepeatedSwaps {
    /** Those that wait, the oldest first. */
    readonly #open = new Set<OpenSwap>();
    readonly #answerTimes: AnswerTimes | undefined;
    /** When the latest call that was answered was sent. */
    #answeredSent: Milliseconds = -Infinity;
    /** When the latest answer came. */
    #answeredAt: Milliseconds = -Infinity;
    /** Wake the writes that wait until another one is answered. */
    readonly #onAnswer = new Set<() => void>();
    #calls = 0;

    constructor(private readonly needs: RepeatedSwapOptions) {
        const { repeatAfter } = needs.options;
        this.#answerTimes = repeatAfter === undefined
            ? undefined
            : new AnswerTimes({ shortest: repeatAfter, longest: Math.max(repeatAfter, longestRepeatAfter) });
    }

    /** Number of calls so far. */
    get calls(): number {
        return this.#calls;
    }

    /** How long the oldest write has been without an answer; 0 when none is on its way. */
    waitingFor(): Milliseconds {
        return this.#longest(({ since }) => since);
    }

    /** How long no write has been answered while some wait; 0 when none is on its way. */
    silentFor(): Milliseconds {
        return Math.min(this.waitingFor(), this.needs.clock.monotonic() - this.#answeredAt);
    }

    /** How long calls have failed without an answer since; 0 while the store answers. */
    failingFor(): Milliseconds {
        return this.#longest(({ failedSince }) => failedSince);
    }

    /** Repeats a write until it is answered. Rejects when the signal fires, or with an error that no repetition mends. */
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

    /** Waits for an answer; undefined when every call has failed or it is time for another one. */
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

    /** Resolves when a write whose answer is out is to be sent again, or is over. */
    async #untilRepeated(swap: OpenSwap, times: AnswerTimes): Promise<undefined> {
        const { clock, signal } = this.needs;
        do {
            await clock.sleep(times.limit, signal);
        }
        while (this.#open.has(swap) && !signal.aborted && !this.#mayRepeat(swap));
    }

    /** Resolves when a write all of whose calls failed is to be sent again: after a pause, or as soon as another one is answered. */
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
