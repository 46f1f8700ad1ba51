import { ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CyclePacer, maxCyclePause, maxCycleShare } from "../../src/index.js";

describe("passes over what waits", () => {
    it("take no more than their share of the time, however long each is", () => {
        const clock = new ManualClock();
        const pacer = new CyclePacer(clock);
        let spent = 0;
        while (clock.monotonic() < 10_000) {
            if (pacer.delay === 0) {
                pacer.run(() => clock.advance(8));
                spent += 8;
            }
            else {
                clock.advance(1);
            }
        }
        expect(spent / clock.monotonic() <= maxCycleShare + 0.01).toEqual(true);
    });

    it("take no more than their share when all of them are long, as in a large cell with a long backlog", () => {
        const clock = new ManualClock();
        const pacer = new CyclePacer(clock);
        let spent = 0;
        while (clock.monotonic() < 60_000) {
            if (pacer.delay === 0) {
                pacer.run(() => clock.advance(120));
                spent += 120;
            }
            else {
                clock.advance(1);
            }
        }
        expect(spent / clock.monotonic() <= maxCycleShare + 0.02).toEqual(true);
    });

    it("are not held back by one during which the process was paused, when the others are short", () => {
        const clock = new ManualClock();
        const pacer = new CyclePacer(clock);
        for (const duration of [8, 8, 8, 8, 4_000]) {
            pacer.run(() => clock.advance(duration));
        }
        expect(pacer.delay).toEqual(maxCyclePause);
    });

    it("go on soon after one during which the process was paused", () => {
        const clock = new ManualClock();
        const pacer = new CyclePacer(clock);
        pacer.run(() => clock.advance(4_000));
        expect(pacer.delay).toEqual(maxCyclePause);
    });

    it("that cost nothing are not held back", () => {
        const pacer = new CyclePacer(new ManualClock());
        pacer.run(() => undefined);
        expect(pacer.delay).toEqual(0);
    });
});
