import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, SystemClock } from "../../src/index.js";

describe("a clock that may have missed time", () => {
    it("gives no sign while both clocks go on together", () => {
        const clock = new ManualClock();
        for (let passed = 0; passed < 100; passed++) {
            clock.advance(1_000);
            expect(clock.uninterruptedSince()).toEqual(-Infinity);
        }
    });

    it("tells of a suspension at its first use after that, and of each one", () => {
        const clock = new ManualClock();
        clock.advance(5_000);
        clock.suspend(3_000);
        expect(clock.uninterruptedSince()).toEqual(5_000);
        clock.advance(2_000);
        expect(clock.uninterruptedSince()).toEqual(5_000);
        clock.suspend(500);
        expect(clock.uninterruptedSince()).toEqual(7_000);
    });

    it("takes a time of day that is set back for no sign, and one that is set ahead again for one", () => {
        const clock = new ManualClock();
        clock.advance(1_000);
        clock.suspend(-2_000);
        expect(clock.uninterruptedSince()).toEqual(-Infinity);
        clock.advance(1_000);
        clock.suspend(2_000);
        expect(clock.uninterruptedSince()).toEqual(2_000);
    });

    it("of the process gives none on a machine that is not suspended", async () => {
        const clock = new SystemClock();
        expect(clock.uninterruptedSince()).toEqual(-Infinity);
        await clock.sleep(20);
        expect(clock.uninterruptedSince()).toEqual(-Infinity);
    });
});
