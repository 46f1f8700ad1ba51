import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, SystemClock } from "../../src/index.js";

describe("suspension detection", () => {
    it("detects nothing while both clocks advance together", () => {
        const clock = new ManualClock();
        for (let passed = 0; passed < 100; passed++) {
            clock.advance(1_000);
            expect(clock.uninterruptedSince()).toEqual(-Infinity);
        }
    });

    it("detects each suspension at the first call after it", () => {
        const clock = new ManualClock();
        clock.advance(5_000);
        clock.suspend(3_000);
        expect(clock.uninterruptedSince()).toEqual(5_000);
        clock.advance(2_000);
        expect(clock.uninterruptedSince()).toEqual(5_000);
        clock.suspend(500);
        expect(clock.uninterruptedSince()).toEqual(7_000);
    });

    it("ignores a wall clock that is set back, and detects one that is set ahead again", () => {
        const clock = new ManualClock();
        clock.advance(1_000);
        clock.suspend(-2_000);
        expect(clock.uninterruptedSince()).toEqual(-Infinity);
        clock.advance(1_000);
        clock.suspend(2_000);
        expect(clock.uninterruptedSince()).toEqual(2_000);
    });

    it("detects nothing with the system clock on a machine that is not suspended", async () => {
        const clock = new SystemClock();
        expect(clock.uninterruptedSince()).toEqual(-Infinity);
        await clock.sleep(20);
        expect(clock.uninterruptedSince()).toEqual(-Infinity);
    });
});
