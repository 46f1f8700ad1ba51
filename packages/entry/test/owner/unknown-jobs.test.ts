/*
 * An owner's way to the store fell silent at 74.9 s. Its key ran out, another VM claimed the cell at 75.81 s (4501) and accepted a job at
 * 75.889 s (4001). At 75.904 s the former owner told a caller that there is no such job (4803): a write of its journal had been kept less than a
 * second before. Such a write proves that nobody else had the cell by then, and keeps nobody from claiming it a moment later.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { SimulationWorld } from "../support/lives/index.js";

describe("that there is no such job", () => {
    it("is said only while the owner's key surely stands, whatever else the store has confirmed", async () => {
        const world = await SimulationWorld.begin({ workers: 1 });
        expect(await world.askState("nobody-knows")).toEqual("unknown-job");
        const renewedAt = world.clock.monotonic();
        world.keyConfirmedAt = () => renewedAt;
        await world.advance(1_200);
        expect(await world.askState("nobody-knows")).toEqual("not-now");
        world.end();
    });
});
