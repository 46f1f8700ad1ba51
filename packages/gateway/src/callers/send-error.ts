/** Answers of errors, in one form for all paths. */
import { type ErrorBody, errorBody, type ErrorName, statusOf } from "@pebbledale/core";
import type { FastifyReply } from "fastify";

/** Sends an error of the catalogue; a time to come back goes into `Retry-After`, in whole seconds rounded up. */
export const sendError = (reply: FastifyReply, error: ErrorName, details: Partial<ErrorBody> = {}): FastifyReply => {
    const { retryAfterMilliseconds } = details;
    if (retryAfterMilliseconds !== undefined) {
        void reply.header("retry-after", String(Math.max(1, Math.ceil(retryAfterMilliseconds / 1000))));
    }
    return reply.status(statusOf(error)).send(errorBody(error, details));
};
