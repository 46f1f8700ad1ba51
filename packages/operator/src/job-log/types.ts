/** A job's way through the logs of entry VMs. */

/** A log line that concerns a job. */
export interface JobLogEntry {
    /** Milliseconds since 1970, by the clock of the VM that wrote the line. */
    readonly time: number;
    readonly vm: string;
    readonly event: number;
    readonly message: string;
    /** What the line says besides, without what all lines hold. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Successive lines of one VM about the same event. */
export interface TimelineRow extends JobLogEntry {
    /** Number of lines; the other members are those of the first one. */
    readonly lines: number;
}

/** A line that is no log line. */
export interface UnreadableLine {
    readonly file: string;
    /** From 1. */
    readonly line: number;
}

/** What the logs tell about a job. */
export interface JobTimeline {
    readonly rows: readonly TimelineRow[];
    /** Number of lines read. */
    readonly lines: number;
    readonly unreadable: number;
    /** The first unreadable lines. */
    readonly examples: readonly UnreadableLine[];
}
