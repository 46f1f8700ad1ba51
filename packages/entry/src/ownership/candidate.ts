/** Campaigns for the cell, and serves as its owner while this VM has it. */
import type { CellConfiguration, UpkeepWave, WorkerDirectory } from "@pebbledale/cell";
import {
    absentVersion,
    JournalFencedError,
    type KeyVersion,
    logEvents,
    type Milliseconds,
    openJournal,
    type PlatformStore,
    processId,
    type Random,
    shardId,
    type SuspensionAwareClock,
} from "@pebbledale/core";
import { createAbortController, type EventLogger, unlessAborted } from "@pebbledale/runtime";
import type { FollowLimits } from "../following/index.js";
import { type CellView, type EntryVm } from "../membership/index.js";
import type { EntryMetrics } from "../observation/index.js";
import {
    commitInterval,
    journalMaxInFlight,
    journalMaxValueBytes,
    journalResendDelay,
    journalRetryDelay,
    journalRingSize,
    journalSnapshotInterval,
} from "../owner/constants.js";
import { HandOverOutcome, OwnerSession, type OwnerUpkeep } from "../owner/index.js";
import { VmDialer } from "../peers/index.js";
import {
    type CampaignInput,
    claimDelay,
    isCellForming,
    isOwnershipStable,
    ownerSilentReason,
    reasonToClaim,
} from "./campaign.js";
import {
    agreedSilenceThreshold,
    campaignInterval,
    claimRetryDelay,
    firstMessagesDelay,
    handOverTimeout,
    isolationTimeout,
    reachTimeout,
    stableCampaignInterval,
    suspicionCooldown,
} from "./constants.js";
import { ClaimAbandonedError } from "./errors.js";
import { OwnerKey } from "./owner-key.js";

/** What a candidate needs. */
export interface CandidateOptions {
    readonly store: PlatformStore;
    readonly directory: WorkerDirectory;
    readonly clock: SuspensionAwareClock;
    readonly random: Random;
    readonly logger: EventLogger;
    readonly metrics: EntryMetrics;
    readonly self: EntryVm;
    readonly view: CellView;
    /** How long the owner's key outlives its last renewal. */
    readonly leaseLength: Milliseconds;
    /** How long the workers' entries may go unheard. */
    readonly followLimits: FollowLimits;
    readonly configuration: () => CellConfiguration | undefined;
    readonly onConfiguration: (configuration: CellConfiguration) => void;
    readonly formerLeaseLength: Milliseconds;
    /** Waves of upkeep that are known. */
    readonly waves: () => readonly UpkeepWave[];
    readonly upkeep: OwnerUpkeep | undefined;
    /** What is known of the present owner. */
    readonly ownerStatus: () => Pick<CampaignInput, "ownerSilence" | "heardSilence" | "deadOwner" | "isAsked">;
    /** Connects this VM itself to its own work as owner. */
    readonly connectSelf: (session: OwnerSession) => void;
}

/** A claim that is on its way. */
interface Claim {
    readonly dialer: VmDialer;
    readonly key: OwnerKey;
    /** Resolves once the cell is this VM's; rejects with {@link ClaimAbandonedError} when it is not to be. */
    readonly claimed: Promise<void>;
}

/** The one journal of a cell. */
const cellShard = shardId("cell");

/** See the module's comment. */
export class Candidate {
    #session: OwnerSession | undefined;
    #eligibleSince: Milliseconds | undefined;
    /** Since when this VM wants the cell and reaches too few of the others. */
    #isolatedSince: Milliseconds | undefined;
    /** Suspicions are not followed before this: the other VMs did not share the last one. */
    #suspicionsIgnoredUntil = -Infinity;

    #wakeUp = createAbortController();

    constructor(private readonly options: CandidateOptions) {}

    /** The owner's work, while this VM is the owner. */
    get session(): OwnerSession | undefined {
        return this.#session;
    }

    /** Another owner with a higher epoch speaks: what this VM still does as owner is over. */
    noteOwnerEpoch(epoch: number): void {
        if (this.#session !== undefined && epoch > this.#session.epoch) {
            this.#session.stepDown("another owner speaks");
        }
    }

