/** Claiming, serving and releasing one shard. */
import {
    absentVersion,
    JournalDamagedError,
    JournalFencedError,
    logEvents,
    openJournal,
    type PlatformLeaseId,
    PlatformUnavailableError,
} from "@pebbledale/core";
import { createAbortController, ownerKeyOf, type OwnerValue } from "@pebbledale/runtime";
import {
    claimDelayPerShard,
    claimRetryDelay,
    journalRetryDelay,
    journalRingSize,
    maxJournalValueBytes,
    maxOwnerWatch,
    renewalsPerLease,
    segmentsPerSnapshot,
} from "./constants.js";
import { OwnedShard } from "./owned-shard.js";
import type { ShardCandidateOptions } from "./types.js";

/**
 * A scheduler's candidacy for one shard.
 *
 * Waits until the shard has no owner, claims it with a key in the platform's store that is bound to a lease, and serves
 * it until it is lost to another owner or handed over at shutdown. Two processes may both believe that they own the
 * shard for a while; the epoch of the journal decides which of them can commit.
 */
export class ShardCandidate {
    #owned: OwnedShard | undefined;

    constructor(readonly options: ShardCandidateOptions) {}

    /** Undefined while this process does not own the shard. */
    get owned(): OwnedShard | undefined {
        return this.#owned;
    }

    /** Claims and serves the shard until the signal fires, then hands it over. Failures are logged and retried. */
    async run(stop: AbortSignal): Promise<void> {
        const { clock, logger, shard, random, countOwned } = this.options;
        while (!stop.aborted) {
            try {
                await clock.sleep(claimDelayPerShard * (countOwned() + random.next()), stop);
                const lease = await this.#claimKey(stop);
                if (lease !== undefined) {
                    await this.#serve(lease, stop);
                }
            }
            catch (cause) {
                if (cause instanceof JournalDamagedError) {
                    logger.log(logEvents.journalDamaged, { shard, cause: cause.message });
                }
                else if (!stop.aborted) {
                    logger.log(logEvents.claimFailed, { shard, cause: String(cause) });
                }
                await clock.sleep(claimRetryDelay, stop);
            }
        }
    }

    /**
     * Resolves to the lease if this process wrote the owner key; if another holds the key, waits for it to change
     * first.
     */
    async #claimKey(stop: AbortSignal): Promise<PlatformLeaseId | undefined> {
        const { store, shard, owner, values, random } = this.options;
        const key = ownerKeyOf(shard);
        const { cursor } = await store.watch(key, "", 0, stop);
        const current = await store.get(key);
        if (current !== undefined) {
            await store.watch(key, cursor, maxOwnerWatch, stop);
            return undefined;
        }
        const lease = await store.grantLease(values["owner.lease"]);
        const value: OwnerValue = { process: owner, address: values["listen.peers"], nonce: random.name() };
        let isClaimed = false;
        try {
            isClaimed = await this.#writeOwner(key, value, lease);
        }
        finally {
            if (!isClaimed) {
                await store.revokeLease(lease).catch(() => undefined);
            }
        }
        return isClaimed ? lease : undefined;
    }

    /**
     * Creates the owner key. If the answer was lost, the nonce in the stored value tells whether this write succeeded.
     */
    async #writeOwner(key: string, value: OwnerValue, lease: PlatformLeaseId): Promise<boolean> {
        const { store } = this.options;
        try {
            const outcome = await store.compareAndSwap(key, absentVersion, JSON.stringify(value), lease);
            return outcome.kind === "swapped";
        }
        catch (cause) {
            if (!(cause instanceof PlatformUnavailableError)) {
                throw cause;
            }
            const entry = await store.get(key);
            return entry !== undefined && (JSON.parse(entry.value) as OwnerValue).nonce === value.nonce;
        }
    }

    async #serve(lease: PlatformLeaseId, stop: AbortSignal): Promise<void> {
        const { store, clock, random, logger, shard, owner, values } = this.options;
        const lost = createAbortController();
        const lastRenewal = { at: clock.monotonic() };
        const renewing = this.#renewLease(lease, lost, lastRenewal);
        try {
            const { journal, contents, unreadableKeys } = await openJournal({
                store,
                clock,
                random,
                shard,
                writer: owner,
                signal: lost.signal,
                options: {
                    ringSize: journalRingSize,
                    snapshotEvery: segmentsPerSnapshot,
                    commitInterval: values["owner.commit_interval"],
                    retryDelay: journalRetryDelay,
                    repeatAfter: undefined,
                    maxInFlight: 1,
                    maxValueBytes: maxJournalValueBytes,
                },
            });
            logger.log(logEvents.shardClaimed, { shard, epoch: journal.epoch, records: contents.records.length });
            if (unreadableKeys.length > 0) {
                logger.log(logEvents.journalKeysUnreadable, { shard, keys: unreadableKeys });
            }
            const owned = new OwnedShard({ ...this.options, journal, contents, lastRenewal, lost });
            this.#owned = owned;
            await owned.run(stop);
        }
        catch (cause) {
            if (!(cause instanceof JournalFencedError)) {
                throw cause;
            }
            logger.log(logEvents.shardFenced, { shard, cause: cause.message });
        }
        finally {
            this.#owned = undefined;
            lost.abort();
            await renewing;
            // Revoking the lease lets the next owner claim the shard without waiting for the lease to expire.
            await store.revokeLease(lease).catch(() => undefined);
            logger.log(logEvents.shardReleased, { shard });
        }
    }

    /** Renews the lease until the shard is lost; aborts `lost` when the platform reports that the lease has expired. */
    async #renewLease(lease: PlatformLeaseId, lost: AbortController, lastRenewal: { at: number; }): Promise<void> {
        const { store, clock, values } = this.options;
        while (!lost.signal.aborted) {
            await clock.sleep(values["owner.lease"] / renewalsPerLease, lost.signal);
            if (lost.signal.aborted) {
                return;
            }
            const sentAt = clock.monotonic();
            try {
                if (!await store.renewLease(lease)) {
                    lost.abort(new JournalFencedError("the lease on the shard has expired"));
                    return;
                }
                lastRenewal.at = sentAt;
            }
            catch {
                // A failed renewal does not end ownership: the epoch of the journal fences off former owners, and
                // leases to workers are granted only for a limited time after the last successful renewal.
            }
        }
    }
}
