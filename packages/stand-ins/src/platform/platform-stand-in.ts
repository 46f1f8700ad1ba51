/** The platform's HTTP interface, with control endpoints for tests. */
import type { ListedWorker, Milliseconds, PlatformLeaseId } from "@pebbledale/core";
import fastify, { type FastifyInstance } from "fastify";
import type { AddressInfo } from "node:net";
import type { AuditLog } from "../audit/index.js";
import { MemoryStore } from "./memory-store.js";

/** Faults that the stand-in injects into calls of the key-value service. */
export interface PlatformFaults {
    /** Connections are closed without a response, and calls have no effect. */
    outage: boolean;
    /** Added to the response time of each call, in milliseconds. */
    delay: Milliseconds;
    /** Number of upcoming writes that take effect without a response. */
    loseAnswers: number;
}

/** The body of `POST /control`; omitted fields keep their values. */
export interface PlatformControl extends Partial<PlatformFaults> {
    readonly workers?: readonly ListedWorker[];
}

/** Calls since the start, as returned by `GET /counts`. */
export interface PlatformCounts {
    readonly reads: number;
    readonly writes: number;
    readonly watches: number;
    readonly bytesWritten: number;
}

const leaseExpiryInterval = 50;
const writeCalls = new Set(["swap", "remove", "lease-grant", "lease-renew", "lease-revoke"]);
/** Prefixes of the keys whose writes are audited; other keys change too often. */
const auditedPrefixes = ["settings/", "owners/"];

interface CallBody {
    readonly key: string;
    readonly prefix: string;
    readonly value: string;
    readonly expected: number;
    readonly lease: PlatformLeaseId;
    readonly duration: number;
    readonly cursor: string;
}

/**
 * Serves the platform's key-value service and VM list from memory on loopback. `POST /control` sets faults and the VM
 * list, `GET /counts` returns call counts.
 */
export class PlatformStandIn {
    readonly store = new MemoryStore();
    readonly faults: PlatformFaults = { outage: false, delay: 0, loseAnswers: 0 };
    readonly counts = { reads: 0, writes: 0, watches: 0, bytesWritten: 0 };
    readonly #server: FastifyInstance = fastify({ logger: false, forceCloseConnections: true, bodyLimit: 4_000_000 });
    readonly #expiryTimer: NodeJS.Timeout;
    #workers: readonly ListedWorker[] = [];

    constructor(private readonly audit?: AuditLog) {
        this.#server.post("/kv/:call", async (request, reply) => {
            const { call } = request.params as { call: string; };
            if (this.faults.outage) {
                request.raw.socket.destroy();
                return reply.hijack();
            }
            const disconnected = new AbortController();
            reply.raw.once("close", () => disconnected.abort());
            const answer = await this.#execute(call, request.body as CallBody, disconnected.signal);
            await this.#wait(this.faults.delay);
            const isLost = writeCalls.has(call) && this.faults.loseAnswers > 0;
            if (isLost || this.faults.outage) {
                this.faults.loseAnswers -= isLost ? 1 : 0;
                request.raw.socket.destroy();
                return reply.hijack();
            }
            return answer;
        });
        this.#server.get("/vms", async () => ({ workers: this.#workers }));
        this.#server.post("/control", async request => {
            this.control(request.body as PlatformControl);
            return {};
        });
        this.#server.get("/counts", async () => this.counts);
        this.#expiryTimer = setInterval(() => this.store.expire(performance.now()), leaseExpiryInterval);
    }

    /** Sets faults and the list of VMs. */
    control({ workers, ...faults }: PlatformControl): void {
        Object.assign(this.faults, faults);
        this.#workers = workers ?? this.#workers;
        this.audit?.add("platform-control", { ...faults, workers: workers?.length });
    }

    /** Starts listening on loopback, by default on a free port; resolves to the address. */
    async listen(port = 0): Promise<string> {
        await this.#server.listen({ host: "127.0.0.1", port });
        return this.address;
    }

    get address(): string {
        return `127.0.0.1:${(this.#server.server.address() as AddressInfo).port}`;
    }

    async close(): Promise<void> {
        clearInterval(this.#expiryTimer);
        await this.#server.close();
    }

    async #execute(call: string, body: CallBody, disconnected: AbortSignal): Promise<unknown> {
        const now = performance.now();
        const { store } = this;
        store.expire(now);
        this.#count(call, body);
        switch (call) {
            case "get":
                return { entry: store.get(body.key) };
            case "list":
                return { entries: store.list(body.prefix) };
            case "swap": {
                const outcome = store.swap(body.key, body.expected, body.value, body.lease);
                this.#auditSwap(body, outcome.kind);
                return outcome;
            }
            case "remove":
                return { removed: store.remove(body.key, body.expected) };
            case "lease-grant":
                return { lease: store.grantLease(body.duration, now) };
            case "lease-renew":
                return { renewed: store.renewLease(body.lease, now) };
            case "lease-revoke":
                store.revokeLease(body.lease);
                return {};
            case "watch":
                return this.#watch(body, disconnected);
            default:
                throw new Error(`unknown platform call: ${call}`);
        }
    }

    async #watch(body: CallBody, disconnected: AbortSignal): Promise<unknown> {
        const changes = this.store.changesAfter(body.prefix, body.cursor);
        if (changes !== undefined) {
            return changes;
        }
        await new Promise<void>(resolve => {
            const finish = () => {
                clearTimeout(timer);
                stopWatching();
                resolve();
            };
            const timer = setTimeout(finish, body.duration);
            const stopWatching = this.store.onChange(body.prefix, finish);
            disconnected.addEventListener("abort", finish, { once: true });
        });
        return this.store.changesAfter(body.prefix, body.cursor) ?? { cursor: this.store.cursor(), changed: [] };
    }

    #count(call: string, body: CallBody): void {
        if (call === "watch") {
            this.counts.watches++;
        }
        else if (writeCalls.has(call)) {
            this.counts.writes++;
            this.counts.bytesWritten += Buffer.byteLength(body.value ?? "");
        }
        else {
            this.counts.reads++;
        }
    }

    #auditSwap(body: CallBody, outcome: string): void {
        if (auditedPrefixes.some(prefix => body.key.startsWith(prefix))) {
            this.audit?.add("swap", { key: body.key, outcome, value: body.value });
        }
    }

    #wait(duration: Milliseconds): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, duration));
    }
}
