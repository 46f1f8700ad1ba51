import { ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { OwnerWaiters } from "../../src/index.js";
import { advanceTime, settle } from "../support/index.js";

const setUp = (isCutOff: boolean) => {
    const clock = new ManualClock();
    const waiters = new OwnerWaiters(clock, () => isCutOff);
    const state = { hasEnded: false };
    void waiters.wait(1_000).then(() => state.hasEnded = true);
    return { clock, waiters, state };
};

describe("a request without an owner", () => {
    it("waits until one connects, and no longer than it may", async () => {
        const first = setUp(false);
        await advanceTime(first.clock, 500);
        expect(first.state.hasEnded).toEqual(false);
        first.waiters.wake();
        await settle();
        expect(first.state.hasEnded).toEqual(true);
        const second = setUp(false);
        await advanceTime(second.clock, 1_100);
        expect(second.state.hasEnded).toEqual(true);
    });

    it("does not wait at a VM that is cut off from the store too, as it would not see one appear", async () => {
        const { state } = setUp(true);
        await settle();
        expect(state.hasEnded).toEqual(true);
    });
});
