/** HTTP server for callers. */
import { errorBody, type ErrorName, logEvents, type Random } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import fastify, { type FastifyInstance } from "fastify";
import { NoOwnerError } from "../owners/index.js";
import { sendError } from "./send-error.js";

/** Time within which a caller must have sent its whole request, in milliseconds. */
const receiveTimeout = 10_000;
const keepAliveTimeout = 30_000;
const noOwnerRetryAfter = 1_000;

/** Dependencies and limits of the caller server. */
export interface CallerServerOptions {
    /** Maximum size of a request body in bytes. */
    readonly bodyLimit: number;
    readonly logger: EventLogger;
    readonly random: Random;
}

/** Creates the server without routes: it sets the limits and answers every error with a body of the error catalogue. */
export const createCallerServer = ({ bodyLimit, logger, random }: CallerServerOptions): FastifyInstance => {
    const server = fastify({
        logger: false,
        bodyLimit,
        keepAliveTimeout,
        requestTimeout: receiveTimeout,
        return503OnClosing: false,
        forceCloseConnections: "idle",
        genReqId: () => random.name(),
        clientErrorHandler: (error, socket) => {
            // Input that cannot be parsed as HTTP, such as an oversized head, is answered once; then the connection is
            // closed.
            if (socket.writable) {
                const body = JSON.stringify(errorBody("bad-request", { reason: error.message }));
                socket.write(
                    `HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: ${
                        Buffer.byteLength(body)
                    }\r\n`,
                );
                socket.write(`Connection: close\r\n\r\n${body}`);
            }
            socket.destroySoon();
        },
    });
    server.setNotFoundHandler((_request, reply) => sendError(reply, "no-such-path"));
    server.setErrorHandler((error: Error & { code?: string; statusCode?: number; }, request, reply) => {
        if (error instanceof NoOwnerError) {
            return sendError(reply, "no-owner", { reason: error.message, retryAfterMilliseconds: noOwnerRetryAfter });
        }
        const name = errorNameOf(error);
        if (name === "internal") {
            logger.log(logEvents.unexpectedFailure, { request: request.id, cause: error.stack });
        }
        return sendError(reply, name, name === "internal" ? {} : { reason: error.message });
    });
    return server;
};

const errorNameOf = (error: { code?: string; statusCode?: number; }): ErrorName => {
    if (error.code === "FST_ERR_CTP_BODY_TOO_LARGE") {
        return "body-too-large";
    }
    return error.statusCode !== undefined && error.statusCode < 500 ? "bad-request" : "internal";
};
