/** Follows something in the store until it is told to stop: reads all, then takes changes in, and knows how old that is. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import { followRetryDelay, followWait } from "./constants.js";

/** What is followed, and who takes it in. Calls reject when no answer came. */
export interface Followed {
    /** Reads all as it stands; resolves to the cursor from which changes go on. */
    readAll(signal: AbortSignal): Promise<string>;
    /** Waits at most `wait` for changes; resolves to the next cursor, undefined when all must be read again. */
    takeChanges(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<string | undefined>;
}

/** What a loop needs. */
export interface FollowLoopOptions {
    readonly followed: Followed;
    readonly clock: Clock;
    /** Told of each answer, after it was taken in. */
    readonly onAnswer: () => void;
    /** Told of each call without an answer, and how long ago the last one came; undefined when there was none yet. */
    readonly onFailure: (cause: unknown, age: Milliseconds | undefined) => void;
}

/** See the module's comment. */
export class FollowLoop {
    #answeredAt: Milliseconds | undefined;

    constructor(private readonly options: FollowLoopOptions) {}

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
                cursor = await this.#followOnce(cursor, signal);
                this.#answeredAt = clock.monotonic();
                onAnswer();
            }
            catch (cause) {
                if (!signal.aborted) {
                    onFailure(cause, this.age);
                    await clock.sleep(followRetryDelay, signal);
                }
            }
        }
    }

    #followOnce(cursor: string | undefined, signal: AbortSignal): Promise<string | undefined> {
        const { followed } = this.options;
        return cursor === undefined ? followed.readAll(signal) : followed.takeChanges(cursor, followWait, signal);
    }
}
