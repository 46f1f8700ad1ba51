/**
 * Keeps an owner connected to all entry VMs that the store shows, or showed lately.
 *
 * It begins to dial as soon as the cell is claimed: opening the connections takes about as long as reading the journal.
 */
import type { Clock, Milliseconds } from "@pebbledale/core";
import type { CellView, EntryVm } from "../membership/index.js";
import { dialRetryDelay, dialTimeout, vmRetention } from "../owner/constants.js";
import type { Channel, OwnerMessage, VmMessage } from "../protocol/index.js";
import { dialVm } from "./server.js";

/** Takes the connections into use. */
export interface VmConnections {
    /** Whether a VM is connected. */
    isConnected(name: string): boolean;
    /** How long a connected VM has not been heard. */
    silenceOf(name: string): Milliseconds;
    /** Takes a connection to a VM into use. */
    connect(vm: EntryVm, channel: Channel<OwnerMessage, VmMessage>): void;
}

interface KnownVm {
    vm: EntryVm;
    lastSeenAt: Milliseconds;
    lastDialledAt: Milliseconds;
    /** Whether the way to it is open: it answered, or refused. Undefined before the first dial ended. */
    isReachable: boolean | undefined;
    /** How long it had not heard the owner when it was dialled; undefined before it said so. */
    ownerSilence: Milliseconds | undefined;
}

/** Time between two looks at which VMs are to be dialled, in milliseconds. */
const dialInterval: Milliseconds = 50;
/** Time between two looks at whether enough VMs were reached, in milliseconds. */
const reachPollInterval: Milliseconds = 10;
/**
 * A connected VM that was not heard for this long, two beats and some, is dialled again: its connection may have fallen silent while
 * new ones work. With the limit of that dial it is known before the connection is dropped whether the VM is reached. An owner all of
 * whose connections fell silent has its VMs again 0.75 s later (its log); it gave the cell up after 1.25 s before.
 */
const redialAfter: Milliseconds = 600;
/** Limit of that dial. */
const redialTimeout: Milliseconds = 350;
/** A VM that was only slow is heard on its former connection within this time of the dial's success. */
const redialGrace: Milliseconds = 30;
/** A VM that reaches fewer of the others than this share is cut off: others serve better as owner. */
const minReachableShare = 0.25;

/** See the module's comment. */
export class VmDialer {
    readonly #known = new Map<string, KnownVm>();
    /** Connections that opened before there was anyone to use them. */
    readonly #unusedConnections = new Map<
        string,
        { readonly vm: EntryVm; readonly channel: Channel<OwnerMessage, VmMessage>; }
    >();
    #connections: VmConnections | undefined;
    #hasReachedEnough = false;

    constructor(
        private readonly view: CellView,
        private readonly self: EntryVm,
        private readonly clock: Clock,
    ) {}

    /** Hands the connections that are open, and those that will be, to the owner's work. */
    attach(connections: VmConnections): void {
        this.#connections = connections;
        this.#unusedConnections.forEach(({ vm, channel }) => connections.connect(vm, channel));
        this.#unusedConnections.clear();
    }

    /** Whether this VM reaches so few of the VMs that the store shows that it is the one cut off. */
    get isIsolated(): boolean {
        return !this.#reachesEnoughOf(this.#otherVms());
    }

    /** Whether this VM reached others and no longer does. One that never did may own the cell for want of another. */
    get hasBecomeIsolated(): boolean {
        // VMs that have just shown up and were not dialled yet say nothing: in a start of all they are most of them.
        const dialled = this.#otherVms().filter(vm => this.#known.get(vm.name)?.isReachable !== undefined);
        const reachesEnough = this.#reachesEnoughOf(dialled);
        this.#hasReachedEnough ||= reachesEnough;
        return this.#hasReachedEnough && !reachesEnough;
    }

    /**
     * A connection ended for want of a sign of life. Silence says nothing of the way to the VM: connections may fall silent
     * while new ones work. Only a dial without an answer does.
     */
    noteSilence(name: string): void {
        const known = this.#known.get(name);
        if (known?.isReachable === true) {
            known.isReachable = undefined;
        }
    }

    /** Resolves once enough VMs were reached for this one not to be cut off, or after `limit`. */
    async untilReached(limit: Milliseconds): Promise<void> {
        const until = this.clock.monotonic() + limit;
        while (this.isIsolated && this.clock.monotonic() < until) {
            await this.clock.sleep(reachPollInterval);
        }
    }

