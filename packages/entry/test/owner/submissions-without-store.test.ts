/*
 * Guards against jobs whose records are sent to a store that has just gone silent: their callers can be told neither that they are
 * accepted nor that they will never run.
 */
import type { Milliseconds } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { SimulationWorld } from "../support/simulation/index.js";

/** Submits a job a while after the store has gone silent. */
const submitAfterSilenceOf = async (silentFor: Milliseconds) => {
    const world = await SimulationWorld.begin({ workers: 2 });
    const silentSince = world.clock.monotonic();
    world.storeSilentSince = silentSince;
    await world.advance(silentFor);
    let reply: string | undefined = "none yet";
    void world.sendJob("a", "1000").then(kind => reply = kind);
    return { world, reply: () => reply };
};

describe("a job that is submitted while the store has gone silent", () => {
    it("is refused as soon as the store counts as silent, and never runs", async () => {
        const { world, reply } = await submitAfterSilenceOf(200);
        await world.advance(200);
        expect(reply()).toEqual("none yet");
        await world.advance(100);
        expect(reply()).toEqual("not-now");
        world.storeSilentSince = undefined;
        await world.advance(3_000);
        expect([world.stateOf("a"), world.runsOf("a").length]).toEqual([undefined, 0]);
        world.end();
    });

    it("is accepted if the store answers again before that", async () => {
        const { world, reply } = await submitAfterSilenceOf(200);
        await world.advance(100);
        world.storeSilentSince = undefined;
        await world.advance(50);
        expect(reply()).toEqual("accepted");
        world.end();
    });

    it("is not refused if its record was sent before, but accepted late", async () => {
        const { world, reply } = await submitAfterSilenceOf(100);
        await world.advance(1_500);
        expect(reply()).toEqual("none yet");
        world.storeSilentSince = undefined;
        await world.advance(50);
        expect(reply()).toEqual("accepted");
        world.end();
    });
});
