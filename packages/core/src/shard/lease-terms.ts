/**
 * Lengths of leases as the journal keeps them.
 *
 * A new owner must wait as long as the former one may have renewed, which may not be what the settings say now. So an
 * owner gives no lease under terms that are not kept, and a shorter lease is kept only once the longer ones have ended.
 */
import type { Milliseconds } from "../time/index.js";

/** Lengths that decide when a task can no longer be running. */
export interface Terms {
    readonly horizon: Milliseconds;
    readonly leaseDuration: Milliseconds;
    readonly leaseMargin: Milliseconds;
}

const noTerms: Terms = { horizon: 0, leaseDuration: 0, leaseMargin: 0 };

const isSameTerms = (left: Terms, right: Terms): boolean =>
    left.horizon === right.horizon && left.leaseDuration === right.leaseDuration
    && left.leaseMargin === right.leaseMargin;

/** Terms kept in the journal and those the settings ask for. */
export class LeaseTerms {
    #kept = noTerms;
    #former = noTerms;
    #offered: Terms | undefined;
    #shorterSince: Milliseconds | undefined;

    /** Takes over what the journal holds. */
    recover(terms: Terms | undefined): void {
        this.#kept = terms ?? noTerms;
        this.#former = this.#kept;
    }

    /** The terms that a former owner may have given leases under. */
    ofFormerOwner(): Terms {
        return this.#former;
    }

    /** The terms under which leases are given now: what the settings ask for, within what is kept. */
    inForce(wanted: Terms): Terms {
        return {
            horizon: Math.min(wanted.horizon, this.#kept.horizon),
            leaseDuration: Math.min(wanted.leaseDuration, this.#kept.leaseDuration),
            leaseMargin: Math.max(wanted.leaseMargin, this.#kept.leaseMargin),
        };
    }

    /** The terms to record now, if they differ from those kept and are not on their way. */
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

    /** Terms that were recorded are now kept. */
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