    /**
     * Resolves to whether more than half of the VMs besides the owner, this one among them, have not heard the owner for
     * `silence`: at once when they say so, or after `limit`.
     */
    async untilSilenceAgreed(owner: string, silence: Milliseconds, limit: Milliseconds): Promise<boolean> {
        const until = this.clock.monotonic() + limit;
        while (!this.#agreesOnSilence(owner, silence) && this.clock.monotonic() < until) {
            await this.clock.sleep(reachPollInterval);
        }
        return this.#agreesOnSilence(owner, silence);
    }

    #agreesOnSilence(owner: string, silence: Milliseconds): boolean {
        const others = this.#otherVms().filter(vm => vm.name !== owner);
        const agreeing = others.filter(vm => (this.#known.get(vm.name)?.ownerSilence ?? 0) >= silence);
        return (agreeing.length + 1) * 2 > others.length + 1;
    }

    /** Dials until `signal` fires. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.#dialDueVms(signal);
            await this.clock.sleep(dialInterval, signal);
        }
        this.#unusedConnections.forEach(({ channel }) => channel.close());
    }

    #dialDueVms(signal: AbortSignal): void {
        const now = this.clock.monotonic();
        for (const vm of this.view.vms.values()) {
            const former = this.#known.get(vm.name);
            const isSame = former?.vm.process === vm.process;
            this.#known.set(vm.name, {
                vm,
                lastSeenAt: now,
                lastDialledAt: former?.lastDialledAt ?? -Infinity,
                isReachable: isSame ? former.isReachable : undefined,
                ownerSilence: isSame ? former.ownerSilence : undefined,
            });
        }
        for (const [name, known] of this.#known) {
            if (now - known.lastSeenAt > vmRetention) {
                this.#known.delete(name);
            }
            else if (this.#isDue(known, now)) {
                known.lastDialledAt = now;
                void this.#dial(known.vm, signal);
            }
        }
    }

    #isDue({ vm, lastDialledAt: triedAt }: KnownVm, now: Milliseconds): boolean {
        const isWanted = !this.#isConnected(vm.name) || this.#isSilent(vm.name);
        return vm.name !== this.self.name && now - triedAt >= dialRetryDelay && isWanted;
    }

    /** Whether a VM is connected and was not heard for a while. */
    #isSilent(name: string): boolean {
        return this.#connections?.isConnected(name) === true && this.#connections.silenceOf(name) >= redialAfter;
    }

    #otherVms(): EntryVm[] {
        return [...this.view.vms.values()].filter(vm => vm.name !== this.self.name);
    }

    #reachesEnoughOf(vms: readonly EntryVm[]): boolean {
        return vms.filter(vm => this.#isReachable(vm.name)).length >= vms.length * minReachableShare;
    }

    #isReachable(name: string): boolean {
        return this.#isConnected(name) || this.#known.get(name)?.isReachable === true;
    }

    #isConnected(name: string): boolean {
        return this.#unusedConnections.get(name)?.channel.isOpen === true
            || this.#connections?.isConnected(name) === true;
    }

    #handleMessage(name: string, message: VmMessage): void {
        const known = this.#known.get(name);
        if (known !== undefined && message.kind === "owner-heard") {
            known.ownerSilence = message.silence;
        }
    }

    async #dial(vm: EntryVm, signal: AbortSignal): Promise<void> {
        const outcome = await dialVm(vm.address, this.#isSilent(vm.name) ? redialTimeout : dialTimeout);
        const known = this.#known.get(vm.name);
        if (known !== undefined) {
            known.isReachable = outcome.kind !== "silent";
        }
        if (outcome.kind !== "open") {
            return;
        }
        const { channel } = outcome;
        channel.onMessage = message => this.#handleMessage(vm.name, message);
        if (this.#isSilent(vm.name)) {
            await this.clock.sleep(redialGrace, signal);
        }
        if (signal.aborted || (this.#isConnected(vm.name) && !this.#isSilent(vm.name))) {
            channel.close();
        }
        else if (this.#connections === undefined) {
            this.#unusedConnections.set(vm.name, { vm, channel });
        }
        else {
            this.#connections.connect(vm, channel);
        }
    }
}
