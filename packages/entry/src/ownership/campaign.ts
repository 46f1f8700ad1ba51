/** Rules by which a VM decides to claim the cell: pure functions of what it currently knows. */
import type { Milliseconds } from "@pebbledale/core";
import type { CellView, EntryVm } from "../membership/index.js";
import {
    equalCandidateDelay,
    farCandidateDelay,
    firstMessageTimeout,
    formationQuietTime,
    largerCandidateDelay,
    ownerKeyRestoreTimeout,
    ownerRecentlyHeardWindow,
    ownerSuspicionTimeout,
} from "./constants.js";

/** What a candidate knows at a point in time. */
export interface CampaignInput {
    readonly view: CellView;
    readonly self: EntryVm;
    /** Current time of the monotonic clock. */
    readonly now: Milliseconds;
    /** Time since the connected owner's last message; infinite when none is connected. */
    readonly ownerSilence: Milliseconds;
    /** Time since the last message of any owner to this process; undefined when none was heard. */
    readonly lastOwnerSilence: Milliseconds | undefined;
    /** Process of a former owner that is known to have ended. */
    readonly terminatedOwner: string | undefined;
    /** Whether the owner has asked this VM to take over. */
    readonly isTakeoverRequested: boolean;
    /** VMs that should own the cell because they are near the store; undefined where that makes no difference. */
    readonly preferred?: ReadonlySet<string> | undefined;
}

/** The reason for which the VM may claim the cell; undefined when it may not. */
export const reasonToClaim = (input: CampaignInput): string | undefined => {
    const { view, self, terminatedOwner, isTakeoverRequested } = input;
    const { owner } = view;
    if (isTakeoverRequested) {
        return "the owner hands over";
    }
    if (owner === undefined) {
        return reasonWithoutOwner(input);
    }
    if (owner.name === self.name) {
        return owner.process === self.process
            ? "an earlier claim of this process had no answer"
            : "an earlier process of this VM is the owner";
    }
    return owner.process === terminatedOwner || view.hasOwnerRestarted
        ? "the owner's process is gone"
        : reasonToSuspect(input);
};

/** Reason of a claim that is only valid if the other VMs do not hear the owner either. */
export const ownerSilentReason = "the owner is silent";

const reasonToSuspect = ({ view, now, lastOwnerSilence }: CampaignInput): string | undefined => {
    if (lastOwnerSilence === undefined) {
        return undefined;
    }
    // Messages before this owner's claim came from an earlier one: a new owner reads the journal before it sends any.
    const hasSentMessage = now - lastOwnerSilence > view.ownerSince;
    const isSilent = hasSentMessage
        ? lastOwnerSilence > ownerSuspicionTimeout
        : now - view.ownerSince > firstMessageTimeout;
    return isSilent ? ownerSilentReason : undefined;
};

const reasonWithoutOwner = ({ view, ownerSilence, now }: CampaignInput): string | undefined => {
    if (view.ownerMissingSince === undefined) {
        return undefined;
    }
    if (ownerSilence > ownerRecentlyHeardWindow) {
        return "there is no owner";
    }
    return now - view.ownerMissingSince > ownerKeyRestoreTimeout ? "the owner has not restored its key" : undefined;
};

/** Whether VMs are still joining, as after a start of the whole cell, so that larger ones may follow. */
export const isCellForming = ({ view, now, isTakeoverRequested }: CampaignInput): boolean =>
    !isTakeoverRequested && now - view.lastVmAddedAt < formationQuietTime;

/** Whether only an event, and not the passing of time, can give a reason to claim. */
export const isOwnershipStable = ({ view, lastOwnerSilence }: CampaignInput): boolean =>
    view.owner !== undefined && lastOwnerSilence === undefined;

/**
 * How long this VM waits before it claims, so that VMs near the store, then larger ones, and equal ones with a lower name, can go first.
 * For all VMs near the store together it waits a fixed time, as they may be lost together.
 */
export const claimDelay = ({ view, self, isTakeoverRequested, preferred }: CampaignInput): Milliseconds => {
    if (isTakeoverRequested) {
        return 0;
    }
    const isPreferred = preferred?.has(self.name);
    return [...view.vms.values()]
        .filter(vm => vm.name !== view.owner?.name && preferred?.has(vm.name) === isPreferred)
        .reduce((sum, vm) => sum + delayBehind(vm, self), isPreferred === false ? farCandidateDelay : 0);
};

const delayBehind = (other: EntryVm, self: EntryVm): Milliseconds => {
    if (other.processorShare !== self.processorShare) {
        return other.processorShare > self.processorShare ? largerCandidateDelay : 0;
    }
    return other.name < self.name ? equalCandidateDelay : 0;
};
