/** Adapter of the platform's key-value service: JSON over HTTP, one path per call. */
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

/** Receives the outcome of each call, so that the load on the platform's service can be monitored. */
export interface PlatformCallObserver {
    /** Called once per call. `answered` is false if there was no valid response. */
    observe(call: string, answered: boolean): void;
}

/** Client of the platform's key-value service at one address. */
export class HttpPlatformStore implements PlatformStore {
    readonly #client: JsonClient;

    constructor(address: string, timeout: Milliseconds, private readonly observer?: PlatformCallObserver) {
        this.#client = new JsonClient(address, { connections, timeout });
    }

    async get(key: string): Promise<KeyValue | undefined> {
        const body = await this.#call("get", { key }) as { entry?: KeyValue; };
        return body.entry;
    }

    async list(prefix: string): Promise<readonly KeyValue[]> {
        const body = await this.#call("list", { prefix }) as { entries: KeyValue[]; };
        return body.entries;
    }

    async compareAndSwap(
        key: string,
        expected: KeyVersion,
        value: string,
        lease?: PlatformLeaseId,
    ): Promise<SwapOutcome> {
        return await this.#call("swap", { key, expected, value, lease }) as SwapOutcome;
    }

    async remove(key: string, expected: KeyVersion): Promise<boolean> {
        const body = await this.#call("remove", { key, expected }) as { removed: boolean; };
        return body.removed;
    }

    async grantLease(duration: Milliseconds): Promise<PlatformLeaseId> {
        const body = await this.#call("lease-grant", { duration }) as { lease: PlatformLeaseId; };
        return body.lease;
    }

    async renewLease(lease: PlatformLeaseId): Promise<boolean> {
        const body = await this.#call("lease-renew", { lease }) as { renewed: boolean; };
        return body.renewed;
    }

    async revokeLease(lease: PlatformLeaseId): Promise<void> {
        await this.#call("lease-revoke", { lease });
    }

    async watch(prefix: string, cursor: string, duration: Milliseconds, signal: AbortSignal): Promise<WatchEvents> {
        return await this.#call("watch", { prefix, cursor, duration }, signal, duration) as WatchEvents;
    }

    close(): Promise<void> {
        return this.#client.close();
    }

    async #call(name: string, body: unknown, signal?: AbortSignal, extraTimeout = 0): Promise<unknown> {
        try {
            const answer = await this.#client.call("POST", `/kv/${name}`, body, signal, extraTimeout);
            if (answer.status !== statusOk) {
                throw new NoAnswerError(`unexpected status ${answer.status}`);
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
