/** Connections of an owner to entry VMs. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import type { CellView, EntryVm } from "../membership/index.js";
import type { TrafficAccount } from "../observability/index.js";
import { dialRetryDelay, dialTimeout, vmRetention } from "../owner/constants.js";
import type { Channel, OwnerMessage, VmMessage } from "../protocol/index.js";
import { dialVm } from "./connections.js";

/** Receiver of the connections that are opened. */
export interface VmConnections {
    isConnected(name: string): boolean;
    /** Time since the last message of a connected VM. */
    silenceOf(name: string): Milliseconds;
    /** Attaches a connection to a VM. */
    connect(vm: EntryVm, channel: Channel<OwnerMessage, VmMessage>): void;
}

interface KnownVm {
    vm: EntryVm;
    lastSeenAt: Milliseconds;
    lastDialledAt: Milliseconds;
    /** Whether the last dial was answered or refused; undefined before the first dial has ended. */
    isReachable: boolean | undefined;
    /** How long the VM had not heard the owner when dialled; undefined before it has reported it. */
    ownerSilence: Milliseconds | undefined;
}

/** Interval of checks for VMs to be dialled, in milliseconds. */
const dialInterval: Milliseconds = 50;
/** Interval of checks for enough VMs being reached or in agreement, in milliseconds. */
const reachPollInterval: Milliseconds = 10;
/**
 * A connected VM that was not heard for this long, a little over two heartbeats, is dialled again, as a connection can
 * hang while new ones work. The dial ends before the silent connection is dropped, so that it is known by then whether
 * the VM is reachable. In milliseconds.
 */
const redialAfter: Milliseconds = 600;
/** Timeout of dialling a silent connected VM again, in milliseconds. */
const redialTimeout: Milliseconds = 350;
/**
 * Grace period after such a dial, in milliseconds, in which a VM that was only slow is heard on its former connection.
 */
const redialGrace: Milliseconds = 30;
/** A VM that reaches a smaller share of the others than this is isolated and should not own the cell. */
const minReachableShare = 0.25;

/**
 * Keeps a candidate or owner connected to all entry VMs that the store lists or has listed recently. Dialling begins
 * with the claim, as opening the connections takes about as long as reading the journal.
 */
export class VmDialer {
    readonly #known = new Map<string, KnownVm>();
    /** Connections opened before there is a session to use them. */
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
        private readonly traffic?: TrafficAccount,
    ) {}

    /** Passes open and future connections to the owner's session. */
    attach(connections: VmConnections): void {
        this.#connections = connections;
        this.#unusedConnections.forEach(({ vm, channel }) => connections.connect(vm, channel));
        this.#unusedConnections.clear();
    }

    /** Whether this VM currently reaches too few of the listed VMs. */
    get isIsolated(): boolean {
        return !this.#reachesEnoughOf(this.#otherVms());
    }

    /**
     * Whether this VM has reached enough of the others and no longer does. One that never did may own the cell, as
     * no other VM may be able to.
     */
    get hasBecomeIsolated(): boolean {
        // VMs that have just joined and were not dialled yet are left out: when the whole cell starts they are the
        // majority.
        const dialled = this.#otherVms().filter(vm => this.#known.get(vm.name)?.isReachable !== undefined);
        const reachesEnough = this.#reachesEnoughOf(dialled);
        this.#hasReachedEnough ||= reachesEnough;
        return this.#hasReachedEnough && !reachesEnough;
    }

    /**
     * Records that a connection was dropped because of silence. The connection may hang while new ones work, so the VM
     * only counts as unreachable once a dial has failed.
     */
    recordSilence(name: string): void {
        const known = this.#known.get(name);
        if (known?.isReachable === true) {
            known.isReachable = undefined;
        }
    }

    /** Resolves once this VM is no longer isolated, or after `timeout`. */
    async untilReached(timeout: Milliseconds): Promise<void> {
        const deadline = this.clock.monotonic() + timeout;
        while (this.isIsolated && this.clock.monotonic() < deadline) {
            await this.clock.sleep(reachPollInterval);
        }
    }

    /**
     * Resolves to whether a majority of the VMs other than the owner, including this one, has not heard the owner for
     * `silence`: as soon as they agree, or after `timeout`.
     */
    async untilSilenceAgreed(owner: string, silence: Milliseconds, timeout: Milliseconds): Promise<boolean> {
        const deadline = this.clock.monotonic() + timeout;
        while (!this.#agreesOnSilence(owner, silence) && this.clock.monotonic() < deadline) {
            await this.clock.sleep(reachPollInterval);
        }
        return this.#agreesOnSilence(owner, silence);
    }

    #agreesOnSilence(owner: string, silence: Milliseconds): boolean {
        const others = this.#otherVms().filter(vm => vm.name !== owner);
        const agreeing = others.filter(vm => (this.#known.get(vm.name)?.ownerSilence ?? 0) >= silence);
        return (agreeing.length + 1) * 2 > others.length + 1;
    }

    /** Dials VMs until `signal` fires. */
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

    #isDue({ vm, lastDialledAt }: KnownVm, now: Milliseconds): boolean {
        const needsConnection = !this.#isConnected(vm.name) || this.#isSilent(vm.name);
        return vm.name !== this.self.name && now - lastDialledAt >= dialRetryDelay && needsConnection;
    }

    /** Whether a VM is connected but has not been heard for a while. */
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
        const { traffic } = this;
        const options = traffic && {
            meter: (kind: string, bytes: number) => traffic.recordMessage(kind, vm.dataHall, bytes),
            usesCompactForms: true,
        };
        const outcome = await dialVm(vm.address, this.#isSilent(vm.name) ? redialTimeout : dialTimeout, options);
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
