/**
 * `npm run demo`: runs the demo and prints its counts; exits with 1 when a check fails. `--json` appends the result as
 * JSON.
 */
import { hasPassed, runDemo } from "../demo/index.js";

const asJson = process.argv.includes("--json");
const result = await runDemo(line => process.stdout.write(`${line}\n`));
const rows: [string, string][] = [
    ["sent", String(result.sent)],
    ["answered whole", String(result.answeredWhole)],
    ["refused with reason", String(result.refusedWithReason)],
    ["failed", String(result.failed)],
    ["run twice", String(result.runTwice)],
    ["lost", String(result.lost)],
    ["VM over capacity", String(result.overCapacity)],
    ["waiting p50 / p99", `${result.waitingP50} / ${result.waitingP99} ms`],
    ["packing after the kill", `${(result.packing * 100).toFixed(1)}%`],
];
rows.forEach(([name, value]) => process.stdout.write(`${name.padEnd(24)}${value}\n`));
process.stdout.write(hasPassed(result) ? "all holds\n" : "SOMETHING DOES NOT HOLD\n");
if (asJson) {
    process.stdout.write(`${JSON.stringify({ passed: hasPassed(result), ...result })}\n`);
}
process.exitCode = hasPassed(result) ? 0 : 1;
