/** Entitlements by the rate of submitted jobs. */
import type { OrganisationName } from "@pebbledale/core";
import type { Job } from "../state/index.js";
import { rateWindow } from "./constants.js";
import { Entitlement, type Entitlements } from "./types.js";

/** Jobs per second that an organisation is entitled to; undefined where the configuration does not say. */
export type JobRateOf = (organisation: OrganisationName) => number | undefined;

/** Jobs that an organisation submitted in one window and the one before. */
interface Tally {
    readonly second: number;
    readonly before: number;
    count: number;
}

/** A job's position among those of its organisation. */
interface JobPosition {
    /** From 1, in its window. */
    readonly ordinal: number;
    /** Number of jobs in the window before. */
    readonly before: number;
}

/**
 * Classifies jobs by counting each organisation's submissions per second against the rate that it is entitled to.
 *
 * Jobs of a second count in the order of their acceptance, so the first jobs of an organisation that submits too many are not affected.
 * The unused entitlement of the second before is added, for random arrivals and for the burst after a change of owner. Seconds are taken
 * from the acceptance times in the journal, so a new owner arrives at the same result.
 */
export class SubmissionRate implements Entitlements {
    readonly #tallies = new Map<OrganisationName, Tally>();
    readonly #positions = new WeakMap<Job, JobPosition>();

    constructor(private readonly jobRateOf: JobRateOf) {}

    /** Jobs must come in the order of their acceptance. */
    noteJob(job: Job): void {
        if (job.organisation === undefined || this.#positions.has(job)) {
            return;
        }
        const tally = this.#tallyOf(job.organisation, Math.floor(job.acceptedAt / rateWindow));
        tally.count++;
        this.#positions.set(job, { ordinal: tally.count, before: tally.before });
    }

    /** Uses the newest configuration: a changed rate applies to jobs accepted earlier, too. */
    entitlementOf(job: Job): Entitlement {
        const rate = job.organisation && this.jobRateOf(job.organisation);
        const position = this.#positions.get(job);
        if (rate === undefined || position === undefined) {
            return Entitlement.Entitled;
        }
        const unused = Math.max(0, rate - position.before);
        return position.ordinal <= rate + unused ? Entitlement.Entitled : Entitlement.Surplus;
    }

    #tallyOf(organisation: OrganisationName, second: number): Tally {
        const known = this.#tallies.get(organisation);
        if (known?.second === second) {
            return known;
        }
        const before = known?.second === second - 1 ? known.count : 0;
        const tally = { second, before, count: 0 };
        this.#tallies.set(organisation, tally);
        return tally;
    }
}
