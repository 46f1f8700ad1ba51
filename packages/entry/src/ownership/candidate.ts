/** Campaign of a VM for the ownership of the cell. */
import type { CellConfiguration, HallClosures, UpkeepWave, WorkerDirectory } from "@pebbledale/cell";
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
import { createAbortController, type EventLogger, settledOrAborted } from "@pebbledale/runtime";
import type { OperatorsCopy } from "../configuration/index.js";
import type { FollowLimits } from "../following/index.js";
import type { CellView, EntryVm, OwnerPlacement } from "../membership/index.js";
import type { EntryMetrics, TrafficAccount } from "../observability/index.js";
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
import type { RegionMap } from "../settings/index.js";
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

/** Dependencies and callbacks of a candidate. */
export interface CandidateOptions {
    readonly store: PlatformStore;
    readonly directory: WorkerDirectory;
    readonly clock: SuspensionAwareClock;
    readonly random: Random;
    readonly logger: EventLogger;
    readonly metrics: EntryMetrics;
    /** Undefined where traffic is not accounted for. */
    readonly traffic: TrafficAccount | undefined;
    readonly self: EntryVm;
    readonly view: CellView;
    readonly placement: OwnerPlacement;
    /** Region of each data hall. */
    readonly regions: RegionMap;
    /** Lifetime of the owner's key after its last renewal. */
    readonly leaseLength: Milliseconds;
    /** Limits on the age of the workers' entries. */
    readonly followLimits: FollowLimits;
    readonly configuration: () => CellConfiguration | undefined;
    readonly onConfiguration: (configuration: CellConfiguration) => void;
    /** Number of data halls that the cell may lose at once. */
    readonly toleratedHallLosses: number;
    readonly closures: () => HallClosures;
    /** What this VM has read of the operators' keys, for a VM whose copy is complete up to `since`; undefined before its first reading. */
    readonly operatorsCopy: (since: string | undefined) => OperatorsCopy | undefined;
    /** Called with another VM's closed data halls; returns this VM's if they are newer and differ. */
    readonly onClosures: (closures: HallClosures) => HallClosures | undefined;
    readonly formerLeaseLength: Milliseconds;
    /** The known waves of upkeep. */
    readonly waves: () => readonly UpkeepWave[];
    readonly upkeep: OwnerUpkeep | undefined;
    /** What is known about the current owner. */
    readonly ownerStatus: () => Pick<
        CampaignInput,
        "ownerSilence" | "lastOwnerSilence" | "terminatedOwner" | "isTakeoverRequested"
    >;
    /** Connects this VM to its own session as owner. */
    readonly connectSelf: (session: OwnerSession) => void;
}

/** A claim in progress. */
interface Claim {
    readonly dialer: VmDialer;
    readonly key: OwnerKey;
    /** Resolves once this VM owns the cell; rejects with {@link ClaimAbandonedError} when the claim is abandoned. */
    readonly claimed: Promise<void>;
}

/** The only shard of a cell's journal. */
const cellShard = shardId("cell");

/**
 * Claims the cell when there is a reason to, and runs the owner's session while this VM owns it. The other VMs are
 * dialled and the journal is read while the claim is in progress.
 */
export class Candidate {
    #session: OwnerSession | undefined;
    #eligibleSince: Milliseconds | undefined;
    /** When this VM, wanting to claim the cell, first reached too few of the other VMs; undefined while it reaches enough. */
    #isolatedSince: Milliseconds | undefined;
    /** Suspicions of the owner are ignored until then, as the other VMs did not share the last one. */
    #suspicionsIgnoredUntil = -Infinity;

    #wakeUp = createAbortController();

    constructor(private readonly options: CandidateOptions) {}

    /** The owner's session; undefined while this VM does not own the cell. */
    get session(): OwnerSession | undefined {
        return this.#session;
    }

