/**
 * Lengths of leases as the journal keeps them.
 *
 * A new owner must wait as long as the former one may have renewed, which may not be what the settings say now. So an
 * owner gives no lease under terms that are not kept, and a shorter lease is kept only once the longer ones have ended.
 */
import type { Milliseconds } from "../time/index.js";

/** Lengths that decide when a task can no longer be running. */
export interface LeaseTerms {
    readonly horizon: Milliseconds;
    readonly leaseDuration: Milliseconds;
    readonly leaseMargin: Milliseconds;
}

const noTerms: LeaseTerms = { horizon: 0, leaseDuration: 0, leaseMargin: 0 };

const isSameTerms = (left: LeaseTerms, right: LeaseTerms): boolean =>
    left.horizon === right.horizon && left.leaseDuration === right.leaseDuration
    && left.leaseMargin === right.leaseMargin;

/** Terms kept in the journal and those the settings ask for. */
export class LeasePolicy {
    #committed = noTerms;
    #former = noTerms;
    #proposed: LeaseTerms | undefined;
    #shorterSince: Milliseconds | undefined;

    /** Takes over what the journal holds. */
    recover(terms: LeaseTerms | undefined): void {
        this.#committed = terms ?? noTerms;
        this.#former = this.#committed;
    }

    /** The terms that a former owner may have given leases under. */
    formerTerms(): LeaseTerms {
        return this.#former;
    }

    /** The terms under which leases are given now: what the settings ask for, within what is kept. */
    currentTerms(wanted: LeaseTerms): LeaseTerms {
        return {
            horizon: Math.min(wanted.horizon, this.#committed.horizon),
            leaseDuration: Math.min(wanted.leaseDuration, this.#committed.leaseDuration),
            leaseMargin: Math.max(wanted.leaseMargin, this.#committed.leaseMargin),
        };
    }

    /** The terms to record now, if they differ from those kept and are not on their way. */
    termsToRecord(wanted: LeaseTerms, now: Milliseconds): LeaseTerms | undefined {
        const next = {
            horizon: wanted.horizon,
            leaseDuration: this.#durationToRecord(wanted, now),
            leaseMargin: wanted.leaseMargin,
        };
        if (isSameTerms(next, this.#committed) || (this.#proposed !== undefined && isSameTerms(next, this.#proposed))) {
            return undefined;
        }
        this.#proposed = next;
        return next;
    }

    /** Terms that were recorded are now kept. */
    onCommitted(terms: LeaseTerms): void {
        this.#committed = terms;
    }

    #durationToRecord(wanted: LeaseTerms, now: Milliseconds): Milliseconds {
        if (wanted.leaseDuration >= this.#committed.leaseDuration) {
            this.#shorterSince = undefined;
            return wanted.leaseDuration;
        }
        this.#shorterSince ??= now;
        const longerEnded = now - this.#shorterSince > this.#committed.leaseDuration + this.#committed.leaseMargin;
        return longerEnded ? wanted.leaseDuration : this.#committed.leaseDuration;
    }
}
