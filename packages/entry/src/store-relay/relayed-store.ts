/**
 * The platform's store, reached directly or through another VM.
 *
 * The store may turn one VM away and serve the others. A call that stays without an answer for a while is then also made
 * through another VM; the first answer counts. Each call may be made twice without harm: writes carry conditions.
 */
import {
    type ChangeFeed,
    type Clock,
    type KeyChanges,
    type KeysAtCursor,
    type KeyValue,
    type KeyVersion,
    logEvents,
    type Milliseconds,
    type PlatformLeaseId,
    type PlatformStore,
    PlatformUnavailableError,
    ResponseTimeEstimator,
    type SwapOutcome,
    type WatchEvents,
} from "@pebbledale/core";
import { createAbortController, type EventLogger, withLinkedSignal } from "@pebbledale/runtime";
import { performOperation, type StoreOperation } from "./operations.js";

/** Makes a call through another VM; rejects when it had no answer there either. */
export type StoreRelay = (operation: StoreOperation) => Promise<unknown>;

/** What a relayed store needs. */
export interface RelayedStoreOptions {
    readonly direct: PlatformStore & ChangeFeed;
    /** VMs that may make calls for this one, in the order in which they are to be tried. */
    readonly relays: () => readonly StoreRelay[];
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/**
 * A direct call is also made through another VM once its answer is late by what answers take, within these bounds. The store
 * answers in about 4 ms; a slow one in up to 0.4 s, and turns calls away where all are made several times.
 */
const minRelayDelay: Milliseconds = 250;
const maxRelayDelay: Milliseconds = 600;
/** After a call that only another VM could make, direct ones are not tried for this long; twice as long each time. */
const initialDirectBackoff: Milliseconds = 1_000;
const maxDirectBackoff: Milliseconds = 4_000;
/** Another VM is asked too when the one before has no answer for this long: it may be turned away as well. */
const nextRelayDelay: Milliseconds = 80;
/** Most VMs that are asked for one call. */
const maxRelays = 3;
/** Longest wait in one watch that another VM makes. */
const maxRelayedWait: Milliseconds = 2_000;

/** See the module's comment. */
export class RelayedStore implements PlatformStore, ChangeFeed {
    #directBackoffUntil = -Infinity;
    #nextDirectBackoff = initialDirectBackoff;
    /** Fires when the way to the store changes, so that long waits begin anew on the other way. */
    #routeChanged = createAbortController();
    readonly #answerTimes = new ResponseTimeEstimator({ min: minRelayDelay, max: maxRelayDelay });

    constructor(private readonly options: RelayedStoreOptions) {}

    /** See {@link PlatformStore.get}. */
    async get(key: string): Promise<KeyValue | undefined> {
        return await this.#perform({ kind: "get", key }) as KeyValue | undefined;
    }

    /** See {@link PlatformStore.list}. */
    async list(prefix: string): Promise<readonly KeyValue[]> {
        return (await this.readAll(prefix)).entries;
    }

    /** See {@link ChangeFeed.readAll}. */
    async readAll(prefix: string): Promise<KeysAtCursor> {
        return await this.#perform({ kind: "read-all", prefix }) as KeysAtCursor;
    }

