/** Formatting of tables and errors for the command line. */
import type { ErrorName } from "@pebbledale/core";

/** A failure that is printed as an entry of the error catalogue. */
export class OperatorError extends Error {
    override readonly name = "OperatorError";

    constructor(readonly error: ErrorName, reason = "") {
        super(reason);
    }
}

/** Formats a text table whose columns are as wide as their widest cell. */
export const formatTable = (head: readonly string[], rows: readonly (readonly string[])[]): string => {
    const widths = head.map((name, column) => Math.max(name.length, ...rows.map(row => row[column].length)));
    const line = (cells: readonly string[]) =>
        cells.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd();
    return [head, ...rows].map(line).join("\n");
};

/** Formats a share from 0 to 1 as a percentage. */
export const formatShare = (share: number): string => `${(share * 100).toFixed(1)}%`;
