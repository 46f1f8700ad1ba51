/** The stand-ins' own record of what happened, which proofs read in place of the system's word. */
import { appendFileSync, existsSync, readFileSync } from "node:fs";

/** One line of an audit file. `at` is wall-clock time in milliseconds with fractions. */
export interface AuditLine {
    readonly at: number;
    readonly event: string;
    readonly [field: string]: unknown;
}

/** Appends lines to a file. */
export class AuditLog {
    constructor(private readonly file: string) {}

    /** Adds one line; written before this returns. */
    add(event: string, fields: Readonly<Record<string, unknown>>): void {
        appendFileSync(
            this.file,
            `${JSON.stringify({ at: performance.timeOrigin + performance.now(), event, ...fields })}\n`,
        );
    }
}

/** Reads all whole lines of an audit file; none when it does not exist yet. */
export const readAudit = (file: string): AuditLine[] => {
    if (!existsSync(file)) {
        return [];
    }
    const text = readFileSync(file, "utf8");
    // The stand-in may be writing: what follows the last line end is not a line yet.
    const completeLines = text.slice(0, text.lastIndexOf("\n") + 1);
    return completeLines.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as AuditLine);
};
