/** The HTTP server that faces callers. */
import { errorBody, type ErrorName, logEvents, type Random } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import fastify, { type FastifyInstance } from "fastify";
import { NoOwnerError } from "../owners/index.js";
import { sendError } from "./send-error.js";

/** A caller that sends its head more slowly than this is cut off, in milliseconds. */
const receiveTimeout = 10_000;
const keepAliveTimeout = 30_000;
const noOwnerRetryAfter = 1_000;

/** What the server needs. */
export interface CallerServerOptions {
    /** Largest body in bytes. */
    readonly bodyLimit: number;
    readonly logger: EventLogger;
    readonly random: Random;
}

/** Makes the server that faces callers, without its paths: limits, and one form for all errors. */
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
            // What is not HTTP, or a head that never ends, gets one clear answer and the end of its connection.
            if (socket.writable) {
                const body = JSON.stringify(errorBody("bad-request", { reason: error.message }));
                socket.write(
                    `HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n`,
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
