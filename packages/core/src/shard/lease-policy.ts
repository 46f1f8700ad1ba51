/** Lease terms across changes of settings and of the owner. */
import type { Milliseconds } from "../time/index.js";

/** Durations that determine when a task can no longer be running. */
export interface LeaseTerms {
    readonly horizon: Milliseconds;
    readonly leaseDuration: Milliseconds;
    readonly leaseMargin: Milliseconds;
}

const noTerms: LeaseTerms = { horizon: 0, leaseDuration: 0, leaseMargin: 0 };

const isSameTerms = (left: LeaseTerms, right: LeaseTerms): boolean =>
    left.horizon === right.horizon && left.leaseDuration === right.leaseDuration
    && left.leaseMargin === right.leaseMargin;

/**
 * Reconciles the lease terms in the journal with those of the settings.
 *
 * A new owner waits until the former owner's leases have expired, and learns their duration from the journal, as the
 * settings may have changed since. Leases are therefore granted only under committed terms, and a shorter duration is
 * recorded only once all longer leases have expired.
 */
export class LeasePolicy {
    #committed = noTerms;
    #former = noTerms;
    #proposed: LeaseTerms | undefined;
    #shorterSince: Milliseconds | undefined;

    /** Restores the terms of the former owner. */
    recover(terms: LeaseTerms | undefined): void {
        this.#committed = terms ?? noTerms;
        this.#former = this.#committed;
    }

    /** The terms under which a former owner may have granted leases. */
    formerTerms(): LeaseTerms {
        return this.#former;
    }

    /** The terms for leases granted now: those of the settings, limited by the committed ones. */
    currentTerms(wanted: LeaseTerms): LeaseTerms {
        return {
            horizon: Math.min(wanted.horizon, this.#committed.horizon),
            leaseDuration: Math.min(wanted.leaseDuration, this.#committed.leaseDuration),
            leaseMargin: Math.max(wanted.leaseMargin, this.#committed.leaseMargin),
        };
    }

    /** Terms to write to the journal now; undefined when they are committed or already proposed. */
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

    /** Must be called once recorded terms are committed. */
    onCommitted(terms: LeaseTerms): void {
        this.#committed = terms;
    }

    #durationToRecord(wanted: LeaseTerms, now: Milliseconds): Milliseconds {
        if (wanted.leaseDuration >= this.#committed.leaseDuration) {
            this.#shorterSince = undefined;
            return wanted.leaseDuration;
        }
        this.#shorterSince ??= now;
        const longerExpired = now - this.#shorterSince > this.#committed.leaseDuration + this.#committed.leaseMargin;
        return longerExpired ? wanted.leaseDuration : this.#committed.leaseDuration;
    }
}
