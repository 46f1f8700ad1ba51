/** The owner's view of one entry VM: its connection and the workers whose links it has. */
import { type Milliseconds, PlatformUnavailableError, type WorkerId } from "@pebbledale/core";
import type { EntryVm } from "../membership/index.js";
import type { Channel, OwnerMessage, VmMessage } from "../protocol/index.js";
import type { StoreOperation } from "../store-relay/index.js";

/** Added to a watch's wait before a call through a VM has failed, and the limit of other calls. */
const storeCallLimit: Milliseconds = 1_000;

interface StoreCall {
    readonly resolve: (answer: unknown) => void;
    readonly reject: (cause: Error) => void;
    readonly timer: NodeJS.Timeout;
}

/** See the module's comment. */
export class VmLink {
    readonly workers = new Set<WorkerId>();
    heardAt: Milliseconds;
    /** Whether it is about to stop: it gets no links and no questions. */
    isLeaving = false;
    /** Whether its last call of the store for the owner had no answer. */
    isStoreDoubtful = false;
    readonly #calls = new Map<number, StoreCall>();
    #nextCall = 1;

    constructor(
        readonly vm: EntryVm,
        readonly channel: Channel<OwnerMessage, VmMessage>,
        /** When it was connected, by the owner's monotonic clock. */
        readonly connectedAt: Milliseconds,
    ) {
        this.heardAt = connectedAt;
    }

    /** Links for each share of a core, were one more added: VMs with less take fewer. */
    get load(): number {
        return (this.workers.size + 1) / this.vm.processorShare;
    }

    /** Has the VM make a call of the store. */
    callStore(operation: StoreOperation): Promise<unknown> {
        const call = this.#nextCall++;
        const limit = storeCallLimit + (operation.kind === "changes" ? operation.duration : 0);
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => this.takeStoreAnswer(call, false, undefined), limit);
            this.#calls.set(call, { resolve, reject, timer });
            this.channel.send({ kind: "store-call", call, operation });
        });
    }

    /** Takes the answer to a call of the store. */
    takeStoreAnswer(number: number, isAnswered: boolean, answer: unknown, cause = "no answer"): void {
        const call = this.#calls.get(number);
        if (call === undefined) {
            return;
        }
        this.#calls.delete(number);
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
    dropCalls(): void {
        [...this.#calls.keys()].forEach(call => this.takeStoreAnswer(call, false, undefined));
    }
}
