/** Detects that a silent store answers again. */
import type { Clock, Milliseconds } from "@pebbledale/core";

/** Time between two probes, which bounds the time until a recovery is detected. */
const probeInterval: Milliseconds = 150;

/** What a {@link StoreProbe} depends on. */
export interface StoreProbeOptions {
    readonly clock: Clock;
    /** Makes a small call to the store; rejects when it gets no answer. */
    readonly call: () => Promise<unknown>;
    /** Whether probes are sent: a VM with a connection to the owner needs none. */
    readonly isNeeded: () => boolean;
}

/**
 * Detects that a silent store has recovered, on behalf of all loops of a VM that wait for it.
 *
 * A call that was sent while the store was silent is never answered, even after the recovery, and reading all entries may
 * legitimately take seconds. Small calls beside it tell the two apart: once a later one is answered and an earlier one is not, the
 * store has recovered.
 */
export class StoreProbe {
    readonly #waiters = new Set<() => void>();
    #isRunning = false;

    constructor(private readonly options: StoreProbeOptions) {}

    /** Resolves to true once the store has recovered, to false when `signal` fires. */
    waitForRecovery(signal: AbortSignal): Promise<boolean> {
        return new Promise(resolve => {
            const finish = (hasRecovered: boolean) => {
                this.#waiters.delete(reportRecovery);
                signal.removeEventListener("abort", cancel);
                resolve(hasRecovered);
            };
            const reportRecovery = () => finish(true);
            const cancel = () => finish(false);
            this.#waiters.add(reportRecovery);
            signal.addEventListener("abort", cancel);
            if (signal.aborted) {
                cancel();
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
                const recordAnswer = () => {
                    // A later call is answered and an earlier one is not: the store was silent in between.
                    const hasRecovered = number > answered + 1;
                    answered = Math.max(answered, number);
                    if (hasRecovered) {
                        [...this.#waiters].forEach(reportRecovery => reportRecovery());
                    }
                };
                // A failed call needs no handling: it is detected once a later one is answered.
                this.options.call().then(recordAnswer, () => undefined);
            }
            await this.options.clock.sleep(probeInterval);
        }
        this.#isRunning = false;
    }
}
