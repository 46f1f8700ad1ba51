/**
 * Judges a run of the tests: exits with 0 when all passed, or when each failure is listed in KNOWN-RED.txt.
 *
 * A line of KNOWN-RED.txt holds the test's name as the runner prints it, its cause and its issue, with tabs between.
 * Called with the runner's output and its exit code.
 */
import { readFileSync } from "node:fs";

const [, , output, status] = process.argv;
const known = readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(line => line !== "");
const names = new Set(known.map(line => line.split("\t")[0]));
known.forEach(line => console.log(`known to fail: ${line}`));

const text = readFileSync(output, "utf8");
// Suites that fail only because a test of theirs does are not counted.
const failures = [...text.matchAll(/^( *)not ok \d+ - (.*)$([\s\S]*?)^ *\.\.\.$/gm)]
    .filter(([, , , details]) => !details.includes("failureType: 'subtestsFailed'"))
    .map(([, , name]) => name);
const unknown = failures.filter(name => !names.has(name));
unknown.forEach(name => console.log(`failed: ${name}`));
const passed = /^# pass (\d+)$/m.exec(text)?.[1] ?? 0;
const isExplained = Number(status) === 0 || failures.length > 0;
console.log(`${passed} passed, ${failures.length} failed`);
process.exit(unknown.length === 0 && isExplained && Number(passed) > 0 ? 0 : 1);
