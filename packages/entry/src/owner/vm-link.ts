/** The owner's connection to one entry VM. */
import {
    type Clock,
    type ClockEcho,
    type Epoch,
    type Milliseconds,
    PlatformUnavailableError,
    type WorkerId,
} from "@pebbledale/core";
import type { EntryVm } from "../membership/index.js";
import type { Channel, OwnerMessage, VmMessage } from "../protocol/index.js";
import type { StoreOperation } from "../store-relay/index.js";

/** Timeout of store calls through a VM, in milliseconds; for a watch it is added to the duration of the watch. */
const storeCallTimeout: Milliseconds = 1_000;
/**
 * How long a failed store call counts against a VM, in milliseconds. While the store answers nobody, calls fail through all VMs,
 * which says nothing about their connections to the store once it is back.
 */
const storeCallFailureMemory: Milliseconds = 2_000;

interface PendingStoreCall {
    readonly resolve: (answer: unknown) => void;
    readonly reject: (cause: Error) => void;
    readonly timer: NodeJS.Timeout;
}

/**
 * The owner's state for one entry VM: its connection, the workers whose links it holds, and store calls in progress
 * through it.
 */
export class VmLink {
    readonly workers = new Set<WorkerId>();
    /** Connection time on the owner's monotonic clock. */
    readonly connectedAt: Milliseconds;
    lastHeardAt: Milliseconds;
    /** Whether the VM is about to stop and must not get links or questions. */
    isLeaving = false;
    /** When the last store call through this VM failed; undefined after a successful one. */
    #storeCallFailedAt: Milliseconds | undefined;
    readonly #pendingCalls = new Map<number, PendingStoreCall>();
    #nextCall = 1;
    /** The VM's last heartbeat that was not echoed yet. */
    #echo: ClockEcho | undefined;
    #hasEchoed = false;

    constructor(
        readonly vm: EntryVm,
        readonly channel: Channel<OwnerMessage, VmMessage>,
        private readonly clock: Pick<Clock, "monotonic">,
    ) {
        this.connectedAt = clock.monotonic();
        this.lastHeardAt = this.connectedAt;
    }

    /** Sends the first message on the connection. */
    welcome(epoch: Epoch, owner: string): void {
        this.channel.send({ kind: "welcome", epoch, owner, sentAt: this.#sendTime });
    }

    /** Sends a heartbeat, with an echo of the VM's last one. */
    sendHeartbeat(mayLease: boolean): void {
        const echo = this.#echo;
        this.#echo = undefined;
        this.#hasEchoed ||= echo !== undefined;
        this.channel.send({ kind: "beat", mayLease, sentAt: this.#sendTime, ...(echo === undefined ? {} : { echo }) });
    }

    /** Handles a heartbeat that the VM sent at `sentAt` by its clock. The first one is answered at once, as the VM waits to date messages. */
    handleHeartbeat(sentAt: Milliseconds | undefined, mayLease: () => boolean): void {
        if (sentAt === undefined) {
            return;
        }
        // Rounded up, so that the VM dates messages too early rather than too late.
        this.#echo = { sentAt, receivedAt: Math.ceil(this.clock.monotonic()) };
        if (!this.#hasEchoed) {
            this.sendHeartbeat(mayLease());
        }
    }

    /** Rounded down, so that the VM takes messages for too old rather than too recent. */
    get #sendTime(): Milliseconds {
        return Math.floor(this.clock.monotonic());
    }

    /** Whether the last store call through this VM failed, and not long ago. */
    get hasFailedStoreCall(): boolean {
        const failedAt = this.#storeCallFailedAt;
        return failedAt !== undefined && this.clock.monotonic() - failedAt < storeCallFailureMemory;
    }

    /** Number of links per core, counting one more than the VM has. */
    get loadWithOneMore(): number {
        return (this.workers.size + 1) / this.vm.processorShare;
    }

    /**
     * Calls the store through the VM; rejects with {@link PlatformUnavailableError} when the call fails or times out.
     */
    callStore(operation: StoreOperation): Promise<unknown> {
        const call = this.#nextCall++;
        const timeout = storeCallTimeout + (operation.kind === "changes" ? operation.duration : 0);
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => this.settleStoreCall(call, false, undefined), timeout);
            this.#pendingCalls.set(call, { resolve, reject, timer });
            this.channel.send({ kind: "store-call", call, operation });
        });
    }

    /** Settles a store call with its answer or failure; ignores calls that have already been settled. */
    settleStoreCall(id: number, isAnswered: boolean, answer: unknown, cause = "no answer"): void {
        const call = this.#pendingCalls.get(id);
        if (call === undefined) {
            return;
        }
        this.#pendingCalls.delete(id);
        clearTimeout(call.timer);
        this.#storeCallFailedAt = isAnswered ? undefined : this.clock.monotonic();
        if (isAnswered) {
            call.resolve(answer);
        }
        else {
            call.reject(new PlatformUnavailableError(`store call through VM ${this.vm.name} failed: ${cause}`));
        }
    }

    /** Rejects all store calls in progress because the connection has ended. */
    failPendingCalls(): void {
        [...this.#pendingCalls.keys()].forEach(call => this.settleStoreCall(call, false, undefined));
    }
}
