/**
 * `npm run prove`: runs the proofs and prints their results; exits with 1 when one fails. Numbers as arguments select
 * proofs. `--json` appends the results as JSON.
 */
import { type ProofRow, proofs, runProof, Verdict } from "../prove/index.js";

const selectedPoints = process.argv.slice(2).filter(argument => /^\d+$/.test(argument)).map(Number);
const rows: ProofRow[] = [];
for (const proof of proofs) {
    if (selectedPoints.length > 0 && !selectedPoints.includes(proof.point)) {
        const { point, name, failures } = proof;
        rows.push({ point, name, failures, verdict: Verdict.NotRun, evidence: "", withoutProtection: "" });
        continue;
    }
    const row = await runProof(proof);
    rows.push(row);
    process.stdout.write(`${row.point} ${row.verdict.padEnd(8)} ${row.name}\n`);
    process.stdout.write(`    under: ${row.failures}\n    seen: ${row.evidence}\n    ${row.withoutProtection}\n`);
}
const failed = rows.filter(row => row.verdict === Verdict.Failed).length;
process.stdout.write(`${rows.filter(row => row.verdict === Verdict.Proved).length} proved, ${failed} failed\n`);
if (process.argv.includes("--json")) {
    process.stdout.write(`${JSON.stringify({ rows })}\n`);
}
process.exitCode = failed === 0 ? 0 : 1;
