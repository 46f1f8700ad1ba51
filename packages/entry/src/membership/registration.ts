/** This VM's lease in the store, and the keys that hang on it. */
import {
    absentVersion,
    type Clock,
    type KeyVersion,
    logEvents,
    type Milliseconds,
    type PlatformLeaseId,
    type PlatformStore,
} from "@pebbledale/core";
import { type EventLogger, unlessAborted } from "@pebbledale/runtime";
import { DependencyMonitor } from "../observation/index.js";

/** What a registration needs. */
export interface VmRegistrationOptions {
    readonly logger: EventLogger;
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly key: string;
    readonly value: string;
    /** How long the lease runs after its last renewal. */
    readonly leaseLength: Milliseconds;
}

/** Longest wait for the end of a lease when a VM stops; without an answer it runs out by itself. */
export const revokeTimeout: Milliseconds = 400;
/** Wait after a call without an answer: no owner finds a VM whose key has run out. */
const retryDelay: Milliseconds = 250;
/** A lease is renewed this many times in its length. */
const renewalsPerLease = 3;

/** See the module's comment. */
export class VmRegistration {
    readonly #watch: DependencyMonitor;
    #lease: PlatformLeaseId | undefined;

    constructor(private readonly options: VmRegistrationOptions) {
        const { logger, clock } = options;
        const { registrationFailed: lost, registrationRestored: regained } = logEvents;
        this.#watch = new DependencyMonitor({ logger, clock, lostEvent: lost, recoveredEvent: regained });
    }

    /** The lease, while it is thought to stand. */
    get lease(): PlatformLeaseId | undefined {
        return this.#lease;
    }

    /** Keeps the lease and this VM's key until `signal` fires, then ends the lease. */
    async run(signal: AbortSignal): Promise<void> {
        const { store, clock, leaseLength } = this.options;
        while (!signal.aborted) {
            let isKept = false;
            const kept = this.#maintain().then(
                () => {
                    isKept = true;
                    this.#watch.recordSuccess();
                },
                cause => this.#watch.recordFailure(cause),
            );
            await unlessAborted(kept, signal);
            await clock.sleep(isKept ? leaseLength / renewalsPerLease : retryDelay, signal);
        }
        if (this.#lease !== undefined) {
            const revoked = store.revokeLease(this.#lease).catch((cause: unknown) => this.#watch.recordFailure(cause));
            // Without an answer the lease runs out by itself.
            await Promise.race([revoked, clock.sleep(revokeTimeout)]);
        }
    }

    /** This VM's key is gone though its lease may stand: the lease is made anew at the next renewal. */
    invalidateLease(): void {
        this.#lease = undefined;
    }

    async #maintain(): Promise<void> {
        const { store } = this.options;
        if (this.#lease !== undefined && await store.renewLease(this.#lease)) {
            return;
        }
        this.#lease = undefined;
        const lease = await store.grantLease(this.options.leaseLength);
        await this.#put(lease, absentVersion);
        this.#lease = lease;
    }

    async #put(lease: PlatformLeaseId, expected: KeyVersion): Promise<void> {
        const { store, key, value } = this.options;
        const outcome = await store.compareAndSwap(key, expected, value, lease);
        if (outcome.kind === "conflict" && outcome.current !== undefined) {
            // An earlier life of this VM, or a lost answer: the newer lease replaces it.
            await this.#put(lease, outcome.current.version);
        }
    }
}
