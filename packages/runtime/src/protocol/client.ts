/** Calls of a scheduler's router, each with a limit of time. */
import { createTRPCClient, createWSClient, type TRPCClient, wsLink } from "@trpc/client";
import { WebSocket } from "ws";
import type { SchedulerRouter } from "./router.js";
import { protocolPath } from "./server.js";

/** Thrown when a scheduler gave no answer in time; the call may or may not have been carried out. */
export class SchedulerUnreachableError extends Error {
    override readonly name = "SchedulerUnreachableError";
}

/** Wait before a lost connection is opened again, in milliseconds. */
const reconnectDelay = 100;

/** Calls of one scheduler. */
export type SchedulerCalls = TRPCClient<SchedulerRouter>;

/** A connection to one scheduler that is opened again when it is lost. */
export class SchedulerClient {
    readonly #connection;
    readonly #calls: SchedulerCalls;

    constructor(readonly address: string) {
        this.#connection = createWSClient({
            url: `ws://${address}${protocolPath}`,
            WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
            retryDelayMs: () => reconnectDelay,
            keepAlive: { enabled: true, intervalMs: 2_000, pongTimeoutMs: 1_000 },
        });
        this.#calls = createTRPCClient<SchedulerRouter>({ links: [wsLink({ client: this.#connection })] });
    }

    /** Makes a call; rejects with {@link SchedulerUnreachableError} when there is no answer within `limit` milliseconds. */
    async call<Answer>(
        limit: number,
        make: (calls: SchedulerCalls, signal: AbortSignal) => Promise<Answer>,
    ): Promise<Answer> {
        const signal = AbortSignal.timeout(Math.ceil(limit));
        try {
            return await make(this.#calls, signal);
        }
        catch (cause) {
            throw new SchedulerUnreachableError(`${this.address}: ${String(cause)}`, { cause });
        }
    }

    /** Ends the connection. */
    async close(): Promise<void> {
        await this.#connection.close();
    }
}
