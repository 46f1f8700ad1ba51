/** `npm run mutate -- --seconds 60`: checks for each mutation of the product whether the explorer finds it. */
import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";
import { parseArgs, promisify } from "node:util";
import type { Finding } from "./explore-until-found.js";
import { mutations } from "./mutations.js";

const { values } = parseArgs({ options: { seconds: { type: "string", default: "60" } } });
const program = fileURLToPath(new URL("./mutated-main.js", import.meta.url));

const explore = async (number: number): Promise<Finding> => {
    const { stdout } = await promisify(execFile)(process.execPath, [program, String(number), values.seconds]);
    return JSON.parse(stdout.trim().split("\n").at(-1)!) as Finding;
};

let missed = 0;
for (const [number, { name, rule }] of mutations.entries()) {
    const { scenario, walks, states, story, broken } = await explore(number);
    missed += scenario === undefined ? 1 : 0;
    console.log(
        `${name} (${rule}): ${scenario === undefined ? "NOT FOUND" : "found"} in ${walks} walks, ${states} states`,
    );
    [...broken.slice(0, 1), ...story].forEach(line => console.log(`    ${line}`));
}
console.log(`${mutations.length - missed} of ${mutations.length} found`);
process.exit(missed === 0 ? 0 : 1);
