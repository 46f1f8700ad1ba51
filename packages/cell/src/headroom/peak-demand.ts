/** Forecast of urgent demand by its recent peak. */
import type { Milliseconds } from "@pebbledale/core";
import { demandDecayTime } from "./constants.js";
import type { DemandForecast } from "./types.js";

/** A peak detector: the forecast follows rising demand at once and decays exponentially towards falling demand. */
export class PeakDemand implements DemandForecast {
    #expected = 0;
    #observedAt: Milliseconds | undefined;

    get expected(): number {
        return this.#expected;
    }

    observe(processor: number, now: Milliseconds): void {
        const passed = now - (this.#observedAt ?? now);
        this.#observedAt = now;
        const above = Math.max(0, this.#expected - processor);
        this.#expected = processor + above * Math.exp(-passed / demandDecayTime);
    }
}
