/** Routes that submit, view, explain, await and cancel jobs. */
import {
    type Clock,
    isFinalState,
    type JobId,
    jobId,
    type JobSubmission,
    jobSubmissionSchema,
    type Milliseconds,
    type Random,
    type ShardId,
} from "@pebbledale/core";
import {
    allShards,
    digestOf,
    type JobAnswer,
    type JobRequest,
    type NoJob,
    shardOfJob,
    shardOfText,
} from "@pebbledale/runtime";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { NoOwnerError, type OwnerClient } from "../owners/index.js";
import { sendError } from "./send-error.js";

/** Dependencies of the job routes. */
export interface JobRoutesOptions {
    readonly owners: OwnerClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly shardCount: number;
}

/** Timeout of a call that changes a job, including the search for a shard owner that answers. */
const submitTimeout: Milliseconds = 5_000;
/** Timeout of a call that reads a job, including the search for a shard owner that answers. */
const viewTimeout: Milliseconds = 3_000;
/** Maximum time that a caller may wait for the end of a job. */
const maxWait: Milliseconds = 60_000;
/** Maximum wait per call to the owner; shorter than {@link maxWait}, so that a replaced owner is noticed. */
const maxCallWait: Milliseconds = 10_000;
/** Retry delay given to callers while no owner answers. */
const noOwnerRetryAfter: Milliseconds = 1_000;
/** Retry delay given to callers for a result that is not available yet. */
const resultRetryAfter: Milliseconds = 1_000;
const statusCreated = 201;
const statusFound = 200;

type JobParameters = { job: string; };

/** Adds the `/jobs` routes to a server. */
export const addJobRoutes = (server: FastifyInstance, options: JobRoutesOptions): void => {
    const { owners } = options;
    const viewJob = async (request: FastifyRequest, reply: FastifyReply): Promise<JobAnswer | undefined> => {
        const message = parseJobReference((request.params as JobParameters).job, options.shardCount);
        const answer = await owners.call(
            message.shard,
            viewTimeout,
            (calls, signal) => calls.view.query(message, { signal }),
            viewTimeout / 3,
        );
        return requireJob(answer, reply);
    };

    server.post("/jobs", (request, reply) => submit(request, reply, options));

    server.get("/jobs/:job", async (request, reply) => (await viewJob(request, reply))?.view ?? reply);

    server.get("/jobs/:job/explain", async (request, reply) => {
        const answer = await viewJob(request, reply);
        return answer === undefined ? reply : { job: answer.view, decisions: answer.history };
    });

    server.get("/jobs/:job/result", async (request, reply) => {
        const answer = await viewJob(request, reply);
        if (answer === undefined) {
            return reply;
        }
        return isFinalState(answer.view.state)
            ? answer.view
            : sendError(reply, "not-finished", { reason: answer.view.state, retryAfterMilliseconds: resultRetryAfter });
    });

    server.get("/jobs/:job/wait", async (request, reply) => {
        const wait = Number((request.query as { milliseconds?: string; }).milliseconds ?? maxWait);
        if (!(wait >= 0 && wait <= maxWait)) {
            const findings = [{ place: "query milliseconds", message: `must be from 0 to ${maxWait}` }];
            return sendError(reply, "bad-request", { findings });
        }
        const message = parseJobReference((request.params as JobParameters).job, options.shardCount);
        return waitForEnd(message, wait, reply, options);
    });

    server.delete("/jobs/:job", async (request, reply) => {
        const message = parseJobReference((request.params as JobParameters).job, options.shardCount);
        const answer = await owners.call(
            message.shard,
            submitTimeout,
            (calls, signal) => calls.cancel.mutate(message, { signal }),
        );
        if (answer.kind === "not-recorded") {
            return sendError(reply, "not-recorded", { retryAfterMilliseconds: answer.retryAfter });
        }
        return requireJob(answer, reply)?.view ?? reply;
    });
};

const submit = async (
    request: FastifyRequest,
    reply: FastifyReply,
    options: JobRoutesOptions,
): Promise<FastifyReply> => {
    const parsed = jobSubmissionSchema.safeParse(request.body);
    if (!parsed.success) {
        const findings = parsed.error.issues.map(issue => ({
            place: `/${issue.path.join("/")}`,
            message: issue.message,
        }));
        return sendError(reply, "bad-request", { findings });
    }
    // A generated key allows the submission to be sent again while the owner is being replaced.
    const hasCallerKey = parsed.data.key !== undefined;
    const submission: JobSubmission = { ...parsed.data, key: parsed.data.key ?? `drawn-${options.random.name()}` };
    const shard = shardOfText(submission.service ?? submission.key!, options.shardCount);
    const message = { shard, submission, digest: digestOf(submission) };
    try {
        const answer = await options.owners.call(
            shard,
            submitTimeout,
            (calls, signal) => calls.submit.mutate(message, { signal }),
        );
        if (answer.kind === "accepted") {
            const status = answer.repeated ? statusFound : statusCreated;
            return reply.status(status).header("location", `/jobs/${answer.job}`).send({
                job: answer.job,
                key: submission.key,
            });
        }
        if (answer.kind === "refused") {
            const { error, reason, retryAfter } = answer.refusal;
            return sendError(reply, error, { reason, retryAfterMilliseconds: retryAfter });
        }
        return sendNotRecorded(reply, submission.key!, hasCallerKey, answer.retryAfter);
    }
    catch (cause) {
        if (cause instanceof NoOwnerError && cause.mayHaveArrived) {
            return sendNotRecorded(reply, submission.key!, hasCallerKey, noOwnerRetryAfter);
        }
        throw cause;
    }
};

const sendNotRecorded = (
    reply: FastifyReply,
    key: string,
    hasCallerKey: boolean,
    retryAfter: Milliseconds,
): FastifyReply =>
    sendError(reply, "not-recorded", {
        reason: hasCallerKey ? `ask again with key ${key}` : `send it again with "key": "${key}"`,
        retryAfterMilliseconds: retryAfter,
    });

const waitForEnd = async (
    message: JobRequest,
    wait: Milliseconds,
    reply: FastifyReply,
    options: JobRoutesOptions,
): Promise<unknown> => {
    const startedAt = options.clock.monotonic();
    while (true) {
        const remaining = Math.max(0, wait - (options.clock.monotonic() - startedAt));
        const callWait = Math.min(remaining, maxCallWait);
        const answer = await options.owners.call(
            message.shard,
            callWait + viewTimeout,
            (calls, signal) => calls.wait.query({ ...message, wait: callWait }, { signal }),
        );
        const job = requireJob(answer, reply);
        if (job === undefined) {
            return reply;
        }
        if (isFinalState(job.view.state) || remaining <= callWait) {
            return job.view;
        }
    }
};

const requireJob = (answer: JobAnswer | NoJob, reply: FastifyReply): JobAnswer | undefined => {
    if (answer.kind === "no-job") {
        void sendError(reply, "no-such-job");
        return undefined;
    }
    return answer;
};

/** Parses a job reference in a path: the id of a job, or `key:KEY` with the key that its caller chose. */
const parseJobReference = (reference: string, shardCount: number): JobRequest & { shard: ShardId; } => {
    if (reference.startsWith("key:")) {
        const key = reference.slice("key:".length);
        return { shard: shardOfText(key, shardCount), key };
    }
    const job: JobId = jobId(reference);
    const shard = shardOfJob(job);
    // Any owner can tell that a job of no existing shard is unknown.
    return { shard: allShards(shardCount).includes(shard) ? shard : shardOfText(reference, shardCount), job };
};
