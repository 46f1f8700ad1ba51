/** Logs and counts answers to callers. */
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { EntryMetrics } from "../observability/index.js";
import type { OwnerRequest } from "../protocol/index.js";
import type { JobAnswer } from "./types.js";

const maxPathLength = 100;

/** An entry VM's contact with the owner at the time of an answer to a caller. */
export interface OwnerContact {
    readonly epoch: number;
    /** Time since the last message from the owner. */
    readonly silence: Milliseconds;
}

/** What a {@link RequestLog} depends on. */
export interface RequestLogOptions {
    readonly logger: EventLogger;
    readonly metrics: EntryMetrics;
    readonly clock: Clock;
    readonly owner: () => OwnerContact;
}

/** Counts every answer to a caller, and logs those that do not give the caller what it asked for; the owner logs the others. */
export class RequestLog {
    constructor(private readonly options: RequestLogOptions) {}

    /** Current time by the clock that `since` of {@link logAnswer} refers to. */
    now(): Milliseconds {
        return this.options.clock.monotonic();
    }

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
                logger.log(logEvents.requestRejected, { ...fields(), outcome: answer.kind });
                break;
            case "unknown-job":
                logger.log(logEvents.callerUnknownJob, fields());
                break;
        }
    }

    /** Records a request that was rejected before it was sent to the owner. `path` names the queue and the job. */
    logRejection(method: string, path: string, outcome: string, reason: string): void {
        const { logger, metrics } = this.options;
        metrics.recordRequest(method.toLowerCase(), outcome, 0);
        logger.log(logEvents.requestRejected, { method, path: path.slice(0, maxPathLength), outcome, reason });
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
