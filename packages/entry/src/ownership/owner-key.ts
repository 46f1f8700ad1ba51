/** The owner's leased key: claimed under a condition, then kept alive, and put back when it was lost to no one. */
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
import { DependencyMonitor } from "../observation/index.js";
import { renewalsPerLease } from "./constants.js";

/** What an owner's key needs. */
export interface OwnerKeyOptions {
    readonly logger: EventLogger;
    readonly store: PlatformStore;
    readonly clock: Clock;
    /** Names this process; no other has the same value. */
    readonly value: string;
    readonly leaseLength: Milliseconds;
}

/** A lease that was asked for. It runs from when the call arrived, which is not before it was sent. */
interface PreparedLease {
    readonly sentAt: Milliseconds;
    readonly granted: Promise<PlatformLeaseId>;
}

/** See the module's comment. */
export class OwnerKey {
    readonly #watch: DependencyMonitor;
    #lease: PlatformLeaseId | undefined;
    #confirmedAt = -Infinity;
    /** A lease that was asked for ahead of a claim. */
    #prepared: PreparedLease | undefined;
    /** The claim of a key whose lease has ended, while it is on its way. */
    #reclaim: Promise<unknown> | undefined;

    constructor(private readonly options: OwnerKeyOptions) {
        const { logger, clock } = options;
        const { ownerKeyFailed: lost, ownerKeyRestored: regained } = logEvents;
        this.#watch = new DependencyMonitor({ logger, clock, lostEvent: lost, recoveredEvent: regained });
    }

    /**
     * When the store last confirmed the key, by the monotonic clock: when the call that did was sent, and for a claim when its lease was
     * asked for. Nobody else can claim for the length of the lease from then on.
     */
    get confirmedAt(): Milliseconds {
        return this.#confirmedAt;
    }

    /** Asks for the lease of a claim that may follow: a slow store answers meanwhile. */
    prepare(): void {
        this.#prepared = this.#requestLease();
        // A failure counts once the lease is used.
        this.#prepared.granted.catch(() => undefined);
    }

    /** Claims the key if its version is still `expected`; false when another process was faster. */
    async claim(expected: KeyVersion): Promise<boolean> {
        const { store, value } = this.options;
        const { sentAt, granted } = this.#prepared ?? this.#requestLease();
        this.#prepared = undefined;
        const lease = await granted;
        const outcome = await store.compareAndSwap(ownerKey, expected, value, lease);
        // A conflict with our own value: the first answer was lost.
        const isOwn = outcome.kind === "swapped" || outcome.current?.value === value;
        this.#lease = isOwn ? lease : undefined;
        if (outcome.kind === "swapped") {
            this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
        }
        return isOwn;
    }

    /** Keeps the key until `signal` fires, then gives it up. */
    async keepAlive(signal: AbortSignal): Promise<void> {
        const { clock, leaseLength } = this.options;
        while (!signal.aborted) {
            await clock.sleep(leaseLength / renewalsPerLease, signal);
            if (!signal.aborted) {
                // Not waited for: a renewal without an answer would use up the lease. One that fell silent is followed on time.
                this.confirm(signal);
            }
        }
        // Without an answer the lease runs out by itself.
        await Promise.race([this.#release(), clock.sleep(revokeTimeout)]);
    }

    async #release(): Promise<void> {
        const { store } = this.options;
        await this.#reclaim?.catch((cause: unknown) => this.#watch.recordFailure(cause));
        if (this.#lease !== undefined) {
            await store.revokeLease(this.#lease).catch((cause: unknown) => this.#watch.recordFailure(cause));
        }
    }

    /** Has the store asked at once. */
    confirm(signal: AbortSignal): void {
        void this.#renew(signal).then(() => this.#watch.recordSuccess(), cause => this.#watch.recordFailure(cause));
    }

    #requestLease(): PreparedLease {
        const { store, clock, leaseLength } = this.options;
        return { sentAt: clock.monotonic(), granted: store.grantLease(leaseLength) };
    }

    /** Renews the lease. One that ended is replaced, unless another process has the key: the journal then decides. */
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
