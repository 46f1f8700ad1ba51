/** Registration of this VM in the store. */
import {
    absentVersion,
    type Clock,
    type KeyValue,
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
    /** The value once the least time of a call to the store is known; omitted where it is not measured. */
    readonly measuredValue?: (storeTime: Milliseconds) => string;
    /** The lease expires this long after its last renewal. */
    readonly leaseLength: Milliseconds;
}

/** Maximum wait for the revocation of a lease when a process stops. Without an answer the lease expires by itself. */
export const revokeTimeout: Milliseconds = 400;
/** Delay before a failed call is retried: a VM whose key has expired is invisible to owners. */
const retryDelay: Milliseconds = 250;
const renewalsPerLease = 3;
/** Calls that are made before the key is first written, so that its measurement does not rest on the one that opens a connection. */
const measuringCalls = 2;
/** The key is written again when a later call takes less than this share of the published time, and at least {@link minCorrection} less. */
const correctionShare = 0.7;
const minCorrection: Milliseconds = 5;

/** Keeps this VM's key in the store while the process runs. The key is bound to a lease, so that it expires when the process ends. */
export class VmRegistration {
    readonly #monitor: DependencyMonitor;
    #lease: PlatformLeaseId | undefined;
    /** Version of the key as it was last written. */
    #version: KeyVersion = absentVersion;
    #leastTime: Milliseconds = Infinity;
    /** The time that the key holds; infinite when it holds none. */
    #publishedTime: Milliseconds = Infinity;
    #hasMeasured = false;
    /** The value that was last sent to the store, whether or not it was written. */
    #sentValue: string | undefined;

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

    async #maintain(): Promise<void> {
        const { store } = this.options;
        const held = this.#lease;
        if (held !== undefined && await this.#measure(() => store.renewLease(held))) {
            await this.#correct(held);
            return;
        }
        this.#lease = undefined;
        const lease = await this.#measure(() => store.grantLease(this.options.leaseLength));
        if (this.options.measuredValue !== undefined && !this.#hasMeasured) {
            for (let call = 0; call < measuringCalls; call++) {
                await this.#measure(() => store.renewLease(lease));
            }
            this.#hasMeasured = true;
        }
        await this.#put(lease, absentVersion);
        this.#lease = lease;
    }

    async #measure<Answer>(call: () => Promise<Answer>): Promise<Answer> {
        const { clock } = this.options;
        const sentAt = clock.monotonic();
        const answer = await call();
        this.#leastTime = Math.min(this.#leastTime, clock.monotonic() - sentAt);
        return answer;
    }

    /** Writes the key again if the time that it holds has proved much too long, unless another process has written it since. */
    async #correct(lease: PlatformLeaseId): Promise<void> {
        const limit = Math.min(this.#publishedTime * correctionShare, this.#publishedTime - minCorrection);
        if (this.options.measuredValue === undefined || this.#leastTime >= limit) {
            return;
        }
        const sentBefore = this.#sentValue;
        const current = await this.#write(lease, this.#version);
        if (current !== undefined && current.value === sentBefore) {
            // The answer to the last write was lost.
            await this.#write(lease, current.version);
        }
    }

    /** Writes the key, whoever wrote it before. */
    async #put(lease: PlatformLeaseId, expected: KeyVersion): Promise<void> {
        const current = await this.#write(lease, expected);
        if (current !== undefined) {
            // The key was written by an earlier process of this VM, or by a call whose answer was lost.
            await this.#put(lease, current.version);
        }
    }

    /** Writes the key if it has the expected version; otherwise returns what it holds, if it exists. */
    async #write(lease: PlatformLeaseId, expected: KeyVersion): Promise<KeyValue | undefined> {
        const { store, key, value, measuredValue } = this.options;
        const time = this.#leastTime;
        this.#sentValue = measuredValue?.(Math.round(time)) ?? value;
        const outcome = await store.compareAndSwap(key, expected, this.#sentValue, lease);
        if (outcome.kind === "conflict") {
            return outcome.current;
        }
        this.#version = outcome.version;
        this.#publishedTime = time;
        return undefined;
    }
}
