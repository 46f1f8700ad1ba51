/** Allocation of the slots of one service to the live requests at one gateway. */
import type { Clock, Milliseconds, SlotGrant, SlotRequest, TaskId, WorkerId } from "@pebbledale/core";

/** A slot of an instance: the right to have one request in flight at that instance until the slot is released. */
export interface Slot {
    readonly task: TaskId;
    readonly worker: WorkerId;
    readonly address: string;
}

/** Result of acquiring a slot. */
export type SlotOutcome =
    | { readonly kind: "slot"; readonly slot: Slot; }
    | { readonly kind: "overloaded"; readonly retryAfter: Milliseconds; }
    | { readonly kind: "no-service"; }
    | { readonly kind: "no-owner"; readonly retryAfter: Milliseconds; };

/** Slots of a service that the shard's owner has granted to this gateway for a limited time. */
export interface SlotBundle {
    readonly grants: readonly SlotGrant[];
    /** How long the slots may be used, counted from when the request for them was sent. */
    readonly duration: Milliseconds;
}

/**
 * Requests slots from the owner of the shard. Resolves to undefined if the service is unknown; rejects if no owner
 * answers.
 */
export type RequestSlots = (request: SlotRequest) => Promise<SlotBundle | undefined>;

/** Dependencies and limits of a slot broker. */
export interface SlotBrokerOptions {
    readonly clock: Clock;
    readonly signal: AbortSignal;
    readonly gateway: SlotRequest["gateway"];
    readonly dataHall: string;
    readonly requestSlots: RequestSlots;
    /** Returns the maximum expected wait for a slot; read for each request. */
    readonly waitLimit: () => Milliseconds;
}

interface Instance {
    readonly task: TaskId;
    readonly worker: WorkerId;
    address: string;
    slots: number;
    inUse: number;
    expiresAt: Milliseconds;
    /** Other instances are preferred until then, because this one has failed a request. */
    avoidUntil: Milliseconds;
}

interface Waiter {
    readonly resolve: (outcome: SlotOutcome) => void;
}

/** Interval between renewals of the bundle. */
const renewInterval: Milliseconds = 500;
/** Minimum interval between requests to the shard's owner. */
const minRequestInterval: Milliseconds = 50;
/** Weight of the newest request in the moving average of the time that a slot is held. */
const holdTimeWeight = 0.05;
/** Assumed time that a slot is held, before the first measurement. */
const initialHoldTime: Milliseconds = 50;
/** How long other instances are preferred after an instance has failed a request. */
const avoidDuration: Milliseconds = 500;
/** Retry delay given to callers while no owner answers. */
const noOwnerRetryAfter: Milliseconds = 1_000;
/** Maximum wait of requests that arrive before the first bundle. */
const maxFirstBundleWait: Milliseconds = 1_500;
/** Factor by which the remembered demand decays from one renewal to the next. */
const demandDecay = 0.8;
/** A broker of an unknown service ends after this time without requests, as callers may ask for any name. */
const unknownServiceTimeout: Milliseconds = 2_000;
/** The bundle is no longer renewed after this time without requests. */
const idleTimeout: Milliseconds = 60_000;

/**
 * Allocates the slots of one service at one gateway.
 *
 * The broker renews a bundle of slots in the background, so that a request acquires a slot without a call, even while
 * the owner of the shard is being replaced. Requests without a free slot wait in order of arrival; one whose expected
 * wait exceeds the limit is refused at once.
 */
export class SlotBroker {
    readonly #instances = new Map<TaskId, Instance>();
    readonly #waiters: Waiter[] = [];
    #meanHoldTime = initialHoldTime;
    #inUse = 0;
    #demand = 1;
    #lastRequestAt = -Infinity;
    #lastUsedAt: Milliseconds;
    #hasHadBundle = false;
    #isServiceKnown = true;
    #isRequesting = false;
    #isOwnerReachable = true;

    constructor(private readonly options: SlotBrokerOptions) {
        this.#lastUsedAt = options.clock.monotonic();
    }

    get waitingCount(): number {
        return this.#waiters.length;
    }

    /** Renews the bundle; resolves once the signal has fired or the service has been idle for a while. */
    async run(): Promise<void> {
        const { clock, signal } = this.options;
        while (!signal.aborted) {
            const now = clock.monotonic();
            const timeout = this.#isServiceKnown ? idleTimeout : unknownServiceTimeout;
            if (now - this.#lastUsedAt > timeout && this.#inUse === 0 && this.#waiters.length === 0) {
                return;
            }
            await this.#requestBundle();
            await clock.sleep(this.#hasHadBundle || !this.#isServiceKnown ? renewInterval : minRequestInterval, signal);
        }
        this.#waiters.splice(0).forEach(waiter => waiter.resolve({ kind: "no-owner", retryAfter: noOwnerRetryAfter }));
    }

    /** Acquires a slot, waiting for one if necessary. Never rejects. */
    async acquire(): Promise<SlotOutcome> {
        const now = this.options.clock.monotonic();
        this.#lastUsedAt = now;
        this.#demand = Math.max(this.#demand, this.#inUse + this.#waiters.length + 1);
        const slot = this.#waiters.length === 0 ? this.#tryAcquire(now) : undefined;
        if (slot !== undefined) {
            return { kind: "slot", slot };
        }
        if (!this.#isServiceKnown) {
            return { kind: "no-service" };
        }
        const refusal = this.#checkExpectedWait(now);
        if (refusal !== undefined) {
            return refusal;
        }
        void this.#requestBundle();
        return new Promise(resolve => {
            const waiter = { resolve };
            this.#waiters.push(waiter);
            void this.#expireWaiter(waiter);
        });
    }

    /** Releases a slot that was held for `holdTime`. After a failure other instances are preferred for a while. */
    release(slot: Slot, holdTime: Milliseconds, failed: boolean): void {
        const now = this.options.clock.monotonic();
        this.#inUse--;
        const instance = this.#instances.get(slot.task);
        if (instance !== undefined) {
            instance.inUse--;
            instance.avoidUntil = failed ? now + avoidDuration : instance.avoidUntil;
        }
        if (!failed) {
            this.#meanHoldTime += (holdTime - this.#meanHoldTime) * holdTimeWeight;
        }
        this.#serveWaiters(now);
    }

    /** Number of unexpired slots, both free and in use. */
    #usableSlots(now: Milliseconds): number {
        let sum = 0;
        for (const instance of this.#instances.values()) {
            sum += instance.expiresAt > now ? instance.slots : 0;
        }
        return sum;
    }

