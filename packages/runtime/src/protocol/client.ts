/** Calls of a scheduler's router, each with a limit of time. */
import { createTRPCClient, createWSClient, type TRPCClient, wsLink } from "@trpc/client";
import { WebSocket } from "ws";
import { createAbortController, withLinkedSignal } from "../abort/index.js";
import type { SchedulerRouter } from "./router.js";
import { protocolPath } from "./server.js";

/** Thrown when a scheduler gave no answer in time; the call may or may not have been carried out. */
export class SchedulerUnreachableError extends Error {
    override readonly name = "SchedulerUnreachableError";
}

/** Wait before a lost connection is opened again, in milliseconds. */
const reconnectDelay = 100;
/** How long a call waits for a connection that is being opened, in milliseconds. */
const connectTimeout = 100;
const connectCheckInterval = 10;
/** How long the end of a connection is waited for, in milliseconds. */
const closeTimeout = 300;

/** Calls of one scheduler. */
export type SchedulerCalls = TRPCClient<SchedulerRouter>;

/** A connection to one scheduler that is opened again when it is lost. */
export class SchedulerClient {
    readonly #connection;
    readonly #calls: SchedulerCalls;
    #isOpen = false;
    /** Fires when the present connection is lost: what waits on it is given up at once. */
    #connectionLost = createAbortController();

    constructor(readonly address: string) {
        this.#connection = createWSClient({
            url: `ws://${address}${protocolPath}`,
            WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
            retryDelayMs: () => reconnectDelay,
            onOpen: () => {
                this.#isOpen = true;
            },
            onClose: () => this.#handleClose(),
            keepAlive: { enabled: true, intervalMs: 2_000, pongTimeoutMs: 1_000 },
        });
        this.#calls = createTRPCClient<SchedulerRouter>({ links: [wsLink({ client: this.#connection })] });
    }

    /** Makes a call; rejects with {@link SchedulerUnreachableError} when there is no answer within `limit` milliseconds. */
    async call<Answer>(
        timeout: number,
        invoke: (calls: SchedulerCalls, signal: AbortSignal) => Promise<Answer>,
    ): Promise<Answer> {
        try {
            return await withLinkedSignal([this.#connectionLost.signal], timeout, async signal => {
                if (!this.#isOpen) {
                    await this.#waitForConnection(signal);
                }
                return invoke(this.#calls, signal);
            });
        }
        catch (cause) {
            throw new SchedulerUnreachableError(`${this.address}: ${String(cause)}`, { cause });
        }
    }

    #handleClose(): void {
        this.#isOpen = false;
        this.#connectionLost.abort(new Error("the connection was lost"));
        this.#connectionLost = createAbortController();
    }

    /** Gives a connection that is being opened a moment; a scheduler that is gone costs no more than that. */
    async #waitForConnection(signal: AbortSignal): Promise<void> {
        for (let elapsed = 0; elapsed < connectTimeout && !this.#isOpen; elapsed += connectCheckInterval) {
            signal.throwIfAborted();
            await new Promise(resolve => setTimeout(resolve, connectCheckInterval));
        }
        if (!this.#isOpen) {
            throw new Error("no connection");
        }
    }

    /** Ends the connection. A peer that stands still may never say goodbye; it is not waited for. */
    async close(): Promise<void> {
        const closed = this.#connection.close().catch(() => undefined);
        await Promise.race([closed, new Promise(resolve => setTimeout(resolve, closeTimeout).unref())]);
    }
}
