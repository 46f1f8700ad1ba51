/** Walks that once violated a rule, and a short exploration of all scenarios. */
import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { type Deviation, Explorer, playWalk, scenarios } from "./index.js";

/** A walk as `npm run explore -- --keep` writes it. */
interface KeptWalk {
    readonly scenario: string;
    readonly deviations: readonly Deviation[];
    readonly story: readonly string[];
    readonly broken: readonly string[];
}

const folder = new URL("../../../test/explorer/found/", import.meta.url);
/** Time for each scenario in seconds, unless EXPLORE_SECONDS is set. */
const seconds = Number(process.env["EXPLORE_SECONDS"] ?? 4);
const seed = 1;

const readWalk = (file: string): KeptWalk => JSON.parse(readFileSync(new URL(file, folder), "utf8")) as KeptWalk;

describe("a walk that once broke a rule", () => {
    for (const file of readdirSync(folder).sort()) {
        const { scenario: scenarioName, deviations, story } = readWalk(file);
        it(`breaks none: ${file}`, async () => {
            const scenario = scenarios.find(other => other.name === scenarioName)!;
            const walk = await playWalk(scenario, deviations);
            expect(walk.story).toEqual([...story]);
            expect(walk.broken).toEqual([]);
        });
    }
});

describe("an exploration", () => {
    for (const scenario of scenarios) {
        it(`breaks no rule: ${scenario.name}`, async () => {
            const endsAt = performance.now() + seconds * 1_000;
            const { counterexamples, walks } = await new Explorer(scenario, {
                maxDeviations: 2,
                seed,
                isTimeLeft: () => performance.now() < endsAt,
                maxCounterexamples: 1,
            }).run();
            expect(counterexamples.map(({ story, broken }) => [...broken, ...story])).toEqual([]);
            expect(walks).toBeGreaterThan(0);
        });
    }
});
