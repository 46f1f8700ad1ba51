/** Error responses. */
import { type ErrorBody, errorBody, type ErrorName, statusOf } from "@pebbledale/core";
import type { FastifyReply } from "fastify";

/** Sends an error of the catalogue. A retry delay is also sent as `Retry-After`, in seconds rounded up, at least 1. */
export const sendError = (reply: FastifyReply, error: ErrorName, details: Partial<ErrorBody> = {}): FastifyReply => {
    const { retryAfterMilliseconds } = details;
    if (retryAfterMilliseconds !== undefined) {
        void reply.header("retry-after", String(Math.max(1, Math.ceil(retryAfterMilliseconds / 1000))));
    }
    return reply.status(statusOf(error)).send(errorBody(error, details));
};
