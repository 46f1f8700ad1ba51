/** Logs and counts what callers are answered. */
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { EntryMetrics } from "../observation/index.js";
import type { OwnerRequest } from "../protocol/index.js";
import type { JobAnswer } from "./types.js";

/** A path is logged up to this length. */
const longestPath = 100;

/** What the front believed of the owner when it answered. */
export interface OwnerContact {
    readonly epoch: number;
    /** How long ago the owner was heard. */
    readonly silence: Milliseconds;
}

/** What the log is made from. */
export interface RequestLogOptions {
    readonly logger: EventLogger;
    readonly metrics: EntryMetrics;
    readonly clock: Clock;
    readonly owner: () => OwnerContact;
}

/** See the module's comment. */
export class RequestLog {
    constructor(private readonly options: RequestLogOptions) {}

    /** Now, by the clock that `since` of {@link logAnswer} is of. */
    now(): Milliseconds {
        return this.options.clock.monotonic();
    }

    /** A request was answered. An answer that gives what was asked for has its line at the owner. */
    logAnswer(request: OwnerRequest, answer: JobAnswer, since: Milliseconds): void {
        const { logger, metrics, owner } = this.options;
        const took = Math.round(this.now() - since);
        metrics.recordRequest(request.kind, answer.kind, took);
        const fields = () => {
            const { epoch, silence } = owner();
            return { request: request.kind, ...subjectOf(request), took, epoch, ownerSilence: Math.round(silence) };
        };
        switch (answer.kind) {
            case "refused":
                logger.log(logEvents.callerRefused, {
                    ...fields(),
                    reason: answer.reason,
                    retryAfter: answer.retryAfter,
                });
                break;
            case "uncertain":
                logger.log(logEvents.callerUncertain, { ...fields(), reason: answer.reason });
                break;
            case "id-taken":
            case "beyond-limit":
                logger.log(logEvents.callerTurnedAway, { ...fields(), outcome: answer.kind });
                break;
            case "unknown-job":
                logger.log(logEvents.callerUnknownJob, fields());
                break;
        }
    }

    /** A request was turned away before the owner was asked. `path`: of the queue and the job that it names. */
    logRejection(method: string, path: string, outcome: string, reason: string): void {
        const { logger, metrics } = this.options;
        metrics.recordRequest(method.toLowerCase(), outcome, 0);
        logger.log(logEvents.callerTurnedAway, { method, path: path.slice(0, longestPath), outcome, reason });
    }
}

const subjectOf = (request: OwnerRequest): { readonly job: string; } | { readonly queue: string; } => {
    switch (request.kind) {
        case "submit":
            return { job: request.definition.job };
        case "pending":
            return { queue: request.queue };
        default:
            return { job: request.job };
    }
};
