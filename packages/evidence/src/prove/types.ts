/** What a proof is and what came of it. */
import type { Cell, CellOptions } from "../cell/index.js";

/** What one run of a proof found. */
export interface ProofRunResult {
    /** Breaches of the point, in words; none if it held. */
    readonly breaches: readonly string[];
    /** What was done and seen, so that a run that did nothing is not taken for a proof. */
    readonly evidence: string;
    /** Whether enough happened for the run to mean something. */
    readonly isMeaningful: boolean;
}

/** One of the points of the brief with the failure that threatens it. */
export interface Proof {
    /** The point, from 1 to 8, in the order of the brief. */
    readonly point: number;
    readonly name: string;
    readonly failures: string;
    /** The protection that is taken away to see the proof fail. */
    readonly protection: string;
    readonly cell: Partial<CellOptions>;
    /** Runs against a cell. `isProtected` is false in the run that is to fail. */
    run(cell: Cell, isProtected: boolean): Promise<ProofRunResult>;
}

/** What came of a proof. */
export enum Verdict {
    Proved = "proved",
    Failed = "failed",
    NotRun = "not run",
}

/** One row of the table. */
export interface ProofRow {
    readonly point: number;
    readonly name: string;
    readonly failures: string;
    readonly verdict: Verdict;
    /** What the protected run saw. */
    readonly evidence: string;
    /** What the run without the protection saw. */
    readonly withoutProtection: string;
}
