/** Finds the owner of a shard: from a watch on the platform, and from the schedulers themselves while that is silent. */
import {
    type Clock,
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

/** Longest wait in one watch, in milliseconds. */
const maxWatchDuration = 20_000;
const watchRetryDelay = 500;
/** How long a scheduler may take to say which shards it owns, in milliseconds. */
const queryTimeout = 300;
/** Wait before the owner is looked for again, in milliseconds. */
const lookupDelay = 50;

/** Thrown when no owner answered in time. Whether a call had an effect is not known if `mayHaveArrived`. */
export class NoOwnerError extends Error {
    override readonly name = "NoOwnerError";

    constructor(shard: ShardId, readonly mayHaveArrived: boolean) {
        super(`no owner of ${shard} answered in time`);
    }
}

/** Calls to the owner of a shard, whoever that is. */
export interface OwnerClient {
    /** See {@link OwnerDirectory.call}. */
    call<Answer extends OwnerAnswer>(
        shard: ShardId,
        timeout: Milliseconds,
        request: (calls: SchedulerCalls, signal: AbortSignal) => Promise<Answer>,
        attemptTimeout?: Milliseconds,
    ): Promise<Exclude<Answer, { kind: "not-owner"; }>>;
}

/** What the directory needs. */
export interface OwnerDirectoryOptions {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly schedulerAddresses: readonly string[];
    readonly signal: AbortSignal;
}

/** Every answer says its kind. */
export interface OwnerAnswer {
    readonly kind: string;
}

/** See the module's comment. */
export class OwnerDirectory implements OwnerClient {
    readonly #clients: ReadonlyMap<string, SchedulerClient>;
    readonly #ownerAddresses = new Map<ShardId, string>();

    constructor(private readonly options: OwnerDirectoryOptions) {
        this.#clients = new Map(options.schedulerAddresses.map(address => [address, new SchedulerClient(address)]));
    }

    /** Watches the owners until the signal fires. */
    async run(): Promise<void> {
        const { store, clock, signal } = this.options;
        let cursor = "";
        while (!signal.aborted) {
            try {
                for (const entry of await store.list(ownersPrefix)) {
                    this.#setOwner(
                        shardId(entry.key.slice(ownersPrefix.length)),
                        JSON.parse(entry.value) as OwnerValue,
                    );
                }
                cursor = (await store.watch(ownersPrefix, cursor, maxWatchDuration, signal)).cursor;
            }
            catch {
                cursor = "";
                await clock.sleep(watchRetryDelay, signal);
            }
        }
    }

    /**
     * Makes a call to the owner of a shard, whoever that is by then; for calls that may be made twice.
     * Rejects with {@link NoOwnerError} when none answered within `limit` milliseconds.
     */
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

    /** The settings that each scheduler holds. */
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

    /** Ends all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.#clients.values()].map(client => client.close()));
    }

    /** Asks every scheduler which shards it owns. One that was cut off may believe it still does; the epoch tells. */
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

    #setOwner(shard: ShardId, owner: OwnerValue): void {
        if (this.#ownerAddresses.get(shard) !== owner.address) {
            this.#ownerAddresses.set(shard, owner.address);
            this.options.logger.log(logEvents.ownerChanged, { shard, owner: owner.process });
        }
    }
}
