/** Adapter of the platform's key-value service: JSON over HTTP, one path a call. */
import {
    type KeyValue,
    type KeyVersion,
    type Milliseconds,
    type PlatformLeaseId,
    type PlatformStore,
    PlatformUnavailableError,
    type SwapOutcome,
    type WatchEvents,
} from "@pebbledale/core";
import { JsonClient, NoAnswerError } from "../http-json/index.js";

const connections = 16;
const statusOk = 200;

/** Counts calls, so that the budget of the platform's service can be watched. */
export interface PlatformCallObserver {
    /** Told once a call. `answered` is false when no answer came. */
    observe(call: string, answered: boolean): void;
}

/** Calls of the platform's service at one address. */
export class HttpPlatformStore implements PlatformStore {
    readonly #client: JsonClient;

    constructor(address: string, timeout: Milliseconds, private readonly observer?: PlatformCallObserver) {
        this.#client = new JsonClient(address, { connections, timeout });
    }

    /** See {@link PlatformStore.get}. */
    async get(key: string): Promise<KeyValue | undefined> {
        const body = await this.#call("get", { key }) as { entry?: KeyValue; };
        return body.entry;
    }

    /** See {@link PlatformStore.list}. */
    async list(prefix: string): Promise<readonly KeyValue[]> {
        const body = await this.#call("list", { prefix }) as { entries: KeyValue[]; };
        return body.entries;
    }

    /** See {@link PlatformStore.compareAndSwap}. */
    async compareAndSwap(
        key: string,
        expected: KeyVersion,
        value: string,
        lease?: PlatformLeaseId,
    ): Promise<SwapOutcome> {
        return await this.#call("swap", { key, expected, value, lease }) as SwapOutcome;
    }

    /** See {@link PlatformStore.remove}. */
    async remove(key: string, expected: KeyVersion): Promise<boolean> {
        const body = await this.#call("remove", { key, expected }) as { removed: boolean; };
        return body.removed;
    }

    /** See {@link PlatformStore.grantLease}. */
    async grantLease(duration: Milliseconds): Promise<PlatformLeaseId> {
        const body = await this.#call("lease-grant", { duration }) as { lease: PlatformLeaseId; };
        return body.lease;
    }

    /** See {@link PlatformStore.renewLease}. */
    async renewLease(lease: PlatformLeaseId): Promise<boolean> {
        const body = await this.#call("lease-renew", { lease }) as { renewed: boolean; };
        return body.renewed;
    }

    /** See {@link PlatformStore.revokeLease}. */
    async revokeLease(lease: PlatformLeaseId): Promise<void> {
        await this.#call("lease-revoke", { lease });
    }

    /** See {@link PlatformStore.watch}. */
    async watch(prefix: string, cursor: string, duration: Milliseconds, signal: AbortSignal): Promise<WatchEvents> {
        return await this.#call("watch", { prefix, cursor, duration }, signal, duration) as WatchEvents;
    }

    /** Ends all connections. */
    close(): Promise<void> {
        return this.#client.close();
    }

    async #call(name: string, body: unknown, signal?: AbortSignal, extraTimeout = 0): Promise<unknown> {
        try {
            const answer = await this.#client.call("POST", `/kv/${name}`, body, signal, extraTimeout);
            if (answer.status !== statusOk) {
                throw new NoAnswerError(`status ${answer.status}`);
            }
            this.observer?.observe(name, true);
            return answer.body;
        }
        catch (cause) {
            this.observer?.observe(name, false);
            throw new PlatformUnavailableError(`${name}: ${String(cause)}`, { cause });
        }
    }
}
