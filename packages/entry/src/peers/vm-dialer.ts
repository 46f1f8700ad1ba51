/**
 * Keeps an owner connected to all entry VMs that the store shows, or showed lately.
 *
 * It begins to dial as soon as the cell is claimed: opening the connections takes about as long as reading the journal.
 */
import type { Clock, Milliseconds } from "@pebbledale/core";
import type { CellView, EntryVm } from "../membership/index.js";
import { dialDelay, dialLimit, rememberVm } from "../owner/constants.js";
import type { Channel, OwnerMessage, VmMessage } from "../protocol/index.js";
import { dialVm } from "./server.js";

/** Takes the connections into use. */
export interface VmConnections {
    /** Whether a VM is connected. */
    isConnected(name: string): boolean;
    /** Takes a connection to a VM into use. */
    connect(vm: EntryVm, channel: Channel<OwnerMessage, VmMessage>): void;
}

interface KnownVm {
    vm: EntryVm;
    seenAt: Milliseconds;
    triedAt: Milliseconds;
}

/** Time between two looks at which VMs are to be dialled, in milliseconds. */
const lookInterval: Milliseconds = 50;

/** See the module's comment. */
export class VmDialer {
    readonly #known = new Map<string, KnownVm>();
    /** Connections that opened before there was anyone to use them. */
    readonly #open = new Map<string, { readonly vm: EntryVm; readonly channel: Channel<OwnerMessage, VmMessage>; }>();
    #connections: VmConnections | undefined;

    constructor(
        private readonly view: CellView,
        private readonly self: EntryVm,
        private readonly clock: Clock,
    ) {}

    /** Hands the connections that are open, and those that will be, to the owner's work. */
    use(connections: VmConnections): void {
        this.#connections = connections;
        this.#open.forEach(({ vm, channel }) => connections.connect(vm, channel));
        this.#open.clear();
    }

    /** Dials until `signal` fires. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.#dialDue(signal);
            await this.clock.sleep(lookInterval, signal);
        }
        this.#open.forEach(({ channel }) => channel.close());
    }

    #dialDue(signal: AbortSignal): void {
        const now = this.clock.monotonic();
        for (const vm of this.view.vms.values()) {
            const triedAt = this.#known.get(vm.name)?.triedAt ?? -Infinity;
            this.#known.set(vm.name, { vm, seenAt: now, triedAt });
        }
        for (const [name, known] of this.#known) {
            if (now - known.seenAt > rememberVm) {
                this.#known.delete(name);
            }
            else if (this.#isDue(known, now)) {
                known.triedAt = now;
                void this.#dial(known.vm, signal);
            }
        }
    }

    #isDue({ vm, triedAt }: KnownVm, now: Milliseconds): boolean {
        return vm.name !== this.self.name && now - triedAt >= dialDelay && !this.#isConnected(vm.name);
    }

    #isConnected(name: string): boolean {
        return this.#open.get(name)?.channel.isOpen === true || this.#connections?.isConnected(name) === true;
    }

    async #dial(vm: EntryVm, signal: AbortSignal): Promise<void> {
        const channel = await dialVm(vm.address, dialLimit);
        if (channel === undefined) {
            return;
        }
        if (signal.aborted || this.#isConnected(vm.name)) {
            channel.close();
        }
        else if (this.#connections === undefined) {
            this.#open.set(vm.name, { vm, channel });
        }
        else {
            this.#connections.connect(vm, channel);
        }
    }
}
