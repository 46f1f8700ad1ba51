/**
 * Counts what each organisation hands in, second by second, against the jobs a second that it is owed.
 *
 * The load that it answers: an organisation sends many times its usual. The jobs of a second count in the order of their acceptance, so that
 * of what a busy organisation sends its first jobs go on as if it had sent no others. What it left unused in the second before is added:
 * callers come at random, and after a change of owner those of two seconds come at once. Seconds are those of the time of day that the
 * journal keeps with each job, so a new owner counts the same.
 */
import type { OrganisationName } from "@pebbledale/core";
import type { Job } from "../state/index.js";
import { rateWindow } from "./constants.js";
import { Entitlement, type Entitlements } from "./types.js";

/** Jobs a second that an organisation is owed; undefined where no configuration tells. */
export type JobRateOf = (organisation: OrganisationName) => number | undefined;

/** What an organisation handed in during one second and the one before. */
interface Tally {
    readonly second: number;
    readonly before: number;
    count: number;
}

/** Where a job stands among those of its organisation. */
interface Place {
    /** From 1, in its second. */
    readonly place: number;
    /** Jobs in the second before. */
    readonly before: number;
}

/** See the module's comment. */
export class SubmissionRate implements Entitlements {
    readonly #tallies = new Map<OrganisationName, Tally>();
    readonly #places = new WeakMap<Job, Place>();

    constructor(private readonly jobRateOf: JobRateOf) {}

    /** See {@link Entitlements.noteJob}. Jobs come in the order of their acceptance. */
    noteJob(job: Job): void {
        if (job.organisation === undefined || this.#places.has(job)) {
            return;
        }
        const tally = this.#tallyOf(job.organisation, Math.floor(job.acceptedAt / rateWindow));
        tally.count++;
        this.#places.set(job, { place: tally.count, before: tally.before });
    }

    /** See {@link Entitlements.entitlementOf}. By the newest configuration: a rate that changes holds for jobs that were accepted before, too. */
    entitlementOf(job: Job): Entitlement {
        const rate = job.organisation && this.jobRateOf(job.organisation);
        const found = this.#places.get(job);
        if (rate === undefined || found === undefined) {
            return Entitlement.Entitled;
        }
        const unused = Math.max(0, rate - found.before);
        return found.place <= rate + unused ? Entitlement.Entitled : Entitlement.Surplus;
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
