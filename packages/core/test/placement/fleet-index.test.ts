import { expect } from "earl";
import { describe, it } from "node:test";
import { FleetIndex, noResources, noWorker, Preference, type Resources } from "../../src/index.js";

const size = (processors: number, memoryMebibytes: number): Resources => ({
    ...noResources,
    processorThousandths: processors * 1000,
    memoryMebibytes,
    slots: 1,
});
const capacity: Resources = { ...size(64, 128_000), slots: 8, connections: 64 };

describe("FleetIndex", () => {
    it("packs onto the fullest feasible worker", () => {
        const index = new FleetIndex();
        const workers = [index.add(capacity), index.add(capacity), index.add(capacity)];
        index.reserve(workers[1], size(32, 64_000));
        index.reserve(workers[2], size(60, 64_000));
        const decision = index.find({ size: size(8, 8_000), preference: Preference.Pack, headroom: 0 });
        expect(decision.worker).toEqual(workers[1]);
    });

    it("spreads onto the emptiest worker", () => {
        const index = new FleetIndex();
        const workers = [index.add(capacity), index.add(capacity)];
        index.reserve(workers[0], size(8, 8_000));
        expect(index.find({ size: size(8, 8_000), preference: Preference.Spread, headroom: 0 }).worker).toEqual(
            workers[1],
        );
    });

    it("finds no worker when the task would use the headroom", () => {
        const index = new FleetIndex();
        index.add(capacity);
        expect(index.find({ size: size(60, 8_000), preference: Preference.Pack, headroom: 0.1 }).worker).toEqual(
            noWorker,
        );
    });

    it("places nothing on an unschedulable worker and keeps its capacity", () => {
        const index = new FleetIndex();
        const worker = index.add(capacity);
        index.setSchedulable(worker, false);
        expect(index.find({ size: size(1, 1), preference: Preference.Pack, headroom: 0 }).worker).toEqual(noWorker);
        index.setSchedulable(worker, true);
        expect(index.find({ size: size(1, 1), preference: Preference.Pack, headroom: 0 }).worker).toEqual(worker);
    });
});
