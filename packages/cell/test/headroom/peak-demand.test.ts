import { expect } from "earl";
import { describe, it } from "node:test";
import { PeakDemand } from "../../src/headroom/index.js";

describe("PeakDemand", () => {
    it("follows rising demand at once", () => {
        const demand = new PeakDemand();
        demand.observe(10, 0);
        demand.observe(50, 10);
        expect(demand.expected).toEqual(50);
    });

    it("decays slowly towards falling demand", () => {
        const demand = new PeakDemand();
        demand.observe(50, 0);
        demand.observe(10, 1_000);
        expect(demand.expected).toBeGreaterThan(30);
        demand.observe(10, 60_000);
        expect(Math.round(demand.expected)).toEqual(10);
    });
});
