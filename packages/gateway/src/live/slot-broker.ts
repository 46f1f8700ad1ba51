/**
 * Slots of one service at one gateway.
 *
 * The gateway holds a standing bundle that it renews while it lasts, so a request takes a slot without a call, also
 * while the shard's owner is being replaced. A request that would wait longer than the limit is refused at once.
 */
import type { Clock, Milliseconds, SlotGrant, SlotRequest, TaskId, WorkerId } from "@pebbledale/core";

/** A slot that a request holds until it is released. */
export interface Slot {
    readonly task: TaskId;
    readonly worker: WorkerId;
    readonly address: string;
}

/** What became of asking for a slot. */
export type SlotOutcome =
    | { readonly kind: "slot"; readonly slot: Slot; }
    | { readonly kind: "overloaded"; readonly retryAfter: Milliseconds; }
    | { readonly kind: "no-service"; }
    | { readonly kind: "no-owner"; readonly retryAfter: Milliseconds; };

/** A bundle that was granted. */
export interface GrantedBundle {
    readonly grants: readonly SlotGrant[];
    /** How long it may be used from when it was asked for. */
    readonly duration: Milliseconds;
}

/** Asks the shard's owner for slots; undefined when the service is not known. Rejects when no owner answers. */
export type AskForSlots = (request: SlotRequest) => Promise<GrantedBundle | undefined>;

/** What a broker needs. */
export interface SlotBrokerOptions {
    readonly clock: Clock;
    readonly signal: AbortSignal;
    readonly gateway: SlotRequest["gateway"];
    readonly dataHall: string;
    readonly ask: AskForSlots;
    /** Longest expected wait for a slot; read at each request. */
    readonly waitLimit: () => Milliseconds;
}

interface Instance {
    readonly task: TaskId;
    readonly worker: WorkerId;
    address: string;
    slots: number;
    inUse: number;
    validUntil: Milliseconds;
    /** Not chosen before then: it just refused or failed a request. */
    avoidUntil: Milliseconds;
}

interface Waiter {
    readonly resolve: (outcome: SlotOutcome) => void;
}

/** Time between two renewals of a bundle. */
const renewInterval: Milliseconds = 500;
/** Least time between two calls that ask for more. */
const askInterval: Milliseconds = 50;
/** Weight of the newest request in the mean time that a slot is held. */
const heldWeight = 0.05;
/** Mean time that a slot is held before any was. */
const firstHeld: Milliseconds = 50;
/** How long an instance that failed a request is not chosen. */
const avoidFor: Milliseconds = 500;
/** When to come back while no owner answers. */
const noOwnerRetryAfter: Milliseconds = 1_000;
/** How long the first request of a service may wait for the first bundle. */
const firstBundleWait: Milliseconds = 1_500;
/** Share of the greatest demand that is kept from one renewal to the next. */
const demandDecay = 0.8;
/** A service without requests for this long gives its bundle up. */
const idleAfter: Milliseconds = 60_000;

/** See the module's comment. */
export class SlotBroker {
    readonly #instances = new Map<TaskId, Instance>();
    readonly #waiting: Waiter[] = [];
    #meanHeld = firstHeld;
    #inUse = 0;
    #demand = 1;
    #askedAt = -Infinity;
    #lastUsedAt: Milliseconds;
    #hasAnswer = false;
    #isKnown = true;
    #isAsking = false;
    #ownerAnswers = true;

    constructor(private readonly options: SlotBrokerOptions) {
        this.#lastUsedAt = options.clock.monotonic();
    }

    /** Number of requests that wait for a slot. */
    get waiting(): number {
        return this.#waiting.length;
    }

    /** Renews the bundle until the signal fires or the service is idle; resolves then. */
    async run(): Promise<void> {
        const { clock, signal } = this.options;
        while (!signal.aborted) {
            const now = clock.monotonic();
            if (now - this.#lastUsedAt > idleAfter && this.#inUse === 0 && this.#waiting.length === 0) {
                return;
            }
            await this.#ask();
            await clock.sleep(this.#hasAnswer || !this.#isKnown ? renewInterval : askInterval, signal);
        }
        this.#waiting.splice(0).forEach(waiter => waiter.resolve({ kind: "no-owner", retryAfter: noOwnerRetryAfter }));
    }

    /** Takes a slot, now or after a short wait. */
    async take(): Promise<SlotOutcome> {
        const now = this.options.clock.monotonic();
        this.#lastUsedAt = now;
        this.#demand = Math.max(this.#demand, this.#inUse + this.#waiting.length + 1);
        const slot = this.#waiting.length === 0 ? this.#choose(now) : undefined;
        if (slot !== undefined) {
            return { kind: "slot", slot };
        }
        if (!this.#isKnown) {
            return { kind: "no-service" };
        }
        const refusal = this.#refusal(now);
        if (refusal !== undefined) {
            return refusal;
        }
        void this.#ask();
        return new Promise(resolve => {
            const waiter = { resolve };
            this.#waiting.push(waiter);
            void this.#limitWait(waiter);
        });
    }

    /** Gives a slot back. `held`: how long it was used. `failed`: the instance refused or failed. */
    release(slot: Slot, held: Milliseconds, failed: boolean): void {
        const now = this.options.clock.monotonic();
        this.#inUse--;
        const instance = this.#instances.get(slot.task);
        if (instance !== undefined) {
            instance.inUse--;
            instance.avoidUntil = failed ? now + avoidFor : instance.avoidUntil;
        }
        if (!failed) {
            this.#meanHeld += (held - this.#meanHeld) * heldWeight;
        }
        this.#serveWaiting(now);
    }

    /** Slots that may be used now. */
    #usable(now: Milliseconds): number {
        let sum = 0;
        for (const instance of this.#instances.values()) {
            sum += instance.validUntil > now ? instance.slots : 0;
        }
        return sum;
    }