    #tryAcquire(now: Milliseconds): Slot | undefined {
        let best: Instance | undefined;
        for (const instance of this.#instances.values()) {
            const isUsable = instance.expiresAt > now && instance.inUse < instance.slots;
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

    /** Returns a refusal if a new request would wait too long, estimated from the mean time that slots are held. */
    #checkExpectedWait(now: Milliseconds): SlotOutcome | undefined {
        const slots = this.#usableSlots(now);
        if (slots === 0) {
            if (this.#hasHadBundle && !this.#isOwnerReachable) {
                return { kind: "no-owner", retryAfter: noOwnerRetryAfter };
            }
            return undefined;
        }
        const expectedWait = (this.#waiters.length + 1) * this.#meanHoldTime / slots;
        return expectedWait <= this.options.waitLimit()
            ? undefined
            : { kind: "overloaded", retryAfter: Math.ceil(expectedWait) };
    }

    /** Refuses a waiting request that has not received a slot within the limit. */
    async #expireWaiter(waiter: Waiter): Promise<void> {
        const { clock, waitLimit } = this.options;
        const maxWait = this.#hasHadBundle ? Math.max(waitLimit(), minRequestInterval) : maxFirstBundleWait;
        await clock.sleep(maxWait);
        const index = this.#waiters.indexOf(waiter);
        if (index >= 0) {
            this.#waiters.splice(index, 1);
            waiter.resolve(
                this.#isOwnerReachable
                    ? { kind: "overloaded", retryAfter: Math.max(this.#meanHoldTime, minRequestInterval) }
                    : { kind: "no-owner", retryAfter: noOwnerRetryAfter },
            );
        }
    }

    #serveWaiters(now: Milliseconds): void {
        while (this.#waiters.length > 0) {
            const slot = this.#tryAcquire(now);
            if (slot === undefined) {
                return;
            }
            this.#waiters.shift()!.resolve({ kind: "slot", slot });
        }
    }

    async #requestBundle(): Promise<void> {
        const { clock, gateway, dataHall, requestSlots } = this.options;
        const sentAt = clock.monotonic();
        if (this.#isRequesting || sentAt - this.#lastRequestAt < minRequestInterval) {
            return;
        }
        this.#isRequesting = true;
        this.#lastRequestAt = sentAt;
        try {
            const held = [...this.#instances.values()].map(({ task, slots, inUse }) => ({
                task,
                slots: Math.max(slots, inUse),
            }));
            const demand = Math.max(1, Math.ceil(this.#demand));
            this.#demand = Math.max(this.#inUse + this.#waiters.length, this.#demand * demandDecay);
            const bundle = await requestSlots({ gateway, dataHall, demand, held });
            this.#isOwnerReachable = true;
            this.#isServiceKnown = bundle !== undefined;
            this.#hasHadBundle = this.#hasHadBundle || bundle !== undefined;
            if (bundle === undefined) {
                this.#waiters.splice(0).forEach(waiter => waiter.resolve({ kind: "no-service" }));
            }
            else {
                this.#applyBundle(bundle, sentAt);
            }
        }
        catch {
            this.#isOwnerReachable = false;
        }
        finally {
            this.#isRequesting = false;
        }
    }

    #applyBundle(bundle: SlotBundle, sentAt: Milliseconds): void {
        const granted = new Map(bundle.grants.map(grant => [grant.task, grant]));
        const expiresAt = sentAt + bundle.duration;
        for (const [task, instance] of this.#instances) {
            if (!granted.has(task)) {
                instance.slots = 0;
                if (instance.inUse === 0) {
                    this.#instances.delete(task);
                }
            }
        }
        for (const grant of bundle.grants) {
            const existing = this.#instances.get(grant.task);
            if (existing === undefined) {
                if (grant.address !== undefined) {
                    const { address } = grant;
                    this.#instances.set(grant.task, { ...grant, address, inUse: 0, expiresAt, avoidUntil: -Infinity });
                }
            }
            else {
                existing.address = grant.address ?? existing.address;
                existing.slots = grant.slots;
                existing.expiresAt = expiresAt;
            }
        }
        this.#serveWaiters(this.options.clock.monotonic());
    }
}

/** Share of an instance's slots in use, increased by 1 while it is to be avoided, so that it is selected last. */
const loadOf = (instance: Instance, now: Milliseconds): number =>
    instance.inUse / instance.slots + (instance.avoidUntil > now ? 1 : 0);
