/** The owner's leased key in the store. */
import {
    absentVersion,
    type Clock,
    type KeyVersion,
    logEvents,
    type Milliseconds,
    type PlatformLeaseId,
    type PlatformStore,
} from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { ownerKey, revokeTimeout } from "../membership/index.js";
import { DependencyMonitor } from "../observability/index.js";
import { renewalsPerLease } from "./constants.js";

/** Dependencies and parameters of the owner's key. */
export interface OwnerKeyOptions {
    readonly logger: EventLogger;
    readonly store: PlatformStore;
    readonly clock: Clock;
    /** Value unique to this process. */
    readonly value: string;
    readonly leaseLength: Milliseconds;
}

/** A requested lease. It starts no earlier than its request was sent. */
interface PreparedLease {
    readonly sentAt: Milliseconds;
    readonly granted: Promise<PlatformLeaseId>;
}

/**
 * Claims the owner's key by compare-and-swap and keeps its lease alive. A key whose lease has expired is claimed again
 * unless another process has it.
 */
export class OwnerKey {
    readonly #monitor: DependencyMonitor;
    #lease: PlatformLeaseId | undefined;
    #confirmedAt = -Infinity;
    /** A lease requested ahead of a claim. */
    #prepared: PreparedLease | undefined;
    /** Pending reclaim of a key whose lease has expired. */
    #reclaim: Promise<unknown> | undefined;

    constructor(private readonly options: OwnerKeyOptions) {
        const { logger, clock } = options;
        const { ownerKeyFailed: lostEvent, ownerKeyRestored: recoveredEvent } = logEvents;
        this.#monitor = new DependencyMonitor({ logger, clock, lostEvent, recoveredEvent });
    }

    /**
     * Time at which the last successful renewal was sent, on the monotonic clock; for a claim, the time of its lease
     * request. No other process can claim the key within the lease's length from then on.
     */
    get confirmedAt(): Milliseconds {
        return this.#confirmedAt;
    }

    /** Requests the lease for a possible claim, so that a slow store answers in the meantime. */
    prepare(): void {
        this.#prepared = this.#requestLease();
        // A failure is handled when the lease is used.
        this.#prepared.granted.catch(() => undefined);
    }

    /** Claims the key if its version is still `expected`; resolves to false when another process was first. */
    async claim(expected: KeyVersion): Promise<boolean> {
        const { store, value } = this.options;
        const { sentAt, granted } = this.#prepared ?? this.#requestLease();
        this.#prepared = undefined;
        const lease = await granted;
        const outcome = await store.compareAndSwap(ownerKey, expected, value, lease);
        // A conflict with this process's own value means that the first answer was lost.
        const isClaimed = outcome.kind === "swapped" || outcome.current?.value === value;
        this.#lease = isClaimed ? lease : undefined;
        if (outcome.kind === "swapped") {
            this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
        }
        return isClaimed;
    }

    /** Keeps the key alive until `signal` fires, then releases it. */
    async keepAlive(signal: AbortSignal): Promise<void> {
        const { clock, leaseLength } = this.options;
        while (!signal.aborted) {
            await clock.sleep(leaseLength / renewalsPerLease, signal);
            if (!signal.aborted) {
                // Not awaited: a renewal without an answer must not delay the next one.
                this.confirm(signal);
            }
        }
        // If the store does not answer, the lease expires by itself.
        await Promise.race([this.#release(), clock.sleep(revokeTimeout)]);
    }

    async #release(): Promise<void> {
        const { store } = this.options;
        await this.#reclaim?.catch((cause: unknown) => this.#monitor.recordFailure(cause));
        if (this.#lease !== undefined) {
            await store.revokeLease(this.#lease).catch((cause: unknown) => this.#monitor.recordFailure(cause));
        }
    }

    /** Renews the lease immediately, without waiting for the result. */
    confirm(signal: AbortSignal): void {
        void this.#renew(signal).then(() => this.#monitor.recordSuccess(), cause => this.#monitor.recordFailure(cause));
    }

    #requestLease(): PreparedLease {
        const { store, clock, leaseLength } = this.options;
        return { sentAt: clock.monotonic(), granted: store.grantLease(leaseLength) };
    }

    /**
     * Renews the lease. An expired one is replaced unless another process has the key, in which case the journal is
     * fenced.
     */
    async #renew(signal: AbortSignal): Promise<void> {
        const sentAt = this.options.clock.monotonic();
        const lease = this.#lease;
        if (lease !== undefined && await this.options.store.renewLease(lease)) {
            this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
            return;
        }
        if (lease === this.#lease && !signal.aborted) {
            this.#lease = undefined;
            this.#confirmedAt = -Infinity;
            this.#reclaim ??= this.claim(absentVersion).finally(() => this.#reclaim = undefined);
        }
        await this.#reclaim;
    }
}
