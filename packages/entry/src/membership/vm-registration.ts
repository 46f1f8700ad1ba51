/** Registration of this VM in the store. */
import {
    absentVersion,
    type Clock,
    type KeyVersion,
    logEvents,
    type Milliseconds,
    type PlatformLeaseId,
    type PlatformStore,
} from "@pebbledale/core";
import { type EventLogger, settledOrAborted } from "@pebbledale/runtime";
import { DependencyMonitor } from "../observability/index.js";

/** What a {@link VmRegistration} depends on. */
export interface VmRegistrationOptions {
    readonly logger: EventLogger;
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly key: string;
    readonly value: string;
    /** The lease expires this long after its last renewal. */
    readonly leaseLength: Milliseconds;
}

/** Maximum wait for the revocation of a lease when a process stops. Without an answer the lease expires by itself. */
export const revokeTimeout: Milliseconds = 400;
/** Delay before a failed call is retried: a VM whose key has expired is invisible to owners. */
const retryDelay: Milliseconds = 250;
const renewalsPerLease = 3;

/** Keeps this VM's key in the store while the process runs. The key is bound to a lease, so that it expires when the process ends. */
export class VmRegistration {
    readonly #monitor: DependencyMonitor;
    #lease: PlatformLeaseId | undefined;

    constructor(private readonly options: VmRegistrationOptions) {
        const { logger, clock } = options;
        const { registrationFailed: lostEvent, registrationRestored: recoveredEvent } = logEvents;
        this.#monitor = new DependencyMonitor({ logger, clock, lostEvent, recoveredEvent });
    }

    /** Undefined while no lease is known to be valid. */
    get lease(): PlatformLeaseId | undefined {
        return this.#lease;
    }

    /** Keeps the lease and the key until `signal` fires, then revokes the lease. */
    async run(signal: AbortSignal): Promise<void> {
        const { store, clock, leaseLength } = this.options;
        while (!signal.aborted) {
            let isRenewed = false;
            const renewed = this.#maintain().then(
                () => {
                    isRenewed = true;
                    this.#monitor.recordSuccess();
                },
                cause => this.#monitor.recordFailure(cause),
            );
            await settledOrAborted(renewed, signal);
            await clock.sleep(isRenewed ? leaseLength / renewalsPerLease : retryDelay, signal);
        }
        if (this.#lease !== undefined) {
            const revoked = store.revokeLease(this.#lease).catch((cause: unknown) =>
                this.#monitor.recordFailure(cause)
            );
            await Promise.race([revoked, clock.sleep(revokeTimeout)]);
        }
    }

    /** Has the next renewal grant a new lease and write the key again: the key is gone although the lease may still be valid. */
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
            // The key was written by an earlier process of this VM, or by a call whose answer was lost.
            await this.#put(lease, outcome.current.version);
        }
    }
}
