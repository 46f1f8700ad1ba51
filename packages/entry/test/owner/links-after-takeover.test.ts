/*
 * Guards against a new owner that gives the links to all workers to the VM that it connects to first: the VMs of other data halls
 * would never get their share, and the few that hold the links answer orders too late.
 */
import { dataHallName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { SimulationWorld } from "../support/simulation/index.js";

describe("an owner that takes over", () => {
    it("spreads the links over the VMs that it connects to at once", async () => {
        const world = await SimulationWorld.begin({ workers: 12 });
        // No VM stands in a data hall of the workers.
        world.replaceOwner({ dataHall: dataHallName("hall-3") });
        const received = ["vm-1", "vm-2", "vm-3"].map((name, index) =>
            world.connectListener(name, { dataHall: dataHallName(`hall-${index}`) })
        );
        await world.advance(20);
        const links = received.map(kinds => kinds.filter(kind => kind === "assign").length);
        expect(links.every(count => count >= 3)).toEqual(true);
        world.end();
    });
});