    /** Ends this VM's session if an owner with a higher epoch has appeared. */
    noteOwnerEpoch(epoch: number): void {
        if (this.#session !== undefined && epoch > this.#session.epoch) {
            this.#session.stepDown("another owner has appeared");
        }
    }

    /** Campaigns and serves until `stop` fires. */
    async run(stop: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!stop.aborted) {
            const input = this.#campaignInput();
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

    /** Re-evaluates the reasons to claim, as something they depend on has changed. */
    wake(): void {
        this.#wakeUp.abort();
    }

    /** Waits for `duration`, or until woken. */
    async #waitForChange(duration: Milliseconds, stop: AbortSignal): Promise<void> {
        this.#wakeUp = createAbortController();
        const end = () => this.wake();
        stop.addEventListener("abort", end, { once: true });
        await this.options.clock.sleep(stop.aborted ? 0 : duration, this.#wakeUp.signal);
        stop.removeEventListener("abort", end);
    }

    #retryDelayAfter(cause: unknown): Milliseconds {
        if (cause instanceof ClaimAbandonedError) {
            // By then the faster VM's claim is visible; an earlier attempt would cost three store calls without effect.
            return campaignInterval;
        }
        this.options.logger.log(logEvents.claimFailed, { cause: String(cause) });
        return claimRetryDelay;
    }

