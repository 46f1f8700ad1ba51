/** Formats a job's timeline as a table. */
import { formatTable } from "../output/index.js";
import type { JobTimeline, TimelineRow } from "./types.js";

/** One row a decision: its time, the time since the first one, the VM, the event, and what the line says besides. */
export const formatTimeline = ({ rows }: JobTimeline): string => {
    const startedAt = rows[0]?.time ?? 0;
    return formatTable(
        ["AT", "AFTER", "VM", "EVENT", "LINES", "WHAT", "DETAILS"],
        rows.map(row => cellsOf(row, startedAt)),
    );
};

const cellsOf = ({ time, vm, event, lines, message, fields }: TimelineRow, startedAt: number): string[] => [
    new Date(time).toISOString().slice("yyyy-mm-ddT".length, -1),
    `${time - startedAt} ms`,
    vm,
    String(event),
    String(lines),
    message,
    Object.entries(fields).map(([name, value]) => `${name}=${textOf(value)}`).join(" "),
];

const textOf = (value: unknown): string => typeof value === "string" ? value : JSON.stringify(value) ?? "";
