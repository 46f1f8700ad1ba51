/** The owner's view of one entry VM: its connection and the workers whose links it has. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import type { EntryVm } from "../membership/index.js";
import type { Channel, OwnerMessage, VmMessage } from "../protocol/index.js";

/** See the module's comment. */
export class VmLink {
    readonly workers = new Set<WorkerId>();
    heardAt: Milliseconds;

    constructor(
        readonly vm: EntryVm,
        readonly channel: Channel<OwnerMessage, VmMessage>,
        now: Milliseconds,
    ) {
        this.heardAt = now;
    }

    /** Links for each share of a core, were one more added: VMs with less take fewer. */
    get load(): number {
        return (this.workers.size + 1) / this.vm.processorShare;
    }
}
