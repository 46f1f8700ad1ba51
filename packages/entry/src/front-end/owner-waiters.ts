/** Requests that wait for an owner to connect. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import { createAbortController } from "@pebbledale/runtime";

/** Lets requests wait for an owner, unless none can appear because this VM is cut off. */
export class OwnerWaiters {
    readonly #waiting = new Set<AbortController>();

    /** `isCutOff`: whether this VM hears neither the store nor an owner, so that its callers are better off at another VM at once. */
    constructor(private readonly clock: Clock, private readonly isCutOff: () => boolean) {}

    /** Resolves when an owner connects, or after `wait`. */
    async wait(wait: Milliseconds): Promise<void> {
        if (this.isCutOff()) {
            return;
        }
        const connected = createAbortController();
        this.#waiting.add(connected);
        await this.clock.sleep(wait, connected.signal);
        this.#waiting.delete(connected);
    }

    /** Called when an owner has connected. */
    wake(): void {
        this.#waiting.forEach(connected => connected.abort());
    }
}
