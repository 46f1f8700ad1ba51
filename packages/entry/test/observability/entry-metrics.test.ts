import { expect } from "earl";
import { describe, it } from "node:test";
import { EntryMetrics } from "../../src/index.js";

const ageOf = async (metrics: EntryMetrics, followed: string): Promise<string | undefined> => {
    const text = await metrics.metrics.registry.metrics();
    return text.split("\n").find(line => line.startsWith(`pebbledale_${followed}_age_seconds `))?.split(" ")[1];
};

describe("gauges of the age of what a VM follows", () => {
    it("have no value before the store's first answer, and the age afterwards", async () => {
        const metrics = new EntryMetrics();
        let age: number | undefined;
        expect(await ageOf(metrics, "configuration")).toEqual(undefined);
        metrics.setAgeSources({ configuration: () => age, members: () => age });
        expect([await ageOf(metrics, "configuration"), await ageOf(metrics, "members")]).toEqual([
            undefined,
            undefined,
        ]);
        age = 0;
        expect(await ageOf(metrics, "configuration")).toEqual("0");
        age = 1_500;
        expect([await ageOf(metrics, "configuration"), await ageOf(metrics, "members")]).toEqual(["1.5", "1.5"]);
    });

    it("of the workers' entries is 0 on a VM that does not own the cell", async () => {
        expect(await ageOf(new EntryMetrics(), "worker_entries")).toEqual("0");
    });
});
