/** Running a proof with and without the protection it is about. */
import { fileURLToPath } from "node:url";
import { Cell } from "../cell/index.js";
import { type Proof, type ProofRow, type ProofRunResult, Verdict } from "./types.js";
import { removedProtectionVariable } from "./without-protection.js";

const preload = fileURLToPath(new URL("./without-protection.js", import.meta.url));

const runOnce = async (proof: Proof, isProtected: boolean): Promise<ProofRunResult> => {
    if (!isProtected) {
        process.env[removedProtectionVariable] = proof.protection;
    }
    try {
        const cell = await Cell.start({
            gateways: 2,
            schedulers: 2,
            workers: 4,
            organisation: "bayanihan",
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
        delete process.env[removedProtectionVariable];
    }
};

const describeResult = (result: ProofRunResult): string =>
    result.breaches.length === 0
        ? result.evidence
        : `${result.breaches.length} breaches, first: ${result.breaches[0]}`;

/**
 * Runs a proof twice: unmodified, and with its protection removed to show that the proof would detect a breach. Never
 * rejects.
 */
export const runProof = async (proof: Proof): Promise<ProofRow> => {
    const { point, name, failures } = proof;
    try {
        const protectedRun = await runOnce(proof, true);
        const unprotectedRun = await runOnce(proof, false);
        const holds = protectedRun.breaches.length === 0 && protectedRun.isMeaningful;
        const failsUnprotected = unprotectedRun.breaches.length > 0;
        return {
            point,
            name,
            failures,
            verdict: holds && failsUnprotected ? Verdict.Proved : Verdict.Failed,
            evidence: protectedRun.isMeaningful
                ? describeResult(protectedRun)
                : `not enough happened: ${describeResult(protectedRun)}`,
            withoutProtection: `without ${proof.protection}: ${describeResult(unprotectedRun)}`,
        };
    }
    catch (cause) {
        return { point, name, failures, verdict: Verdict.Failed, evidence: String(cause), withoutProtection: "" };
    }
};
