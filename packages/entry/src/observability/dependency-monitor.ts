/** Logs outages of what a VM depends on. */
import type { Clock, LogEvent, Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";

/** What a {@link DependencyMonitor} depends on. */
export interface DependencyMonitorOptions {
    readonly logger: EventLogger;
    readonly clock: Clock;
    readonly lostEvent: LogEvent;
    readonly recoveredEvent: LogEvent;
}

/** Logs one event when a dependency stops answering and one when it answers again, however many calls fail in between. */
export class DependencyMonitor {
    #lostAt: Milliseconds | undefined;
    #failures = 0;

    constructor(private readonly options: DependencyMonitorOptions) {}

    recordSuccess(): void {
        const { logger, clock, recoveredEvent } = this.options;
        if (this.#lostAt !== undefined) {
            const lasted = Math.round(clock.monotonic() - this.#lostAt);
            logger.log(recoveredEvent, { lasted, failures: this.#failures });
        }
        this.#lostAt = undefined;
        this.#failures = 0;
    }

    /** `age`: time since the last answer, where it is known. */
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
