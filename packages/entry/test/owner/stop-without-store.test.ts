/*
 * Guards against a stopping owner waiting for its last records, without answering callers, while the store does not
 * answer and no other VM can claim the cell.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { HandOverOutcome, shutdownTimesOf } from "../../src/index.js";
import { SimulationWorld } from "../support/simulation/index.js";

describe("an owner that is stopped while the store does not answer", () => {
    const setUp = async ({ silentFor = 1_000 } = {}) => {
        const world = await SimulationWorld.begin({ workers: 2 });
        await world.submit("a", "1000");
        const heard = world.connectListener("vm-1");
        world.storeSilentSince = world.clock.monotonic() - silentFor;
        let outcome: HandOverOutcome | undefined;
        void world.owner.handOver().then(ended => outcome = ended);
        await world.advance(500);
        return { world, heard, outcome: () => outcome };
    };

    it("keeps reporting job states and refuses new jobs", async () => {
        const { world, outcome } = await setUp();
        expect(await world.askState("a")).toEqual("state");
        const reply = world.sendJob("b", "1000");
        await world.advance(50);
        expect(await reply).toEqual("not-now");
        expect(outcome()).toEqual(undefined);
        world.end();
    });

    it("keeps reporting job states when the store has only just stopped answering", async () => {
        const { world, outcome } = await setUp({ silentFor: 10 });
        expect(await world.askState("a")).toEqual("state");
        expect(outcome()).toEqual(undefined);
        world.end();
    });

    it("hands the cell over as soon as the store answers again", async () => {
        const { world, heard, outcome } = await setUp();
        world.storeSilentSince = undefined;
        await world.advance(200);
        expect(outcome()).toEqual(HandOverOutcome.Offered);
        expect(heard.includes("hand-over")).toEqual(true);
        world.end();
    });

    it("ends without a handover before its process is killed when the store stays silent", async () => {
        const { world, heard, outcome } = await setUp();
        await world.advance(shutdownTimesOf(6_000).answerWithin - 500);
        expect(outcome()).toEqual(HandOverOutcome.StoreSilent);
        expect(heard.includes("hand-over")).toEqual(false);
        world.end();
    });
});

describe("the shutdown times of a VM", () => {
    it("allow two readiness checks before new connections are refused, and end before the process is killed", () => {
        const { stopAcceptingAfter, answerWithin, exitWithin } = shutdownTimesOf(6_000);
        expect(stopAcceptingAfter > 2_000 && stopAcceptingAfter < answerWithin).toEqual(true);
        expect(answerWithin < exitWithin && exitWithin < 6_000).toEqual(true);
    });

    it("keep their order when little time is given", () => {
        const { stopAcceptingAfter, answerWithin, exitWithin } = shutdownTimesOf(2_000);
        expect(stopAcceptingAfter < answerWithin && answerWithin < exitWithin).toEqual(true);
    });
});
