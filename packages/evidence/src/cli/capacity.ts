/**
 * `npm run capacity`: measures and prints the costs that `docs/CAPACITY.md` is based on. `--json` appends them as JSON.
 */
import { measureDecisionSlopes, measureProcessSlopes } from "../capacity/index.js";

const slopes = [...measureDecisionSlopes(), ...await measureProcessSlopes()];
process.stdout.write("| role | what | figure |\n| --- | --- | --- |\n");
for (const { role, what, value, unit } of slopes) {
    process.stdout.write(`| ${role} | ${what} | ${value.toPrecision(3)} ${unit} |\n`);
}
if (process.argv.includes("--json")) {
    process.stdout.write(`${JSON.stringify({ slopes })}\n`);
}
