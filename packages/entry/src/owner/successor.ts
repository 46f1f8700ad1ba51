/** Chooses the VM that the cell is handed to. */
import type { VmLink } from "./vm-link.js";

/** The VM to ask, of those that are connected and stay, besides the owner's own; undefined when there is none. */
export const chooseSuccessor = (links: Iterable<VmLink>, owner: string): VmLink | undefined => {
    const candidates = [...links].filter(link => link.vm.name !== owner && !link.isLeaving);
    return candidates.reduce<VmLink | undefined>(
        (best, link) => best === undefined || isBetterSuccessor(link, best) ? link : best,
        undefined,
    );
};

/** The larger VM; among equals the one that started last, as that has had its stop where VMs are stopped in turn. */
const isBetterSuccessor = ({ vm: left }: VmLink, { vm: right }: VmLink): boolean =>
    left.processorShare !== right.processorShare
        ? left.processorShare > right.processorShare
        : left.startedAt > right.startedAt;
