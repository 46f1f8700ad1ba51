/** Counts every event that is logged, and takes the latencies that some of them carry. */
import { type LogEvent, logEvents } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { EntryMetrics } from "./entry-metrics.js";

/** See the module's comment. The log may leave lines out under overload; the counters are complete. */
export class InstrumentedLogger implements EventLogger {
    constructor(private readonly logger: EventLogger, private readonly metrics: EntryMetrics) {}

    /** See {@link EventLogger.log}. */
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
