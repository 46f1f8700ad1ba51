/** Entitlements by the rate of submitted jobs. */
import type { OrganisationName } from "@pebbledale/core";
import type { Job } from "../state/index.js";
import { rateWindow } from "./constants.js";
import { Entitlement, type Entitlements } from "./types.js";

/** Jobs per second that an organisation is entitled to; undefined where the configuration does not say. */
export type JobRateOf = (organisation: OrganisationName) => number | undefined;

/** Number of jobs that an organisation submitted in one second and in the one before. */
interface Tally {
    readonly second: number;
    /** Number of jobs in the second before. */
    readonly previousCount: number;
    count: number;
}

/** A job's position among those of its organisation. */
interface JobPosition {
    /** From 1, in its second. */
    readonly ordinal: number;
    /** Number of jobs in the second before. */
    readonly previousCount: number;
}

/**
 * Classifies jobs by counting each organisation's submissions per second against the rate that it is entitled to.
 *
 * Jobs of a second count in the order of their acceptance, so the first jobs of an organisation that exceeds its rate stay entitled.
 * The unused entitlement of the second before is added, to tolerate random arrivals and the burst after a change of owner. Seconds are taken
 * from the acceptance times in the journal, so a new owner arrives at the same result.
 */
export class SubmissionRate implements Entitlements {
    readonly #tallies = new Map<OrganisationName, Tally>();
    readonly #positions = new WeakMap<Job, JobPosition>();

    constructor(private readonly jobRateOf: JobRateOf) {}

    /** Counts a job once. Jobs must be passed in the order of their acceptance. */
    noteJob(job: Job): void {
        if (job.organisation === undefined || this.#positions.has(job)) {
            return;
        }
        const tally = this.#tallyOf(job.organisation, Math.floor(job.acceptedAt / rateWindow));
        tally.count++;
        this.#positions.set(job, { ordinal: tally.count, previousCount: tally.previousCount });
    }

    /** Classifies a counted job by the current configuration: a changed rate also applies to jobs accepted earlier. */
    entitlementOf(job: Job): Entitlement {
        const rate = job.organisation && this.jobRateOf(job.organisation);
        const position = this.#positions.get(job);
        if (rate === undefined || position === undefined) {
            return Entitlement.Entitled;
        }
        const unused = Math.max(0, rate - position.previousCount);
        return position.ordinal <= rate + unused ? Entitlement.Entitled : Entitlement.Surplus;
    }

    #tallyOf(organisation: OrganisationName, second: number): Tally {
        const known = this.#tallies.get(organisation);
        if (known?.second === second) {
            return known;
        }
        const previousCount = known?.second === second - 1 ? known.count : 0;
        const tally = { second, previousCount, count: 0 };
        this.#tallies.set(organisation, tally);
        return tally;
    }
}
