/** Logs when something this VM needs stops answering and when it answers again: a line each, however many calls fail. */
import type { Clock, LogEvent, Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";

/** What a watch needs. */
export interface DependencyMonitorOptions {
    readonly logger: EventLogger;
    readonly clock: Clock;
    readonly lostEvent: LogEvent;
    readonly recoveredEvent: LogEvent;
}

/** See the module's comment. */
export class DependencyMonitor {
    #lostAt: Milliseconds | undefined;
    #failures = 0;

    constructor(private readonly options: DependencyMonitorOptions) {}

    /** A call was answered. */
    recordSuccess(): void {
        const { logger, clock, recoveredEvent: regained } = this.options;
        if (this.#lostAt !== undefined) {
            const lasted = Math.round(clock.monotonic() - this.#lostAt);
            logger.log(regained, { lasted, failures: this.#failures });
        }
        this.#lostAt = undefined;
        this.#failures = 0;
    }

    /** A call failed. `age`: how long ago the last answer came, where that is known. */
    recordFailure(cause: unknown, age?: Milliseconds): void {
        this.#failures++;
        if (this.#lostAt === undefined) {
            this.#lostAt = this.options.clock.monotonic();
            this.options.logger.log(this.options.lostEvent, {
                cause: String(cause),
                ...(age === undefined ? {} : { age: Math.round(age) }),
            });
        }
    }
}
