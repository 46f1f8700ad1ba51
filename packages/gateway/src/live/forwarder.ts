/** Sends one live request to an instance and its answer back, byte for byte. */
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";

/** A caller's request, read whole so that it can be sent again. */
export interface LiveRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query as the instance is to see them. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer | undefined;
}

/** What became of one send. */
export type SendOutcome =
    /** The whole answer went to the caller. */
    | { readonly kind: "answered"; readonly status: number; }
    /** The answer broke off; the caller sees its connection end. */
    | { readonly kind: "cut"; readonly cause: string; }
    /** The instance surely did not run it. */
    | { readonly kind: "not-run"; readonly cause: string; }
    /** No answer began; it may have run. */
    | { readonly kind: "may-have-run"; readonly cause: string; };

/** The header that carries a request's id. */
export const requestIdHeader = "pebbledale-request-id";
/** The header by which an instance says that it did not run the request. */
export const refusedHeader = "pebbledale-refused";

/** Headers that belong to one connection and are not passed on. */
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

/** Errors that come before any byte of the request was sent. */
const notSentErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Keeps connections to instances. */
export class Forwarder {
    readonly #pools = new Map<string, Pool>();

    /** Sends a request to an instance; the answer's head and body go to `reply` as they come. */
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
            // An answer to another request: it never reaches this caller.
            // Without a listener the end of an unread body would be an error that nobody takes.
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

    /** Ends all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.#pools.values()].map(pool => pool.close()));
    }

    #poolOf(address: string): Pool {
        let pool = this.#pools.get(address);
        if (pool === undefined) {
            // The slots bound how many requests go to an instance at once, and so its connections.
            pool = new Pool(`http://${address}`, { pipelining: 1, keepAliveTimeout, connectTimeout });
            this.#pools.set(address, pool);
        }
        return pool;
    }
}

const endToEndHeaders = (headers: LiveRequest["headers"]): Record<string, string | string[]> => {
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopByHopHeaders.has(name)) {
            kept[name] = value;
        }
    }
    return kept;
};

/** The answer's own length is kept, so that a caller can tell a whole body from a cut one. */
const responseHeaders = (headers: LiveRequest["headers"]): Record<string, string | string[]> => {
    const kept = endToEndHeaders(headers);
    const length = headers["content-length"];
    return length === undefined ? kept : { ...kept, "content-length": length };
};
