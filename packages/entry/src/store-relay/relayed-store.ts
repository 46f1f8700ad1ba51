/** Access to the platform's store with fallback to other VMs. */
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

/** Has another VM make a call; rejects when that VM gets no answer either. */
export type StoreRelay = (operation: StoreOperation) => Promise<unknown>;

/** What a {@link RelayedStore} depends on. */
export interface RelayedStoreOptions {
    readonly direct: PlatformStore & ChangeFeed;
    /** VMs that can make calls for this one, in order of preference. */
    readonly relays: () => readonly StoreRelay[];
    /** A key that is read to check whether direct calls are answered. */
    readonly checkedKey: string;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/**
 * Bounds of the delay after which an unanswered direct call is also made through another VM; between them it follows the store's
 * usual response time, about 4 ms and up to 0.4 s under load. Under load, additional calls would make the store reject more of them.
 */
const minRelayDelay: Milliseconds = 250;
const maxRelayDelay: Milliseconds = 600;
/** How long direct calls are avoided after only another VM could make a call. Doubles each time. */
const initialDirectBackoff: Milliseconds = 1_000;
const maxDirectBackoff: Milliseconds = 4_000;
/** Delay before each further VM is asked, as the store may be unreachable from the first one too. */
const nextRelayDelay: Milliseconds = 80;
/** Maximum number of VMs that are asked for one call. */
const maxRelays = 3;
/** Maximum wait for changes in one call of another VM. */
const maxRelayedWait: Milliseconds = 2_000;

/**
 * The platform's store, reached directly or through another VM.
 *
 * The store may be unreachable from one VM while it serves the others. A call that fails or is not answered in time is therefore
 * also made through other VMs, and the first answer counts. Making a call twice is safe, as writes are conditional.
 *
 * An answer through another VM does not yet show that direct calls fail: a store that was silent for all VMs may have recovered
 * after the direct call was sent. Direct calls are therefore avoided only once a later one is not answered either.
 */
export class RelayedStore implements PlatformStore, ChangeFeed {
    #directBackoffUntil = -Infinity;
    #nextDirectBackoff = initialDirectBackoff;
    /** Whether a direct call is being made to check that path. */
    #isCheckingDirect = false;
    /** Fires when calls move from one route to the other, so that long waits are restarted on the new route. */
    #routeChanged = createAbortController();
    readonly #responseTimes = new ResponseTimeEstimator({ min: minRelayDelay, max: maxRelayDelay });

    constructor(private readonly options: RelayedStoreOptions) {}

    async get(key: string): Promise<KeyValue | undefined> {
        return await this.#perform({ kind: "get", key }) as KeyValue | undefined;
    }

    async list(prefix: string): Promise<readonly KeyValue[]> {
        return (await this.readAll(prefix)).entries;
    }

    async readAll(prefix: string): Promise<KeysAtCursor> {
        return await this.#perform({ kind: "read-all", prefix }) as KeysAtCursor;
    }

    async changes(
        prefix: string,
        cursor: string,
        duration: Milliseconds,
        signal: AbortSignal,
    ): Promise<KeyChanges | undefined> {
        const relay = this.#isDirectAvoided() ? this.options.relays()[0] : undefined;
        if (relay !== undefined) {
            const wait = Math.min(duration, maxRelayedWait);
            // One VM only: a wait for changes is long, so that further VMs would always be asked.
            return await relay({ kind: "changes", prefix, cursor, duration: wait }) as KeyChanges | undefined;
        }
        const sources = [signal, this.#routeChanged.signal];
        return withLinkedSignal(
            sources,
            undefined,
            linked => this.options.direct.changes(prefix, cursor, duration, linked),
        );
    }

    watch(prefix: string, cursor: string, duration: Milliseconds, signal: AbortSignal): Promise<WatchEvents> {
        return this.options.direct.watch(prefix, cursor, duration, signal);
    }

    async compareAndSwap(
        key: string,
        expected: KeyVersion,
        value: string,
        lease?: PlatformLeaseId,
    ): Promise<SwapOutcome> {
        return await this.#perform({ kind: "swap", key, expected, value, lease }) as SwapOutcome;
    }

    async remove(key: string, expected: KeyVersion): Promise<boolean> {
        return await this.#perform({ kind: "remove", key, expected }) as boolean;
    }

    async grantLease(duration: Milliseconds): Promise<PlatformLeaseId> {
        return await this.#perform({ kind: "grant", duration }) as PlatformLeaseId;
    }

    async renewLease(lease: PlatformLeaseId): Promise<boolean> {
        return await this.#perform({ kind: "renew", lease }) as boolean;
    }

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

    /** Before the first answer the response time is unknown, and the shortest delay applies. */
    get #relayDelay(): Milliseconds {
        return this.#responseTimes.hasSamples ? this.#responseTimes.timeout : minRelayDelay;
    }

    /** Makes the call directly, and also through other VMs when it fails or is late. */
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
                this.#responseTimes.recordResponse(clock.monotonic() - sentAt);
                this.#nextDirectBackoff = isAnswered ? this.#nextDirectBackoff : initialDirectBackoff;
                answer(value);
            };
            const alsoRelay = (): Promise<void> =>
                relayed ??= this.#performRelayed(operation).then(value => {
                    if (!isAnswered) {
                        answer(value);
                        void this.#checkDirect();
                    }
                });
            called.then(answerDirect, cause => alsoRelay().catch(() => reject(cause)));
            const delay = this.#isCheckingDirect ? 0 : this.#relayDelay;
            void clock.sleep(delay).then(() => isAnswered ? undefined : alsoRelay().catch(() => undefined));
        });
    }

    /** Asks other VMs, each a little after the one before; the first answer counts. */
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
                throw new PlatformUnavailableError("another VM has already answered");
            }
            return relay(operation);
        });
        return Promise.any(asked)
            .catch((cause: AggregateError) => {
                throw new PlatformUnavailableError(
                    `no other VM got an answer from the store: ${String(cause.errors[0])}`,
                );
            })
            .finally(() => answered.abort());
    }

    /** Avoids direct calls if one that is sent now is not answered. Until that is known, calls are made on both routes at once. */
    async #checkDirect(): Promise<void> {
        if (this.#isCheckingDirect || this.#isDirectAvoided()) {
            return;
        }
        this.#isCheckingDirect = true;
        const { direct, checkedKey, clock } = this.options;
        const answered = direct.get(checkedKey).then(() => true, () => false);
        const isAnswered = await Promise.race([answered, clock.sleep(this.#relayDelay).then(() => false)]);
        this.#isCheckingDirect = false;
        if (!isAnswered) {
            this.#backOffDirect();
        }
    }

    #backOffDirect(): void {
        this.#directBackoffUntil = this.options.clock.monotonic() + this.#nextDirectBackoff;
        this.#nextDirectBackoff = Math.min(this.#nextDirectBackoff * 2, maxDirectBackoff);
        this.options.logger.log(logEvents.storeRelayed);
        const former = this.#routeChanged;
        this.#routeChanged = createAbortController();
        former.abort();
    }
}
