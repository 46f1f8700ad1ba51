/** Discovery of the shard owners and calls to them. */
import {
    type Clock,
    type KeyValue,
    logEvents,
    type Milliseconds,
    type PlatformStore,
    type ShardId,
    shardId,
    type StoredSettings,
} from "@pebbledale/core";
import {
    type EventLogger,
    ownersPrefix,
    type OwnerValue,
    type SchedulerCalls,
    SchedulerClient,
    SchedulerUnreachableError,
} from "@pebbledale/runtime";

/** Maximum duration of one watch on the owner keys, in milliseconds. */
const maxWatchDuration = 20_000;
const watchRetryDelay = 500;
/** Timeout of a query to one scheduler for its shards or settings, in milliseconds. */
const queryTimeout = 300;
/** Delay before a call is repeated after the owner was looked up again, in milliseconds. */
const lookupDelay = 50;

/** Thrown when no owner answered in time. If `mayHaveArrived` is set, a call may have taken effect. */
export class NoOwnerError extends Error {
    override readonly name = "NoOwnerError";

    constructor(shard: ShardId, readonly mayHaveArrived: boolean) {
        super(`no owner of ${shard} answered in time`);
    }
}

/** Calls the owner of a shard, whichever scheduler that is. */
export interface OwnerClient {
    /**
     * Calls the owner of a shard and, if that fails, whichever scheduler owns it by then; the call must therefore be
     * safe to repeat. Rejects with {@link NoOwnerError} if no owner has answered within `timeout`.
     */
    call<Answer extends OwnerAnswer>(
        shard: ShardId,
        timeout: Milliseconds,
        request: (calls: SchedulerCalls, signal: AbortSignal) => Promise<Answer>,
        attemptTimeout?: Milliseconds,
    ): Promise<Exclude<Answer, { kind: "not-owner"; }>>;
}

/** Dependencies of the owner directory. */
export interface OwnerDirectoryOptions {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly schedulerAddresses: readonly string[];
    readonly signal: AbortSignal;
}

/** Common form of all answers to calls, distinguished by `kind`. */
export interface OwnerAnswer {
    readonly kind: string;
}

/**
 * Tracks which scheduler owns each shard.
 *
 * Owners are read from a watch on the platform's store. When a call to an owner fails, all schedulers are asked which
 * shards they own, so that calls also find a new owner while the platform does not answer.
 */
export class OwnerDirectory implements OwnerClient {
    readonly #clients: ReadonlyMap<string, SchedulerClient>;
    readonly #ownerAddresses = new Map<ShardId, string>();

    constructor(private readonly options: OwnerDirectoryOptions) {
        this.#clients = new Map(options.schedulerAddresses.map(address => [address, new SchedulerClient(address)]));
    }

    /** Watches the owner keys in the platform's store until the signal fires. */
    async run(): Promise<void> {
        const { store, clock, signal } = this.options;
        let cursor = "";
        while (!signal.aborted) {
            try {
                (await store.list(ownersPrefix)).forEach(entry => this.#applyEntry(entry));
                cursor = (await store.watch(ownersPrefix, cursor, maxWatchDuration, signal)).cursor;
            }
            catch {
                cursor = "";
                await clock.sleep(watchRetryDelay, signal);
            }
        }
    }

    async call<Answer extends OwnerAnswer>(
        shard: ShardId,
        timeout: Milliseconds,
        request: (calls: SchedulerCalls, signal: AbortSignal) => Promise<Answer>,
        attemptTimeout: Milliseconds = timeout,
    ): Promise<Exclude<Answer, { kind: "not-owner"; }>> {
        const { clock, signal } = this.options;
        const deadline = clock.monotonic() + timeout;
        let mayHaveArrived = false;
        while (!signal.aborted) {
            const remaining = deadline - clock.monotonic();
            if (remaining <= 0) {
                break;
            }
            const client = this.#clients.get(this.#ownerAddresses.get(shard) ?? "");
            if (client !== undefined) {
                try {
                    const answer = await client.call(Math.min(remaining, attemptTimeout), request);
                    if (answer.kind !== "not-owner") {
                        return answer as Exclude<Answer, { kind: "not-owner"; }>;
                    }
                }
                catch (cause) {
                    if (!(cause instanceof SchedulerUnreachableError)) {
                        throw cause;
                    }
                    mayHaveArrived = true;
                }
            }
            await this.#lookUpOwner(shard);
            await clock.sleep(lookupDelay, signal);
        }
        throw new NoOwnerError(shard, mayHaveArrived);
    }

    /** Queries all schedulers for the settings they hold; those that do not answer in time are left out. */
    async querySettings(): Promise<StoredSettings[]> {
        const answers = await Promise.allSettled(
            [...this.#clients.values()].map(client =>
                client.call(queryTimeout, (calls, signal) => calls.currentSettings.query(undefined, { signal }))
            ),
        );
        return answers.flatMap(answer =>
            answer.status === "fulfilled" && answer.value !== undefined ? [answer.value] : []
        );
    }

    async close(): Promise<void> {
        await Promise.all([...this.#clients.values()].map(client => client.close()));
    }

    /**
     * Asks all schedulers which shards they own. Several may claim the same shard; the one with the highest epoch owns
     * it.
     */
    async #lookUpOwner(shard: ShardId): Promise<void> {
        let highestEpoch = 0;
        await Promise.allSettled([...this.#clients].map(async ([address, client]) => {
            const owned = await client.call(
                queryTimeout,
                (calls, signal) => calls.ownedShards.query(undefined, { signal }),
            );
            const epoch = owned.find(entry => entry.shard === shard)?.epoch ?? 0;
            if (epoch > highestEpoch) {
                highestEpoch = epoch;
                this.#ownerAddresses.set(shard, address);
            }
        }));
    }

    /** An unreadable entry is skipped: the owner of its shard is then found by asking the schedulers. */
    #applyEntry({ key, value }: KeyValue): void {
        const shard = shardId(key.slice(ownersPrefix.length));
        try {
            this.#setOwner(shard, JSON.parse(value) as OwnerValue);
        }
        catch (cause) {
            this.options.logger.log(logEvents.ownerEntryUnreadable, { shard, cause: String(cause) });
        }
    }

    #setOwner(shard: ShardId, owner: OwnerValue): void {
        if (this.#ownerAddresses.get(shard) !== owner.address) {
            this.#ownerAddresses.set(shard, owner.address);
            this.options.logger.log(logEvents.ownerChanged, { shard, owner: owner.process });
        }
    }
}
