/** Builds a job's timeline from log lines. */
import type { JobLogEntry, JobTimeline, TimelineRow, UnreadableLine } from "./types.js";

/** Number of unreadable lines that are named. */
const maxExamples = 5;
/** Fields that every log line holds, and the job's id, which the caller has given. */
const commonFields = new Set(["level", "time", "program", "name", "event", "msg", "job"]);
/** Fields that hold the address of a step or a task, which begins with the id of its job. */
const addressFields = ["step", "task", "first"] as const;

/** Collects the lines that concern one job, in any order; lines that cannot be read are counted and the first ones named. */
export class TimelineBuilder {
    readonly #entries: JobLogEntry[] = [];
    readonly #examples: UnreadableLine[] = [];
    #lines = 0;
    #unreadable = 0;

    constructor(private readonly job: string) {}

    /** Adds one line of a file; `line` counts from 1. */
    add(file: string, line: number, text: string): void {
        if (text.trim() === "") {
            return;
        }
        this.#lines++;
        const record = parseLine(text);
        if (record === undefined) {
            this.#unreadable++;
            if (this.#examples.length < maxExamples) {
                this.#examples.push({ file, line });
            }
        }
        else if (concerns(record, this.job)) {
            this.#entries.push(entryOf(record));
        }
    }

    build(): JobTimeline {
        const inOrder = [...this.#entries].sort((left, right) => left.time - right.time);
        return {
            rows: fold(inOrder),
            lines: this.#lines,
            unreadable: this.#unreadable,
            examples: this.#examples,
        };
    }
}

type LogRecord = Readonly<Record<string, unknown>> & { readonly time: number; readonly event: number; };

/** Parses a line of JSON, which a log collector may have prefixed; undefined when it is no line of an event. */
const parseLine = (text: string): LogRecord | undefined => {
    try {
        const record = JSON.parse(text.slice(Math.max(0, text.indexOf("{")))) as Partial<LogRecord> | undefined;
        return typeof record?.event === "number" && isTime(record.time) ? record as LogRecord : undefined;
    }
    catch {
        return undefined;
    }
};

/** Whether a value is a time that can be printed: numbers may be beyond the range of dates. */
const isTime = (value: unknown): value is number =>
    typeof value === "number" && !Number.isNaN(new Date(value).getTime());

const concerns = (record: LogRecord, job: string): boolean =>
    record["job"] === job || addressFields.some(field => String(record[field] ?? "").startsWith(`${job}/`));

const entryOf = (record: LogRecord): JobLogEntry => ({
    time: record.time,
    vm: String(record["name"] ?? ""),
    event: record.event,
    message: String(record["msg"] ?? ""),
    fields: Object.fromEntries(Object.entries(record).filter(([field]) => !commonFields.has(field))),
});

/** Joins successive lines of one VM about the same event: a wide step writes one for each worker. */
const fold = (entries: readonly JobLogEntry[]): TimelineRow[] => {
    const rows: TimelineRow[] = [];
    for (const entry of entries) {
        const last = rows.at(-1);
        if (last !== undefined && last.vm === entry.vm && last.event === entry.event) {
            rows[rows.length - 1] = { ...last, lines: last.lines + 1 };
        }
        else {
            rows.push({ ...entry, lines: 1 });
        }
    }
    return rows;
};
