/** Tells when the owner's journal stops and when it goes on, a line each, and how callers were answered meanwhile. */
import { type Clock, type Journal, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { stalledAfter } from "./constants.js";

/** What the log needs. */
export interface OutageLogOptions {
    readonly journal: Pick<Journal, "silentFor" | "waitingFor">;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/** See the module's comment. */
export class OutageLog {
    /** Since when no write was answered; undefined while writes are. */
    #since: Milliseconds | undefined;
    #refused = 0;
    #uncertain = 0;

    constructor(private readonly options: OutageLogOptions) {}

    /** A job was refused as no record can be kept. */
    noteRefused(): void {
        this.#refused++;
    }

    /** A caller was told that it is not known whether its request was done. */
    noteUncertain(): void {
        this.#uncertain++;
    }

    /** Looks how the journal stands; called now and then. */
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
