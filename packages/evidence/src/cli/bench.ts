/**
 * `npm run bench`: runs the benchmarks and prints their tables. Arguments select parts (`decisions`, `live`, `packing`,
 * `situations`); further names select single situations. `--json` appends the figures as JSON.
 */
import {
    benchDecisions,
    benchLive,
    benchPacking,
    benchSituations,
    type Figure,
    formatFigures,
} from "../bench/index.js";

const parts: Readonly<Record<string, () => Figure[] | Promise<Figure[]>>> = {
    decisions: benchDecisions,
    live: benchLive,
    packing: benchPacking,
    situations: () =>
        benchSituations(process.argv.slice(2).filter(word => !Object.hasOwn(parts, word) && !word.startsWith("-"))),
};

const selected = process.argv.slice(2).filter(word => Object.hasOwn(parts, word));
const figures: Record<string, readonly Figure[]> = {};
for (const name of selected.length > 0 ? selected : Object.keys(parts)) {
    figures[name] = await parts[name]();
    process.stdout.write(`${formatFigures(name, figures[name])}\n`);
}
const missed = Object.values(figures).flat().filter(entry => entry.reached === false);
process.stdout.write(missed.length === 0 ? "all targets reached\n" : `${missed.length} targets not reached\n`);
if (process.argv.includes("--json")) {
    process.stdout.write(`${JSON.stringify({ figures })}\n`);
}
