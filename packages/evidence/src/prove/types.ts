/** Proofs and their results. */
import type { Cell, CellOptions } from "../cell/index.js";

/** Result of one run of a proof. */
export interface ProofRunResult {
    /** Descriptions of breaches of the guarantee; empty when it held. */
    readonly breaches: readonly string[];
    /** Counts of what was done and observed. */
    readonly evidence: string;
    /** Whether enough happened for an absence of breaches to be significant. */
    readonly isMeaningful: boolean;
}

/** A test of one guarantee while failures that could break it are injected. */
export interface Proof {
    /** Number of the guarantee, from 1 to 8. */
    readonly point: number;
    readonly name: string;
    /** Describes the failures that {@link run} injects. */
    readonly failures: string;
    /**
     * The protection that the second run removes: a key of `without-protection.ts`, or text for a protection handled by
     * {@link run}.
     */
    readonly protection: string;
    readonly cell: Partial<CellOptions>;
    /** Runs against a freshly started cell. `isProtected` is false in the run that is expected to fail. */
    run(cell: Cell, isProtected: boolean): Promise<ProofRunResult>;
}

/** Outcome of a proof: proved only if the guarantee held and its breach was seen without the protection. */
export enum Verdict {
    Proved = "proved",
    Failed = "failed",
    NotRun = "not run",
}

/** One row of the printed result. */
export interface ProofRow {
    readonly point: number;
    readonly name: string;
    readonly failures: string;
    readonly verdict: Verdict;
    /** Observations of the protected run. */
    readonly evidence: string;
    /** Observations of the run without the protection. */
    readonly withoutProtection: string;
}
