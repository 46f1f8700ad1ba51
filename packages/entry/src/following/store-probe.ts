/**
 * Notices that a silent store answers again.
 *
 * A call that the store was sent while it was silent stays without an answer, also when it is back, and reading all may rightly
 * take seconds. Small calls beside it show that a later call is answered and the earlier one never will be.
 */
import type { Clock, Milliseconds } from "@pebbledale/core";

/** Time between two small calls: a VM that waits for the store goes on within about that of its return. */
const probeInterval: Milliseconds = 150;

/** What a probe needs. */
export interface StoreProbeOptions {
    readonly clock: Clock;
    /** A small call; rejects when it has no answer. */
    readonly call: () => Promise<unknown>;
    /** Whether anything hangs on knowing soon: where an owner is heard, nothing does. */
    readonly isNeeded: () => boolean;
}

/** See the module's comment. One for all of a VM that wait for the store. */
export class StoreProbe {
    readonly #waiters = new Set<() => void>();
    #isRunning = false;

    constructor(private readonly options: StoreProbeOptions) {}

    /** Resolves to true when the store answers after a call that it left without an answer, and to false when `signal` fires. */
    waitForRecovery(signal: AbortSignal): Promise<boolean> {
        return new Promise(resolve => {
            const finish = (isBack: boolean) => {
                this.#waiters.delete(noteBack);
                signal.removeEventListener("abort", giveUp);
                resolve(isBack);
            };
            const noteBack = () => finish(true);
            const giveUp = () => finish(false);
            this.#waiters.add(noteBack);
            signal.addEventListener("abort", giveUp);
            if (signal.aborted) {
                giveUp();
            }
            else if (!this.#isRunning) {
                void this.#run();
            }
        });
    }

    async #run(): Promise<void> {
        this.#isRunning = true;
        let sent = 0;
        let answered = 0;
        await this.options.clock.sleep(probeInterval);
        while (this.#waiters.size > 0) {
            if (this.options.isNeeded()) {
                const number = ++sent;
                const noteAnswer = () => {
                    // An earlier call has no answer though this later one has: the store was silent in between.
                    const isBack = number > answered + 1;
                    answered = Math.max(answered, number);
                    if (isBack) {
                        [...this.#waiters].forEach(noteBack => noteBack());
                    }
                };
                // A call without an answer shows by the next one that has one.
                this.options.call().then(noteAnswer, () => undefined);
            }
            await this.options.clock.sleep(probeInterval);
        }
        this.#isRunning = false;
    }
}
