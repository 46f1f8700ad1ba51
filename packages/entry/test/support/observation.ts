/** Recording loggers for tests. */
import type { Clock, LogEvent } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { EntryMetrics, RequestLog } from "../../src/index.js";

/** A logged event with its fields. */
export interface LoggedEvent {
    readonly event: LogEvent;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Logger that records events for later checks. */
export class RecordingLogger implements EventLogger {
    readonly logged: LoggedEvent[] = [];

    log(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
        this.logged.push({ event, fields });
    }
}

/** Creates a request log with the logger and metrics that it writes to. */
export const makeRequestLog = (clock: Clock): { log: RequestLog; logger: RecordingLogger; metrics: EntryMetrics; } => {
    const logger = new RecordingLogger();
    const metrics = new EntryMetrics();
    const owner = () => ({ epoch: 7, silence: 120 });
    return { log: new RequestLog({ logger, metrics, clock, owner }), logger, metrics };
};
