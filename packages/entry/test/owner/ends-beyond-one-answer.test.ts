/*
 * Guards against tasks running twice: while the store is silent no end can be acknowledged, so that more of them wait at a worker than fit into
 * one answer.
 */
import type { Milliseconds } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { SimulationWorld } from "../support/simulation/index.js";

const outage: Milliseconds = 4_500;
const settlingTime: Milliseconds = 10_000;
const name = "many";
const taskCount = 7;
const maxListedEnds = 3;

/** Runs a job at one worker, whose tasks end while the store is silent. `during`: called in the middle of the outage. */
const playOutage = async (during: (world: SimulationWorld) => void = () => undefined): Promise<SimulationWorld> => {
    const world = await SimulationWorld.begin({ workers: 1, maxListedEnds });
    await world.submit(name, "done 500", taskCount);
    await world.advance(300);
    world.storeSilentSince = world.clock.monotonic();
    await world.advance(outage / 2);
    during(world);
    await world.advance(outage / 2);
    world.storeSilentSince = undefined;
    await world.advanceUntil(() => world.stateOf(name) === "completed", settlingTime);
    return world;
};

describe("ends that wait for the store at a worker", () => {
    it("are all applied, and no task runs twice", async () => {
        const world = await playOutage();
        expect([world.stateOf(name), world.history.runs.length, world.duplicates()]).toEqual([
            "completed",
            taskCount,
            [],
        ]);
        world.end();
    });

    it("are all applied by an owner that takes over meanwhile, and no task runs twice", async () => {
        const world = await playOutage(replaced => replaced.replaceOwner());
        expect([world.stateOf(name), world.history.runs.length, world.duplicates()]).toEqual([
            "completed",
            taskCount,
            [],
        ]);
        world.end();
    });
});
