/** JSON over HTTP for the adapters of outside systems. */
import { Pool } from "undici";
import { withLinkedSignal } from "../abort/index.js";

/** Thrown when a call got no answer, or an answer that is not of the protocol. */
export class NoAnswerError extends Error {
    override readonly name = "NoAnswerError";
}

/** An answer with its status. */
export interface JsonResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Options of a client. Times in milliseconds. */
export interface JsonClientOptions {
    /** Most connections that are open at once. */
    readonly connections: number;
    /** A call that has no answer by then has failed. */
    readonly timeout: number;
}

/** Calls of one address. */
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

    /** Sends a call; rejects with {@link NoAnswerError} when no answer came in time. `extra` lengthens the time. */
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

    /** Ends all connections. */
    close(): Promise<void> {
        return this.#pool.destroy();
    }
}
