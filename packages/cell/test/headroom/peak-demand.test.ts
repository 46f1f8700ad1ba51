import { expect } from "earl";
import { describe, it } from "node:test";
import { PeakDemand } from "../../src/headroom/index.js";

describe("PeakDemand", () => {
    it("rises at once", () => {
        const demand = new PeakDemand();
        demand.observe(10, 0);
        demand.observe(50, 10);
        expect(demand.expected).toEqual(50);
    });

    it("forgets slowly, and comes down to what there is", () => {
        const demand = new PeakDemand();
        demand.observe(50, 0);
        demand.observe(10, 1_000);
        expect(demand.expected).toBeGreaterThan(30);
        demand.observe(10, 60_000);
        expect(Math.round(demand.expected)).toEqual(10);
    });
});
