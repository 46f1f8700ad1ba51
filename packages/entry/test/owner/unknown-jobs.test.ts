/*
 * Guards against an owner whose key has expired denying a job that its successor has accepted. A committed journal
 * write proves past ownership but, unlike the key, does not prevent another claim.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { SimulationWorld } from "../support/simulation/index.js";

describe("a job unknown to the owner", () => {
    it("is only reported as unknown while the owner's key is certainly valid", async () => {
        const world = await SimulationWorld.begin({ workers: 1 });
        expect(await world.askState("nobody-knows")).toEqual("unknown-job");
        const renewedAt = world.clock.monotonic();
        world.keyConfirmedAt = () => renewedAt;
        await world.advance(1_200);
        expect(await world.askState("nobody-knows")).toEqual("not-now");
        world.end();
    });
});
