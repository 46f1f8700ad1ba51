/** Logging of journal outages. */
import { type Clock, type Journal, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { stalledAfter } from "./constants.js";

/** Dependencies of the outage log. */
export interface OutageLogOptions {
    readonly journal: Pick<Journal, "silentFor" | "waitingFor">;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/** Logs when the journal stalls and when it resumes, with the number of callers refused or left uncertain meanwhile. */
export class OutageLog {
    /** Start of the current outage; undefined while writes are answered. */
    #since: Milliseconds | undefined;
    #refused = 0;
    #uncertain = 0;

    constructor(private readonly options: OutageLogOptions) {}

    /** Counts a job that was refused because the journal is stalled. */
    noteRefused(): void {
        this.#refused++;
    }

    /** Counts a request whose outcome the caller could not be told. */
    noteUncertain(): void {
        this.#uncertain++;
    }

    /** Checks whether the journal has stalled or resumed since the last call. */
    look(): void {
        const { journal, clock, logger } = this.options;
        const silentFor = journal.silentFor();
        if (silentFor > stalledAfter && this.#since === undefined) {
            this.#since = clock.monotonic() - silentFor;
            this.#refused = 0;
            this.#uncertain = 0;
            logger.log(logEvents.journalStalled, { silentFor: Math.round(silentFor) });
        }
        else if (silentFor <= stalledAfter && this.#since !== undefined) {
            const lasted = Math.round(clock.monotonic() - this.#since);
            const oldest = Math.round(journal.waitingFor());
            this.#since = undefined;
            logger.log(logEvents.journalResumed, {
                lasted,
                refused: this.#refused,
                uncertain: this.#uncertain,
                oldest,
            });
        }
    }
}
