/** Runs proofs: each once as the product is, and once with its protection taken away. */
import { fileURLToPath } from "node:url";
import { Cell } from "../cell/index.js";
import { type Proof, type ProofFinding, type ProofRow, Verdict } from "./types.js";
import { withoutVariable } from "./without-protection.js";

const preload = fileURLToPath(new URL("./without-protection.js", import.meta.url));

const runOnce = async (proof: Proof, isProtected: boolean): Promise<ProofFinding> => {
    if (!isProtected) {
        process.env[withoutVariable] = proof.protection;
    }
    try {
        const cell = await Cell.start({
            gateways: 2,
            schedulers: 2,
            workers: 4,
            user: "bayanihan",
            ...proof.cell,
            preload: isProtected ? undefined : preload,
        });
        try {
            return await proof.run(cell, isProtected);
        }
        finally {
            await cell.stop();
            cell.removeFiles();
        }
    }
    finally {
        delete process.env[withoutVariable];
    }
};

const describe = (finding: ProofFinding): string =>
    finding.breaches.length === 0
        ? finding.evidence
        : `${finding.breaches.length} breaches, first: ${finding.breaches[0]}`;

/** Runs one proof; a run that throws is a failed one. */
export const runProof = async (proof: Proof): Promise<ProofRow> => {
    const { point, name, failures } = proof;
    try {
        const protectedRun = await runOnce(proof, true);
        const openRun = await runOnce(proof, false);
        const holds = protectedRun.breaches.length === 0 && protectedRun.isMeaningful;
        const wasSeenToFail = openRun.breaches.length > 0;
        return {
            point,
            name,
            failures,
            verdict: holds && wasSeenToFail ? Verdict.Proved : Verdict.Failed,
            evidence: protectedRun.isMeaningful
                ? describe(protectedRun)
                : `not enough happened: ${describe(protectedRun)}`,
            withoutProtection: `without ${proof.protection}: ${describe(openRun)}`,
        };
    }
    catch (cause) {
        return { point, name, failures, verdict: Verdict.Failed, evidence: String(cause), withoutProtection: "" };
    }
};
