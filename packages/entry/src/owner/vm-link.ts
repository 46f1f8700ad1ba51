/** The owner's view of one entry VM: its connection and the workers whose links it has. */
import { type Milliseconds, PlatformUnavailableError, type WorkerId } from "@pebbledale/core";
import type { EntryVm } from "../membership/index.js";
import type { Channel, OwnerMessage, VmMessage } from "../protocol/index.js";
import type { StoreOperation } from "../store-relay/index.js";

/** Added to a watch's wait before a call through a VM has failed, and the limit of other calls. */
const storeCallTimeout: Milliseconds = 1_000;

interface PendingStoreCall {
    readonly resolve: (answer: unknown) => void;
    readonly reject: (cause: Error) => void;
    readonly timer: NodeJS.Timeout;
}

/** See the module's comment. */
export class VmLink {
    readonly workers = new Set<WorkerId>();
    lastHeardAt: Milliseconds;
    /** Whether it is about to stop: it gets no links and no questions. */
    isLeaving = false;
    /** Whether its last call of the store for the owner had no answer. */
    isStoreDoubtful = false;
    readonly #pendingCalls = new Map<number, PendingStoreCall>();
    #nextCall = 1;

    constructor(
        readonly vm: EntryVm,
        readonly channel: Channel<OwnerMessage, VmMessage>,
        /** When it was connected, by the owner's monotonic clock. */
        readonly connectedAt: Milliseconds,
    ) {
        this.lastHeardAt = connectedAt;
    }

    /** Links for each share of a core, were one more added: VMs with less take fewer. */
    get loadWithOneMore(): number {
        return (this.workers.size + 1) / this.vm.processorShare;
    }

    /** Has the VM make a call of the store. */
    callStore(operation: StoreOperation): Promise<unknown> {
        const call = this.#nextCall++;
        const limit = storeCallTimeout + (operation.kind === "changes" ? operation.duration : 0);
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => this.settleStoreCall(call, false, undefined), limit);
            this.#pendingCalls.set(call, { resolve, reject, timer });
            this.channel.send({ kind: "store-call", call, operation });
        });
    }

    /** Takes the answer to a call of the store. */
    settleStoreCall(number: number, isAnswered: boolean, answer: unknown, cause = "no answer"): void {
        const call = this.#pendingCalls.get(number);
        if (call === undefined) {
            return;
        }
        this.#pendingCalls.delete(number);
        clearTimeout(call.timer);
        this.isStoreDoubtful = !isAnswered;
        if (isAnswered) {
            call.resolve(answer);
        }
        else {
            call.reject(new PlatformUnavailableError(`through ${this.vm.name}: ${cause}`));
        }
    }

    /** The connection has ended: no call gets an answer any more. */
    failPendingCalls(): void {
        [...this.#pendingCalls.keys()].forEach(call => this.settleStoreCall(call, false, undefined));
    }
}
