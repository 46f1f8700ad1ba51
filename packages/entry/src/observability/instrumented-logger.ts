/** Metrics taken from log events. */
import { type LogEvent, logEvents } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { EntryMetrics } from "./entry-metrics.js";

/** Counts every log event and records the durations that some carry. Complete even when the log drops lines under overload. */
export class InstrumentedLogger implements EventLogger {
    constructor(private readonly logger: EventLogger, private readonly metrics: EntryMetrics) {}

    log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void {
        this.metrics.recordEvent(event.number);
        this.#measure(event, fields ?? {});
        this.logger.log(event, fields);
    }

    #measure(event: LogEvent, { waited, priority, took, state }: Readonly<Record<string, unknown>>): void {
        if (event === logEvents.runsOrdered && typeof waited === "number" && typeof priority === "number") {
            this.metrics.recordTaskWait(priority, waited);
        }
        else if (event === logEvents.stepAdvised && typeof took === "number") {
            this.metrics.recordAdvice(took);
        }
        else if (event === logEvents.jobEnded && typeof took === "number") {
            this.metrics.recordJobEnd(String(state), took);
        }
    }
}