    #campaignInput(): CampaignInput {
        const { view, self, clock, ownerStatus } = this.options;
        const now = clock.monotonic();
        const status = ownerStatus();
        return {
            view,
            self,
            now,
            ...status,
            preferred: this.#preferred,
            lastOwnerSilence: now < this.#suspicionsIgnoredUntil ? undefined : status.lastOwnerSilence,
        };
    }

    get #preferred(): ReadonlySet<string> | undefined {
        return this.options.placement.preferredOf(this.options.view.vms.values());
    }

    #hasWaited(input: CampaignInput): boolean {
        const now = this.options.clock.monotonic();
        this.#eligibleSince ??= now;
        return now - this.#eligibleSince >= claimDelay(input);
    }

    async #claimAndServe(reason: string, stop: AbortSignal): Promise<void> {
        const { store, clock, view, self, leaseLength, logger, traffic } = this.options;
        const value = JSON.stringify({ name: self.name, address: self.address, process: self.process });
        const key = new OwnerKey({ store, clock, logger, value, leaseLength });
        const released = createAbortController();
        const dialer = new VmDialer(view, self, clock, traffic);
        const dialing = dialer.run(released.signal);
        let keepingAlive: Promise<void> | undefined;
        const reached = this.#checkPreconditions(dialer, key, reason);
        const claimed = reached.then(expected => this.#claim(key, expected)).then(() => {
            logger.log(logEvents.ownershipClaimed, { reason });
            keepingAlive = key.keepAlive(released.signal);
        });
        try {
            // Later candidates detect the first one's claim here and need not read the journal, which saves most of the
            // reads when all VMs start at once.
            await Promise.race([reached, claimed]);
            await this.#serve({ dialer, key, claimed }, stop);
        }
        finally {
            await claimed.catch(() => undefined);
            released.abort();
            await Promise.all([dialing, keepingAlive]);
        }
    }

    /**
     * Checks the preconditions of a claim while the VMs are dialled; resolves to the version of the owner's key to be
     * replaced, rejects when the claim must be abandoned.
     */
    async #checkPreconditions(dialer: VmDialer, key: OwnerKey, reason: string): Promise<KeyVersion> {
        const expected = this.options.view.ownerVersion ?? absentVersion;
        key.prepare();
        if (reason === ownerSilentReason && !await this.#doOthersAgreeOnSilence(dialer)) {
            throw new ClaimAbandonedError("the other VMs hear the owner");
        }
        if (!await this.#reachesOthers(dialer)) {
            throw new ClaimAbandonedError("too few of the other VMs are reachable");
        }
        if ((this.options.view.ownerVersion ?? absentVersion) !== expected) {
            throw new ClaimAbandonedError("another VM has claimed the cell first");
        }
        return expected;
    }

    /** Claims the owner's key; rejects when another VM has claimed it first. */
    async #claim(key: OwnerKey, expected: KeyVersion): Promise<void> {
        if (!await key.claim(expected)) {
            throw new ClaimAbandonedError("another VM has claimed the cell first");
        }
    }

    /** Whether a majority of the other VMs does not hear the owner either. */
    async #doOthersAgreeOnSilence(dialer: VmDialer): Promise<boolean> {
        const { view, clock, logger } = this.options;
        const agrees = await dialer.untilSilenceAgreed(view.owner?.name ?? "", agreedSilenceThreshold, reachTimeout);
        logger.log(logEvents.ownerSuspected, { owner: view.owner?.name, agrees });
        if (!agrees) {
            this.#suspicionsIgnoredUntil = clock.monotonic() + suspicionCooldown;
        }
        return agrees;
    }

    /**
     * Whether this VM reaches enough others, or has been isolated for so long without another claim that it must claim
     * anyway.
     */
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

    /** Runs the owner's session once the cell is claimed. The journal is read during the claim and sealed after it. */
    async #serve({ dialer, key, claimed }: Claim, stop: AbortSignal): Promise<void> {
        const { store, clock, random, logger, self, directory } = this.options;
        const lost = createAbortController();
        const onStop = () => void this.#handOver(lost, "the process is stopping", stop);
        stop.addEventListener("abort", onStop);
        claimed.catch((cause: unknown) => lost.abort(cause));
        if (stop.aborted) {
            lost.abort(new ClaimAbandonedError("the process is stopping"));
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
            // A store that does not answer must not delay the end of the process until its calls time out.
            await settledOrAborted(opened, lost.signal);
            lost.signal.throwIfAborted();
            const { journal, contents, unreadableKeys } = await opened;
            logger.log(logEvents.ownershipBegun, { epoch: journal.epoch, records: contents.records.length });
            if (unreadableKeys.length > 0) {
                logger.log(logEvents.journalKeysUnreadable, { keys: unreadableKeys });
            }
            const session = new OwnerSession({
                journal,
                contents,
                directory,
                followLimits: this.options.followLimits,
                clock,
                logger,
                metrics: this.options.metrics,
                name: self.name,
                regions: this.options.regions,
                configuration: this.options.configuration,
                waves: this.options.waves,
                formerLeaseLength: this.options.formerLeaseLength,
                lost,
                confirmedAt: () => Math.max(journal.lastContact, key.confirmedAt),
                keyConfirmedAt: () => key.confirmedAt,
                confirm: () => key.confirm(lost.signal),
                ownerLeaseLength: this.options.leaseLength,
                onSilentVm: name => dialer.recordSilence(name),
                isIsolated: () => dialer.hasBecomeIsolated,
                onConfiguration: this.options.onConfiguration,
                toleratedHallLosses: this.options.toleratedHallLosses,
                closures: this.options.closures,
                operatorsCopy: this.options.operatorsCopy,
                onClosures: this.options.onClosures,
                upkeep: this.options.upkeep,
                preferred: () => this.#preferred,
                onBetterVm: () =>
                    void this.#handOver(lost, "a much larger VM, or one nearer to the store, is connected", stop),
            });
            dialer.attach(session);
            await clock.sleep(firstMessagesDelay, lost.signal);
            this.#session = session;
            this.options.connectSelf(session);
            await session.run();
        }
        finally {
            const hasOwnedCell = this.#session !== undefined;
            this.#session = undefined;
            const cause: unknown = lost.signal.reason;
            lost.abort();
            stop.removeEventListener("abort", onStop);
            if (hasOwnedCell) {
                logger.log(logEvents.ownershipEnded, {
                    cause: cause instanceof JournalFencedError ? cause.message : String(cause),
                });
            }
        }
    }

    /** Hands the cell over, and serves on until the next owner appears or the wait times out. */
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
