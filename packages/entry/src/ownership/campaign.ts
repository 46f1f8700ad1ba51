/** Decides when this VM claims the cell: pure, from what is known at the moment. */
import type { Milliseconds } from "@pebbledale/core";
import type { CellView, EntryVm } from "../membership/index.js";
import {
    equalCandidateDelay,
    firstMessageTimeout,
    formationQuietTime,
    largerCandidateDelay,
    ownerKeyRestoreTimeout,
    ownerRecentlyHeardWindow,
    ownerSuspicionTimeout,
} from "./constants.js";

/** What is known at a moment. */
export interface CampaignInput {
    readonly view: CellView;
    readonly self: EntryVm;
    /** Now, by the monotonic clock. */
    readonly now: Milliseconds;
    /** How long ago an owner was heard; without end when none is connected. */
    readonly ownerSilence: Milliseconds;
    /** How long an owner that was heard in this life of the VM has been silent; undefined when none was. */
    readonly heardSilence: Milliseconds | undefined;
    /** Process of an owner that is known to be gone. */
    readonly deadOwner: string | undefined;
    /** Whether the owner asked this VM to take over. */
    readonly isAsked: boolean;
}

/** Why a VM may claim; undefined when it may not. */
export const reasonToClaim = (input: CampaignInput): string | undefined => {
    const { view, self, deadOwner, isAsked } = input;
    const { owner } = view;
    if (isAsked) {
        return "the owner hands over";
    }
    if (owner === undefined) {
        return reasonWithoutOwner(input);
    }
    if (owner.name === self.name) {
        return owner.process === self.process
            ? "an earlier claim of this process had no answer"
            : "an earlier life of this VM is the owner";
    }
    return owner.process === deadOwner ? "the owner's process is gone" : reasonToSuspect(input);
};

/** The reason of a claim that holds only if the other VMs do not hear the owner either. */
export const ownerSilentReason = "the owner is silent";

const reasonToSuspect = ({ view, now, heardSilence }: CampaignInput): string | undefined => {
    if (heardSilence === undefined) {
        return undefined;
    }
    // What was heard before this owner's claim was an earlier one: a new owner reads the journal before it speaks.
    const hasSpoken = now - heardSilence > view.ownerSince;
    const isSilent = hasSpoken ? heardSilence > ownerSuspicionTimeout : now - view.ownerSince > firstMessageTimeout;
    return isSilent ? ownerSilentReason : undefined;
};

const reasonWithoutOwner = ({ view, ownerSilence, now }: CampaignInput): string | undefined => {
    if (view.ownerMissingSince === undefined) {
        return undefined;
    }
    if (ownerSilence > ownerRecentlyHeardWindow) {
        return "there is no owner";
    }
    return now - view.ownerMissingSince > ownerKeyRestoreTimeout ? "the owner does not put its key back" : undefined;
};

/** Whether VMs have just begun to show up, as in a start of all: larger ones may follow. */
export const isCellForming = ({ view, now, isAsked }: CampaignInput): boolean =>
    !isAsked && now - view.lastVmAddedAt < formationQuietTime;

/** Whether a claim can only become due by something that is told: no time that passes makes it so. */
export const isOwnershipStable = ({ view, heardSilence }: CampaignInput): boolean =>
    view.owner !== undefined && heardSilence === undefined;

/** How long a VM leaves the claim to those before it: larger ones first, then by name. */
export const claimDelay = ({ view, self, isAsked }: CampaignInput): Milliseconds => {
    if (isAsked) {
        return 0;
    }
    return [...view.vms.values()]
        .filter(vm => vm.name !== view.owner?.name)
        .reduce((sum, vm) => sum + delayBehind(vm, self), 0);
};

const delayBehind = (other: EntryVm, self: EntryVm): Milliseconds => {
    if (other.processorShare !== self.processorShare) {
        return other.processorShare > self.processorShare ? largerCandidateDelay : 0;
    }
    return other.name < self.name ? equalCandidateDelay : 0;
};
