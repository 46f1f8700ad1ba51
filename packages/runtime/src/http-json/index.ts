/** JSON over HTTP, for the adapters of external systems. */
import { Pool } from "undici";
import { withLinkedSignal } from "../abort/index.js";

/** Thrown when a call got no response in time, or one that violates the protocol. The call may have taken effect. */
export class NoAnswerError extends Error {
    override readonly name = "NoAnswerError";
}

/** A response with its HTTP status and its parsed body. */
export interface JsonResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Options of a {@link JsonClient}. */
export interface JsonClientOptions {
    /** Maximum number of open connections. */
    readonly connections: number;
    /** Time in milliseconds after which a call without a response fails. */
    readonly timeout: number;
}

/** Client of one address over kept-alive connections. */
export class JsonClient {
    readonly #pool: Pool;

    constructor(readonly address: string, private readonly options: JsonClientOptions) {
        this.#pool = new Pool(`http://${address}`, {
            connections: options.connections,
            pipelining: 1,
            keepAliveTimeout: 30_000,
            connectTimeout: options.timeout,
        });
    }

    /** Rejects with {@link NoAnswerError} if there is no response in time. `extraTimeout` is added for long polls. */
    async call(
        method: "GET" | "POST",
        path: string,
        body: unknown,
        signal?: AbortSignal,
        extraTimeout = 0,
    ): Promise<JsonResponse> {
        try {
            return await withLinkedSignal([signal], this.options.timeout + extraTimeout, async linkedSignal => {
                const answer = await this.#pool.request({
                    method,
                    path,
                    headers: { "content-type": "application/json" },
                    body: body === undefined ? undefined : JSON.stringify(body),
                    signal: linkedSignal,
                });
                return { status: answer.statusCode, body: await answer.body.json() };
            });
        }
        catch (cause) {
            throw new NoAnswerError(`${method} ${path} at ${this.address}: ${String(cause)}`, { cause });
        }
    }

    /** Closes all connections; calls in flight fail. */
    close(): Promise<void> {
        return this.#pool.destroy();
    }
}
