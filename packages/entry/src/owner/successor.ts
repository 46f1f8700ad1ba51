/** Selection of the VM to which the cell is handed over. */
import type { EntryVm } from "../membership/index.js";
import { handOverSizeRatio } from "./constants.js";
import type { VmLink } from "./vm-link.js";

/** Names of the VMs that should own the cell because they are near the store; undefined where that makes no difference. */
export type PreferredOwners = ReadonlySet<string> | undefined;

/**
 * Returns the most suitable of the connected VMs that are not stopping, without the owner's own; undefined when there is none. Preferred VMs
 * come before all others.
 */
export const chooseSuccessor = (
    links: Iterable<VmLink>,
    owner: string,
    preferred: PreferredOwners,
): VmLink | undefined => {
    const candidates = [...links].filter(link => link.vm.name !== owner && !link.isLeaving);
    const near = candidates.filter(link => preferred?.has(link.vm.name));
    return (near.length > 0 ? near : candidates).reduce<VmLink | undefined>(
        (best, link) => best === undefined || isBetterSuccessor(link, best) ? link : best,
        undefined,
    );
};

/** Prefers larger VMs, then the most recently started: in a rolling restart it has already been restarted. */
const isBetterSuccessor = ({ vm: left }: VmLink, { vm: right }: VmLink): boolean =>
    left.processorShare !== right.processorShare
        ? left.processorShare > right.processorShare
        : left.startedAt > right.startedAt;

/** Whether a VM would own the cell so much better that it is handed over: it is near the store and the owner is not, or it is much larger. */
export const isMuchBetterOwner = (candidate: EntryVm, owner: EntryVm, preferred: PreferredOwners): boolean => {
    const isPreferred = preferred?.has(candidate.name);
    return isPreferred === preferred?.has(owner.name)
        ? candidate.processorShare >= owner.processorShare * handOverSizeRatio
        : isPreferred === true;
};
