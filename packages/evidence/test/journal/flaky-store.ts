/** Platform store for journal and settings tests. */
import {
    type KeyValue,
    type KeyVersion,
    type PlatformLeaseId,
    type PlatformStore,
    PlatformUnavailableError,
    type SwapOutcome,
    type WatchEvents,
} from "@pebbledale/core";
import { MemoryStore } from "@pebbledale/stand-ins";

/** What happens to a write: it takes effect and is answered, takes effect without an answer, or has no effect. */
export type WriteOutcome = "answered" | "answer lost" | "call lost";

/** {@link MemoryStore} behind the {@link PlatformStore} interface, with failing writes and a hook before each write. */
export class FlakyStore implements PlatformStore {
    readonly memory = new MemoryStore();
    /** Outcomes of the next writes, in order; writes beyond them are answered. */
    readonly outcomes: WriteOutcome[] = [];
    /** Number of calls of {@link list}. */
    listCalls = 0;
    /** Called before each write takes effect. */
    beforeSwap: ((key: string) => void | Promise<void>) | undefined;

    async get(key: string): Promise<KeyValue | undefined> {
        return this.memory.get(key);
    }

    async list(prefix: string): Promise<readonly KeyValue[]> {
        this.listCalls++;
        return this.memory.list(prefix);
    }

    async compareAndSwap(
        key: string,
        expected: KeyVersion,
        value: string,
        lease?: PlatformLeaseId,
    ): Promise<SwapOutcome> {
        const writeOutcome = this.outcomes.shift() ?? "answered";
        await this.beforeSwap?.(key);
        if (writeOutcome === "call lost") {
            throw new PlatformUnavailableError("lost before it took effect");
        }
        const outcome = this.memory.swap(key, expected, value, lease);
        if (writeOutcome === "answer lost") {
            throw new PlatformUnavailableError("lost after it took effect");
        }
        return outcome;
    }

    async remove(key: string, expected: KeyVersion): Promise<boolean> {
        return this.memory.remove(key, expected);
    }

    async grantLease(duration: number): Promise<PlatformLeaseId> {
        return this.memory.grantLease(duration, 0);
    }

    async renewLease(lease: PlatformLeaseId): Promise<boolean> {
        return this.memory.renewLease(lease, 0);
    }

    async revokeLease(lease: PlatformLeaseId): Promise<void> {
        this.memory.revokeLease(lease);
    }

    async watch(): Promise<WatchEvents> {
        return { cursor: "", changed: [] };
    }
}
