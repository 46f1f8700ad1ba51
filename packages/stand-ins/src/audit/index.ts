/**
 * Audit files, in which the stand-ins record what happened, so that checks need not rely on what the system reports.
 */
import { appendFileSync, existsSync, readFileSync } from "node:fs";

/** One line of an audit file. `at` is the time since the Unix epoch in fractional milliseconds. */
export interface AuditLine {
    readonly at: number;
    readonly event: string;
    readonly [field: string]: unknown;
}

/** Appends events to an audit file, one JSON object per line. */
export class AuditLog {
    constructor(private readonly file: string) {}

    /** Appends an event synchronously: it is written when this returns, even if the process is killed afterwards. */
    add(event: string, fields: Readonly<Record<string, unknown>>): void {
        appendFileSync(
            this.file,
            `${JSON.stringify({ at: performance.timeOrigin + performance.now(), event, ...fields })}\n`,
        );
    }
}

/** Reads the complete lines of an audit file; empty when the file does not exist yet. */
export const readAudit = (file: string): AuditLine[] => {
    if (!existsSync(file)) {
        return [];
    }
    const text = readFileSync(file, "utf8");
    // The stand-in may still be writing the last line.
    const completeLines = text.slice(0, text.lastIndexOf("\n") + 1);
    return completeLines.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as AuditLine);
};
