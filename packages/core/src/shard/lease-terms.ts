/** Lease terms across changes of settings and of the owner. */
import type { Milliseconds } from "../time/index.js";

/** Durations that determine when a task can no longer be running. */
export interface Terms {
    readonly horizon: Milliseconds;
    readonly leaseDuration: Milliseconds;
    readonly leaseMargin: Milliseconds;
}

const noTerms: Terms = { horizon: 0, leaseDuration: 0, leaseMargin: 0 };

const isSameTerms = (left: Terms, right: Terms): boolean =>
    left.horizon === right.horizon && left.leaseDuration === right.leaseDuration
    && left.leaseMargin === right.leaseMargin;

/**
 * Reconciles the lease terms in the journal with those of the settings.
 *
 * A new owner waits until the former owner's leases have expired, and learns their duration from the journal, as the
 * settings may have changed since. Leases are therefore granted only under committed terms, and a shorter duration is
 * recorded only once all longer leases have expired.
 */
export class LeaseTerms {
    #kept = noTerms;
    #former = noTerms;
    #offered: Terms | undefined;
    #shorterSince: Milliseconds | undefined;

    /** Restores the terms of the former owner. */
    recover(terms: Terms | undefined): void {
        this.#kept = terms ?? noTerms;
        this.#former = this.#kept;
    }

    /** The terms under which a former owner may have granted leases. */
    ofFormerOwner(): Terms {
        return this.#former;
    }

    /** The terms for leases granted now: those of the settings, limited by the committed ones. */
    inForce(wanted: Terms): Terms {
        return {
            horizon: Math.min(wanted.horizon, this.#kept.horizon),
            leaseDuration: Math.min(wanted.leaseDuration, this.#kept.leaseDuration),
            leaseMargin: Math.max(wanted.leaseMargin, this.#kept.leaseMargin),
        };
    }

    /** Terms to write to the journal now; undefined when they are committed or already proposed. */
    due(wanted: Terms, now: Milliseconds): Terms | undefined {
        const next = {
            horizon: wanted.horizon,
            leaseDuration: this.#durationToKeep(wanted, now),
            leaseMargin: wanted.leaseMargin,
        };
        if (isSameTerms(next, this.#kept) || (this.#offered !== undefined && isSameTerms(next, this.#offered))) {
            return undefined;
        }
        this.#offered = next;
        return next;
    }

    /** Must be called once recorded terms are committed. */
    kept(terms: Terms): void {
        this.#kept = terms;
    }

    #durationToKeep(wanted: Terms, now: Milliseconds): Milliseconds {
        if (wanted.leaseDuration >= this.#kept.leaseDuration) {
            this.#shorterSince = undefined;
            return wanted.leaseDuration;
        }
        this.#shorterSince ??= now;
        const longerEnded = now - this.#shorterSince > this.#kept.leaseDuration + this.#kept.leaseMargin;
        return longerEnded ? wanted.leaseDuration : this.#kept.leaseDuration;
    }
}
