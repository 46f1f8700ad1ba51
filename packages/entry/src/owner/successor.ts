/** Selection of the VM to which the cell is handed over. */
import type { VmLink } from "./vm-link.js";

/** Returns the most suitable of the connected VMs that are not stopping, without the owner's own; undefined when there is none. */
export const chooseSuccessor = (links: Iterable<VmLink>, owner: string): VmLink | undefined => {
    const candidates = [...links].filter(link => link.vm.name !== owner && !link.isLeaving);
    return candidates.reduce<VmLink | undefined>(
        (best, link) => best === undefined || isBetterSuccessor(link, best) ? link : best,
        undefined,
    );
};

/** Prefers larger VMs, then the most recently started: in a rolling restart it has already been restarted. */
const isBetterSuccessor = ({ vm: left }: VmLink, { vm: right }: VmLink): boolean =>
    left.processorShare !== right.processorShare
        ? left.processorShare > right.processorShare
        : left.startedAt > right.startedAt;