    #choose(now: Milliseconds): Slot | undefined {
        let best: Instance | undefined;
        for (const instance of this.#instances.values()) {
            const isUsable = instance.validUntil > now && instance.inUse < instance.slots;
            if (isUsable && (best === undefined || loadOf(instance, now) < loadOf(best, now))) {
                best = instance;
            }
        }
        if (best === undefined) {
            return undefined;
        }
        best.inUse++;
        this.#inUse++;
        return { task: best.task, worker: best.worker, address: best.address };
    }

    /** Whether a request that comes now would wait too long, from the rate at which slots come free. */
    #refusal(now: Milliseconds): SlotOutcome | undefined {
        const slots = this.#usable(now);
        if (slots === 0) {
            if (this.#hasAnswer && !this.#ownerAnswers) {
                return { kind: "no-owner", retryAfter: noOwnerRetryAfter };
            }
            return undefined;
        }
        const expected = (this.#waiting.length + 1) * this.#meanHeld / slots;
        return expected <= this.options.waitLimit()
            ? undefined
            : { kind: "overloaded", retryAfter: Math.ceil(expected) };
    }

    /** Answers a request that has waited to the limit; it is not held any longer. */
    async #limitWait(waiter: Waiter): Promise<void> {
        const { clock, waitLimit } = this.options;
        const limit = this.#hasAnswer ? Math.max(waitLimit(), askInterval) : firstBundleWait;
        await clock.sleep(limit);
        const index = this.#waiting.indexOf(waiter);
        if (index >= 0) {
            this.#waiting.splice(index, 1);
            waiter.resolve(
                this.#ownerAnswers
                    ? { kind: "overloaded", retryAfter: Math.max(this.#meanHeld, askInterval) }
                    : { kind: "no-owner", retryAfter: noOwnerRetryAfter },
            );
        }
    }

    #serveWaiting(now: Milliseconds): void {
        while (this.#waiting.length > 0) {
            const slot = this.#choose(now);
            if (slot === undefined) {
                return;
            }
            this.#waiting.shift()!.resolve({ kind: "slot", slot });
        }
    }

    async #ask(): Promise<void> {
        const { clock, gateway, dataHall, ask } = this.options;
        const sentAt = clock.monotonic();
        if (this.#isAsking || sentAt - this.#askedAt < askInterval) {
            return;
        }
        this.#isAsking = true;
        this.#askedAt = sentAt;
        try {
            const held = [...this.#instances.values()].map(({ task, slots, inUse }) => ({
                task,
                slots: Math.max(slots, inUse),
            }));
            const demand = Math.max(1, Math.ceil(this.#demand));
            this.#demand = Math.max(this.#inUse + this.#waiting.length, this.#demand * demandDecay);
            const bundle = await ask({ gateway, dataHall, demand, held });
            this.#ownerAnswers = true;
            this.#isKnown = bundle !== undefined;
            this.#hasAnswer = this.#hasAnswer || bundle !== undefined;
            if (bundle === undefined) {
                this.#waiting.splice(0).forEach(waiter => waiter.resolve({ kind: "no-service" }));
            }
            else {
                this.#takeBundle(bundle, sentAt);
            }
        }
        catch {
            this.#ownerAnswers = false;
        }
        finally {
            this.#isAsking = false;
        }
    }

    #takeBundle(bundle: GrantedBundle, sentAt: Milliseconds): void {
        const granted = new Map(bundle.grants.map(grant => [grant.task, grant]));
        const validUntil = sentAt + bundle.duration;
        for (const [task, instance] of this.#instances) {
            if (!granted.has(task)) {
                instance.slots = 0;
                if (instance.inUse === 0) {
                    this.#instances.delete(task);
                }
            }
        }
        for (const grant of bundle.grants) {
            const known = this.#instances.get(grant.task);
            if (known === undefined) {
                if (grant.address !== undefined) {
                    const { address } = grant;
                    this.#instances.set(grant.task, { ...grant, address, inUse: 0, validUntil, avoidUntil: -Infinity });
                }
            }
            else {
                known.address = grant.address ?? known.address;
                known.slots = grant.slots;
                known.validUntil = validUntil;
            }
        }
        this.#serveWaiting(this.options.clock.monotonic());
    }
}

/** Share of an instance's slots in use; an instance to be avoided comes after all others. */
const loadOf = (instance: Instance, now: Milliseconds): number =>
    instance.inUse / instance.slots + (instance.avoidUntil > now ? 1 : 0);