    /** See {@link ChangeFeed.changes}. */
    async changes(
        prefix: string,
        cursor: string,
        duration: Milliseconds,
        signal: AbortSignal,
    ): Promise<KeyChanges | undefined> {
        const relay = this.#isDirectAvoided() ? this.options.relays()[0] : undefined;
        if (relay !== undefined) {
            const wait = Math.min(duration, maxRelayedWait);
            // One VM alone: a watch waits, so that another's turn would always come.
            return await relay({ kind: "changes", prefix, cursor, duration: wait }) as KeyChanges | undefined;
        }
        const sources = [signal, this.#routeChanged.signal];
        return withLinkedSignal(
            sources,
            undefined,
            linked => this.options.direct.changes(prefix, cursor, duration, linked),
        );
    }

    /** See {@link PlatformStore.watch}. */
    watch(prefix: string, cursor: string, duration: Milliseconds, signal: AbortSignal): Promise<WatchEvents> {
        return this.options.direct.watch(prefix, cursor, duration, signal);
    }

    /** See {@link PlatformStore.compareAndSwap}. */
    async compareAndSwap(
        key: string,
        expected: KeyVersion,
        value: string,
        lease?: PlatformLeaseId,
    ): Promise<SwapOutcome> {
        return await this.#perform({ kind: "swap", key, expected, value, lease }) as SwapOutcome;
    }

    /** See {@link PlatformStore.remove}. */
    async remove(key: string, expected: KeyVersion): Promise<boolean> {
        return await this.#perform({ kind: "remove", key, expected }) as boolean;
    }

    /** See {@link PlatformStore.grantLease}. */
    async grantLease(duration: Milliseconds): Promise<PlatformLeaseId> {
        return await this.#perform({ kind: "grant", duration }) as PlatformLeaseId;
    }

    /** See {@link PlatformStore.renewLease}. */
    async renewLease(lease: PlatformLeaseId): Promise<boolean> {
        return await this.#perform({ kind: "renew", lease }) as boolean;
    }

    /** See {@link PlatformStore.revokeLease}. */
    async revokeLease(lease: PlatformLeaseId): Promise<void> {
        await this.#perform({ kind: "revoke", lease });
    }

    #isDirectAvoided(): boolean {
        return this.options.clock.monotonic() < this.#directBackoffUntil;
    }

    #perform(operation: StoreOperation): Promise<unknown> {
        return this.#isDirectAvoided() && this.options.relays().length > 0
            ? this.#performRelayed(operation)
            : this.#performHedged(operation);
    }

    /** Before the first answer nothing is known of the store, and a call is not left alone for long. */
    get #relayDelay(): Milliseconds {
        return this.#answerTimes.hasSamples ? this.#answerTimes.timeout : minRelayDelay;
    }

    /** The direct call; when it fails or stays out, another VM's as well. */
    #performHedged(operation: StoreOperation): Promise<unknown> {
        const { direct, relays, clock } = this.options;
        const { signal } = createAbortController();
        const sentAt = clock.monotonic();
        const called = performOperation(direct, operation, signal);
        if (relays().length === 0) {
            return called;
        }
        return new Promise((resolve, reject) => {
            let isAnswered = false;
            let relayed: Promise<void> | undefined;
            const answer = (value: unknown) => {
                isAnswered = true;
                resolve(value);
            };
            const answerDirect = (value: unknown) => {
                this.#answerTimes.recordResponse(clock.monotonic() - sentAt);
                this.#nextDirectBackoff = isAnswered ? this.#nextDirectBackoff : initialDirectBackoff;
                answer(value);
            };
            const alsoRelay = (): Promise<void> =>
                relayed ??= this.#performRelayed(operation).then(value => {
                    if (!isAnswered) {
                        this.#backOffDirect();
                        answer(value);
                    }
                });
            called.then(answerDirect, cause => alsoRelay().catch(() => reject(cause)));
            void clock.sleep(this.#relayDelay).then(() => isAnswered ? undefined : alsoRelay().catch(() => undefined));
        });
    }

    /** Asks VMs one after the other, each a little later than the one before; the first answer counts. */
    #performRelayed(operation: StoreOperation): Promise<unknown> {
        const relays = this.options.relays().slice(0, maxRelays);
        if (relays.length === 0) {
            return Promise.reject(new PlatformUnavailableError("no other VM is connected"));
        }
        const answered = createAbortController();
        const asked = relays.map(async (relay, index) => {
            if (index > 0) {
                await this.options.clock.sleep(index * nextRelayDelay, answered.signal);
            }
            if (answered.signal.aborted) {
                throw new PlatformUnavailableError("another VM answered");
            }
            return relay(operation);
        });
        return Promise.any(asked)
            .catch((cause: AggregateError) => {
                throw new PlatformUnavailableError(`no VM had an answer: ${String(cause.errors[0])}`);
            })
            .finally(() => answered.abort());
    }

    #backOffDirect(): void {
        const wasAvoided = this.#isDirectAvoided();
        this.#directBackoffUntil = this.options.clock.monotonic() + this.#nextDirectBackoff;
        this.#nextDirectBackoff = Math.min(this.#nextDirectBackoff * 2, maxDirectBackoff);
        if (!wasAvoided) {
            this.options.logger.log(logEvents.storeRelayed);
            const former = this.#routeChanged;
            this.#routeChanged = createAbortController();
            former.abort();
        }
    }
}
