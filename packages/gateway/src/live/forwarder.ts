/** Forwards live requests to instances. */
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";

/** A caller's request, buffered whole so that it can be sent again. */
export interface LiveRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query that are sent to the instance. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer | undefined;
}

/** Result of sending a request to an instance once. */
export type SendOutcome =
    /** The caller received the whole response. */
    | { readonly kind: "answered"; readonly status: number; }
    /** The response broke off; the caller's connection was closed. */
    | { readonly kind: "cut"; readonly cause: string; }
    /** The instance has certainly not run the request. */
    | { readonly kind: "not-run"; readonly cause: string; }
    /** No usable response arrived; the instance may have run the request. */
    | { readonly kind: "may-have-run"; readonly cause: string; };

/** The header that carries the id of a request, in both directions. */
export const requestIdHeader = "pebbledale-request-id";
/** The header by which an instance reports that it did not run the request. */
export const refusedHeader = "pebbledale-refused";

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set([
    "connection",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
]);
const keepAliveTimeout = 20_000;
const connectTimeout = 1_000;

/** Codes of errors that occur before any byte of the request is sent. */
const notSentErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/**
 * Sends requests to instances over pooled connections and streams their responses back to the callers, byte for byte.
 */
export class Forwarder {
    readonly #pools = new Map<string, Pool>();

    /** Number of instances with a pool of connections. */
    get poolCount(): number {
        return this.#pools.size;
    }

    /**
     * Sends a request to the instance at `address` and streams its response to `reply`. Writes nothing to `reply` if
     * the outcome is `not-run` or `may-have-run`. `timeout` in milliseconds limits the wait for the head and for each
     * part of the body.
     */
    async send(
        request: LiveRequest,
        address: string,
        reply: ServerResponse,
        timeout: number,
        signal: AbortSignal,
    ): Promise<SendOutcome> {
        let response;
        try {
            response = await this.#poolOf(address).request({
                method: request.method as "GET",
                path: request.path,
                headers: { ...endToEndHeaders(request.headers), [requestIdHeader]: request.id },
                body: request.body,
                headersTimeout: timeout,
                bodyTimeout: timeout,
                signal,
            });
        }
        catch (cause) {
            const code = (cause as { code?: string; }).code ?? "";
            return { kind: notSentErrorCodes.has(code) ? "not-run" : "may-have-run", cause: String(cause) };
        }
        const refused = response.headers[refusedHeader];
        if (refused !== undefined) {
            await response.body.dump();
            return { kind: "not-run", cause: String(refused) };
        }
        const responseId = response.headers[requestIdHeader];
        if (responseId !== undefined && responseId !== request.id) {
            // A response to another request must not reach this caller.
            // Destroying an unread body emits an error, which would be uncaught without a listener.
            response.body.on("error", () => undefined).destroy();
            return { kind: "may-have-run", cause: `the answer belongs to request ${responseId}` };
        }
        reply.writeHead(response.statusCode, { ...responseHeaders(response.headers), [requestIdHeader]: request.id });
        try {
            await pipeline(response.body, reply);
            return { kind: "answered", status: response.statusCode };
        }
        catch (cause) {
            reply.destroy();
            return { kind: "cut", cause: String(cause) };
        }
    }

    async close(): Promise<void> {
        await Promise.all([...this.#pools.values()].map(pool => pool.close()));
    }

    #poolOf(address: string): Pool {
        const known = this.#pools.get(address);
        if (known !== undefined) {
            return known;
        }
        // No limit on connections: slots already limit the concurrent requests to an instance.
        const pool = new Pool(`http://${address}`, { pipelining: 1, keepAliveTimeout, connectTimeout });
        this.#pools.set(address, pool);
        const dropIfUnused = () => this.#dropIfUnused(address, pool);
        pool.on("disconnect", dropIfUnused).on("connectionError", dropIfUnused);
        return pool;
    }

    /** Drops a pool without connections and requests, as its instance may be gone; the next request makes another. */
    #dropIfUnused(address: string, pool: Pool): void {
        // Requests of a lost connection are failed or queued again first.
        setImmediate(() => {
            const { connected, size } = pool.stats;
            if (connected === 0 && size === 0 && this.#pools.get(address) === pool) {
                this.#pools.delete(address);
                // It may have been closed meanwhile, with all others.
                pool.close().catch(() => undefined);
            }
        });
    }
}

const endToEndHeaders = (headers: LiveRequest["headers"]): Record<string, string | string[]> => {
    const forwarded: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopByHopHeaders.has(name)) {
            forwarded[name] = value;
        }
    }
    return forwarded;
};

/** Keeps the instance's `content-length`, so that a caller can detect a truncated body. */
const responseHeaders = (headers: LiveRequest["headers"]): Record<string, string | string[]> => {
    const forwarded = endToEndHeaders(headers);
    const length = headers["content-length"];
    return length === undefined ? forwarded : { ...forwarded, "content-length": length };
};
