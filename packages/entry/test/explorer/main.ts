/**
 * `npm run explore -- --seconds 60 --deviations 3 --seed 1 --scenario gang`: explores each scenario whose name holds the text, for so
 * long each, and prints what was seen. Counterexamples are shortened and printed as a story; `--keep DIR` writes each to a file there.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { type Exploration, Explorer, shorten } from "./explorer.js";
import { scenarios } from "./scenarios.js";
import type { Walk } from "./walk.js";

const { values } = parseArgs({
    options: {
        seconds: { type: "string", default: "20" },
        deviations: { type: "string", default: "2" },
        seed: { type: "string", default: "1" },
        scenario: { type: "string", default: "" },
        keep: { type: "string" },
        most: { type: "string", default: "3" },
    },
});

const print = (
    { scenario, walks, states, depth, exhaustedThrough, strays, counterexamples }: Exploration,
    seconds: number,
) => console.log(
    `${scenario.name}: ${walks} walks, ${states} states (${Math.round(states / seconds)}/s), at most ${depth} choices; `
        + `all walks with at most ${exhaustedThrough} things amiss; ${strays} with a stray order; `
        + `${counterexamples.length} counterexamples`,
);

const tell = async (walk: Walk, number: number): Promise<void> => {
    const { scenario, deviations, story, broken } = await shorten(walk);
    [...broken, ...story].forEach(line => console.log(`    ${line}`));
    if (values.keep !== undefined) {
        const file = join(values.keep, `${scenario.name.replaceAll(/[ ,]+/g, "-")}-${values.seed}-${number}.json`);
        writeFileSync(
            file,
            `${JSON.stringify({ scenario: scenario.name, deviations, story, broken }, undefined, 4)}\n`,
        );
        console.log(`    ${file}`);
    }
};

let hasBroken = false;
for (const scenario of scenarios.filter(({ name }) => name.includes(values.scenario))) {
    const startedAt = performance.now();
    const elapsed = () => (performance.now() - startedAt) / 1_000;
    const exploration = await new Explorer(scenario, {
        maxDeviations: Number(values.deviations),
        seed: Number(values.seed),
        isTimeLeft: () => elapsed() < Number(values.seconds),
        maxCounterexamples: Number(values.most),
    }).run();
    print(exploration, elapsed());
    hasBroken ||= exploration.counterexamples.length > 0;
    for (const [number, walk] of exploration.counterexamples.entries()) {
        await tell(walk, number);
    }
}
process.exit(hasBroken ? 1 : 0);
