/** Logging of journal outages. */
import { type Clock, type Journal, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { journalStallTimeout } from "./constants.js";

/** Dependencies of the outage log. */
export interface JournalOutageLogOptions {
    readonly journal: Pick<Journal, "silentFor" | "waitingFor">;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/** Logs when the journal stalls and when it resumes, with the number of callers refused or left uncertain meanwhile. */
export class JournalOutageLog {
    /** Start of the current outage; undefined while writes are answered. */
    #outageStartedAt: Milliseconds | undefined;
    #refusedCount = 0;
    #uncertainCount = 0;

    constructor(private readonly options: JournalOutageLogOptions) {}

    /** Counts a job that was refused because the journal is stalled. */
    countRefused(): void {
        this.#refusedCount++;
    }

    /** Counts a request whose outcome the caller could not be told. */
    countUncertain(): void {
        this.#uncertainCount++;
    }

    /** Checks whether the journal has stalled or resumed since the last call. */
    check(): void {
        const { journal, clock, logger } = this.options;
        const silentFor = journal.silentFor();
        if (silentFor > journalStallTimeout && this.#outageStartedAt === undefined) {
            this.#outageStartedAt = clock.monotonic() - silentFor;
            this.#refusedCount = 0;
            this.#uncertainCount = 0;
            logger.log(logEvents.journalStalled, { silentFor: Math.round(silentFor) });
        }
        else if (silentFor <= journalStallTimeout && this.#outageStartedAt !== undefined) {
            const lasted = Math.round(clock.monotonic() - this.#outageStartedAt);
            const oldest = Math.round(journal.waitingFor());
            this.#outageStartedAt = undefined;
            logger.log(logEvents.journalResumed, {
                lasted,
                refused: this.#refusedCount,
                uncertain: this.#uncertainCount,
                oldest,
            });
        }
    }
}