    /** Campaigns and serves until `stop` fires. */
    async run(stop: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!stop.aborted) {
            const input = this.#input();
            const reason = reasonToClaim(input);
            if (reason === undefined || !this.#hasWaited(input) || isCellForming(input)) {
                this.#eligibleSince = reason === undefined ? undefined : this.#eligibleSince;
                await this.#waitForChange(
                    reason === undefined && isOwnershipStable(input) ? stableCampaignInterval : campaignInterval,
                    stop,
                );
                continue;
            }
            this.#eligibleSince = undefined;
            try {
                await this.#claimAndServe(reason, stop);
            }
            catch (cause) {
                await clock.sleep(this.#retryDelayAfter(cause), stop);
            }
        }
    }

    /** What may lead to a claim has changed. */
    wake(): void {
        this.#wakeUp.abort();
    }

    /** Waits until something changes, or for `duration`. */
    async #waitForChange(duration: Milliseconds, stop: AbortSignal): Promise<void> {
        this.#wakeUp = createAbortController();
        const end = () => this.wake();
        stop.addEventListener("abort", end, { once: true });
        await this.options.clock.sleep(stop.aborted ? 0 : duration, this.#wakeUp.signal);
        stop.removeEventListener("abort", end);
    }

    /** How long to wait after a claim that came to nothing. */
    #retryDelayAfter(cause: unknown): Milliseconds {
        if (cause instanceof ClaimAbandonedError) {
            // Who was faster is seen by then; a claim that is tried again before that takes three calls of the store.
            return campaignInterval;
        }
        this.options.logger.log(logEvents.claimFailed, { cause: String(cause) });
        return claimRetryDelay;
    }

    #input(): CampaignInput {
        const { view, self, clock, ownerStatus: knownOwner } = this.options;
        const now = clock.monotonic();
        const known = knownOwner();
        return {
            view,
            self,
            now,
            ...known,
            heardSilence: now < this.#suspicionsIgnoredUntil ? undefined : known.heardSilence,
        };
    }

    #hasWaited(input: CampaignInput): boolean {
        const now = this.options.clock.monotonic();
        this.#eligibleSince ??= now;
        return now - this.#eligibleSince >= claimDelay(input);
    }

    async #claimAndServe(reason: string, stop: AbortSignal): Promise<void> {
        const { store, clock, view, self, leaseLength, logger } = this.options;
        const value = JSON.stringify({ name: self.name, address: self.address, process: self.process });
        const key = new OwnerKey({ store, clock, logger, value, leaseLength });
        const released = createAbortController();
        const dialer = new VmDialer(view, self, clock);
        const dialing = dialer.run(released.signal);
        let keeping: Promise<void> | undefined;
        const reached = this.#checkPreconditions(dialer, key, reason);
        const claimed = reached.then(expected => this.#claim(key, expected)).then(() => {
            logger.log(logEvents.ownershipClaimed, { reason });
            keeping = key.keepAlive(released.signal);
        });
        try {
            // Candidates that come after another one find its claim by now, and need not read the journal: in a start of 30 VMs each of them
            // read all of it (counted by their calls of the store).
            await Promise.race([reached, claimed]);
            await this.#serve({ dialer, key, claimed }, stop);
        }
        finally {
            await claimed.catch(() => undefined);
            released.abort();
            await Promise.all([dialing, keeping]);
        }
    }

    /** Reaches the other VMs; resolves to the version of the owner's key that is to be replaced, rejects when this VM is not to have it. */
    async #checkPreconditions(dialer: VmDialer, key: OwnerKey, reason: string): Promise<KeyVersion> {
        const expected = this.options.view.ownerVersion ?? absentVersion;
        key.prepare();
        if (reason === ownerSilentReason && !await this.#doOthersAgreeOnSilence(dialer)) {
            throw new ClaimAbandonedError("the other VMs hear the owner");
        }
        if (!await this.#reachesOthers(dialer)) {
            throw new ClaimAbandonedError("too few of the others are reached");
        }
        if ((this.options.view.ownerVersion ?? absentVersion) !== expected) {
            throw new ClaimAbandonedError("another VM was faster");
        }
        return expected;
    }

    /** Claims the owner's key; rejects when another VM has it. */
    async #claim(key: OwnerKey, expected: KeyVersion): Promise<void> {
        if (!await key.claim(expected)) {
            throw new ClaimAbandonedError("another VM was faster");
        }
    }

    /** Whether the other VMs do not hear the owner either. */
    async #doOthersAgreeOnSilence(dialer: VmDialer): Promise<boolean> {
        const { view, clock, logger } = this.options;
        const agrees = await dialer.untilSilenceAgreed(view.owner?.name ?? "", agreedSilenceThreshold, reachTimeout);
        logger.log(logEvents.ownerSuspected, { owner: view.owner?.name, agrees });
        if (!agrees) {
            this.#suspicionsIgnoredUntil = clock.monotonic() + suspicionCooldown;
        }
        return agrees;
    }

    /** Whether this VM reaches others, or nobody has claimed the cell for so long that it does not matter. */
    async #reachesOthers(dialer: VmDialer): Promise<boolean> {
        const { clock, logger } = this.options;
        await dialer.untilReached(reachTimeout);
        if (!dialer.isIsolated) {
            this.#isolatedSince = undefined;
            return true;
        }
        const now = clock.monotonic();
        this.#isolatedSince ??= now;
        if (now - this.#isolatedSince > isolationTimeout) {
            return true;
        }
        logger.log(logEvents.claimAbandoned, { isolatedFor: now - this.#isolatedSince });
        await clock.sleep(claimRetryDelay);
        return false;
    }

    /** Serves once the cell is claimed; the journal is read meanwhile and sealed only then. */
    async #serve({ dialer, key, claimed }: Claim, stop: AbortSignal): Promise<void> {
        const { store, clock, random, logger, self, directory } = this.options;
        const lost = createAbortController();
        const onStop = () => void this.#handOver(lost, "the process stops", stop);
        stop.addEventListener("abort", onStop);
        claimed.catch((cause: unknown) => lost.abort(cause));
        if (stop.aborted) {
            lost.abort(new ClaimAbandonedError("the process stops"));
        }
        try {
            const opened = openJournal({
                store,
                clock,
                random,
                shard: cellShard,
                writer: processId(self.process),
                signal: lost.signal,
                options: {
                    ringSize: journalRingSize,
                    snapshotEvery: journalSnapshotInterval,
                    commitInterval,
                    retryDelay: journalRetryDelay,
                    repeatAfter: journalResendDelay,
                    maxInFlight: journalMaxInFlight,
                    maxValueBytes: journalMaxValueBytes,
                },
            }, claimed);
            // A silent store would keep a process that stops for as long as its calls take.
            await unlessAborted(opened, lost.signal);
            lost.signal.throwIfAborted();
            const { journal, contents } = await opened;
            logger.log(logEvents.ownershipBegun, { epoch: journal.epoch, records: contents.records.length });
            const session = new OwnerSession({
                journal,
                contents,
                directory,
                followLimits: this.options.followLimits,
                clock,
                logger,
                metrics: this.options.metrics,
                name: self.name,
                configuration: this.options.configuration(),
                formerLeaseLength: this.options.formerLeaseLength,
                lost,
                confirmedAt: () => Math.max(journal.lastContact, key.confirmedAt),
                keyConfirmedAt: () => key.confirmedAt,
                confirm: () => key.confirm(lost.signal),
                ownerLease: this.options.leaseLength,
                onSilentVm: name => dialer.noteSilence(name),
                isIsolated: () => dialer.hasBecomeIsolated,
                onConfiguration: this.options.onConfiguration,
                upkeep: this.options.upkeep,
                onLargerVm: () => void this.#handOver(lost, "a much larger VM is connected", stop),
            });
            session.addWaves(this.options.waves());
            dialer.attach(session);
            await clock.sleep(firstMessagesDelay, lost.signal);
            this.#session = session;
            this.options.connectSelf(session);
            await session.run();
        }
        finally {
            const hadCell = this.#session !== undefined;
            this.#session = undefined;
            const cause: unknown = lost.signal.reason;
            lost.abort();
            stop.removeEventListener("abort", onStop);
            if (hadCell) {
                logger.log(logEvents.ownershipEnded, {
                    cause: cause instanceof JournalFencedError ? cause.message : String(cause),
                });
            }
        }
    }

    /** Gives the cell to another VM, and goes on until that VM has it or the wait is over. */
    async #handOver(lost: AbortController, reason: string, stop: AbortSignal): Promise<void> {
        const { clock, logger } = this.options;
        const outcome = await this.#session?.handOver() ?? HandOverOutcome.NoSuccessor;
        logger.log(logEvents.ownershipOffered, { outcome, reason });
        if (outcome === HandOverOutcome.StoreSilent && !stop.aborted) {
            return;
        }
        await clock.sleep(outcome === HandOverOutcome.Offered ? handOverTimeout : 0, lost.signal);
        lost.abort(new Error(reason));
    }
}
