/** Observers for tests: they keep what they are told. */
import type { Clock, LogEvent } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { EntryMetrics, RequestLog } from "../../src/index.js";

/** One event as it was logged. */
export interface LoggedEvent {
    readonly event: LogEvent;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Keeps what is logged. */
export class RecordingLogger implements EventLogger {
    readonly logged: LoggedEvent[] = [];

    /** See {@link EventLogger.log}. */
    log(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
        this.logged.push({ event, fields });
    }
}

/** A request log with what it tells. */
export const makeRequestLog = (clock: Clock): { log: RequestLog; kept: RecordingLogger; metrics: EntryMetrics; } => {
    const kept = new RecordingLogger();
    const metrics = new EntryMetrics();
    const owner = () => ({ epoch: 7, silence: 120 });
    return { log: new RequestLog({ logger: kept, metrics, clock, owner }), kept, metrics };
};
