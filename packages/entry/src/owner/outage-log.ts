/** Tells when the owner's journal stops and when it goes on, a line each, and how callers were answered meanwhile. */
import { type Clock, type Journal, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { journalStallTimeout } from "./constants.js";

/** What the log needs. */
export interface JournalOutageLogOptions {
    readonly journal: Pick<Journal, "silentFor" | "waitingFor">;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/** See the module's comment. */
export class JournalOutageLog {
    /** Since when no write was answered; undefined while writes are. */
    #outageStartedAt: Milliseconds | undefined;
    #refusedCount = 0;
    #uncertainCount = 0;

    constructor(private readonly options: JournalOutageLogOptions) {}

    /** A job was refused as no record can be kept. */
    noteRefused(): void {
        this.#refusedCount++;
    }

    /** A caller was told that it is not known whether its request was done. */
    noteUncertain(): void {
        this.#uncertainCount++;
    }

    /** Looks how the journal stands; called now and then. */
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
