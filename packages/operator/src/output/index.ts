/** Tables and errors of the command line. */
import type { ErrorName } from "@pebbledale/core";

/** A failure that is shown to the operator as an entry of the catalogue. */
export class OperatorError extends Error {
    override readonly name = "OperatorError";

    constructor(readonly error: ErrorName, reason = "") {
        super(reason);
    }
}

/** A table of text: columns as wide as their widest cell. */
export const formatTable = (head: readonly string[], rows: readonly (readonly string[])[]): string => {
    const widths = head.map((name, column) => Math.max(name.length, ...rows.map(row => row[column].length)));
    const line = (cells: readonly string[]) =>
        cells.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd();
    return [head, ...rows].map(line).join("\n");
};

/** A share from 0 to 1 in percent. */
export const formatShare = (share: number): string => `${(share * 100).toFixed(1)}%`;
