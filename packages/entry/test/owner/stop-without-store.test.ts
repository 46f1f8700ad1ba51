/*
 * While the store is silent no other VM can claim the cell. An owner that was told to stop then waited for its last records to be kept, without
 * end and without answering anybody, until its process was killed: callers were told after their whole deadline that nothing is known.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { HandOverOutcome, shutdownTimesOf } from "../../src/index.js";
import { SimulationWorld } from "../support/lives/index.js";

describe("an owner that is told to stop while the store is silent", () => {
    const begin = async ({ silentFor = 1_000 } = {}) => {
        const world = await SimulationWorld.begin({ workers: 2 });
        await world.submit("a", "1000");
        const heard = world.connectListener("vm-1");
        world.storeSilentSince = world.clock.monotonic() - silentFor;
        let outcome: HandOverOutcome | undefined;
        void world.owner.handOver().then(ended => outcome = ended);
        await world.advance(500);
        return { world, heard, outcome: () => outcome };
    };

    it("tells callers how their jobs stand, and refuses new ones, for as long as it serves", async () => {
        const { world, outcome } = await begin();
        expect(await world.askState("a")).toEqual("state");
        const reply = world.sendJob("b", "1000");
        await world.advance(50);
        expect(await reply).toEqual("not-now");
        expect(outcome()).toEqual(undefined);
        world.end();
    });

    it("does so also when the store has only just fallen silent", async () => {
        const { world, outcome } = await begin({ silentFor: 10 });
        expect(await world.askState("a")).toEqual("state");
        expect(outcome()).toEqual(undefined);
        world.end();
    });

    it("hands the cell over as soon as the store is back", async () => {
        const { world, heard, outcome } = await begin();
        world.storeSilentSince = undefined;
        await world.advance(200);
        expect(outcome()).toEqual(HandOverOutcome.Offered);
        expect(heard.includes("hand-over")).toEqual(true);
        world.end();
    });

    it("gives it up to nobody, in time for its process to end by itself, when the store stays silent", async () => {
        const { world, heard, outcome } = await begin();
        await world.advance(shutdownTimesOf(6_000).answerWithin - 500);
        expect(outcome()).toEqual(HandOverOutcome.StoreSilent);
        expect(heard.includes("hand-over")).toEqual(false);
        world.end();
    });
});

describe("the times of a VM that stops", () => {
    it("leave two questions of the platform before its door closes, and end before it is killed, in this order", () => {
        const { stopAcceptingAfter: closesAfter, answerWithin: answersWithin, exitWithin: endsWithin } =
            shutdownTimesOf(6_000);
        expect(closesAfter > 2_000 && closesAfter < answersWithin).toEqual(true);
        expect(answersWithin < endsWithin && endsWithin < 6_000).toEqual(true);
    });

    it("are in this order also where little time is given", () => {
        const { stopAcceptingAfter: closesAfter, answerWithin: answersWithin, exitWithin: endsWithin } =
            shutdownTimesOf(2_000);
        expect(closesAfter < answersWithin && answersWithin < endsWithin).toEqual(true);
    });
});
