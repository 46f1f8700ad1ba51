/** Reckons with the most urgent work that was there at one time lately: it rises at once and is forgotten slowly. */
import type { Milliseconds } from "@pebbledale/core";
import { demandDecayTime } from "./constants.js";
import type { DemandForecast } from "./types.js";

/** See the module's comment. */
export class PeakDemand implements DemandForecast {
    #expected = 0;
    #notedAt: Milliseconds | undefined;

    /** See {@link DemandForecast.expected}. */
    get expected(): number {
        return this.#expected;
    }

    /** See {@link DemandForecast.observe}. */
    observe(processor: number, now: Milliseconds): void {
        const passed = now - (this.#notedAt ?? now);
        this.#notedAt = now;
        const above = Math.max(0, this.#expected - processor);
        this.#expected = processor + above * Math.exp(-passed / demandDecayTime);
    }
}
