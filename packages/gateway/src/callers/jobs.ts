/** Paths of jobs: submit, look, wait, result, cancel, explain. */
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
import { digestOf, type JobAnswer, type JobRequest, type NoJob, shardOfJob, shardOfText } from "@pebbledale/runtime";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { NoOwnerError, type OwnerCalls } from "../owners/index.js";
import { sendError } from "./replies.js";

/** What the paths need. */
export interface JobRoutesOptions {
    readonly owners: OwnerCalls;
    readonly clock: Clock;
    readonly random: Random;
    readonly shards: number;
}

/** How long a call may take until an owner has answered, in milliseconds. */
const submitLimit: Milliseconds = 5_000;
const lookLimit: Milliseconds = 3_000;
const longestWait: Milliseconds = 60_000;
/** One call that waits at the owner; shorter than a caller's wait, so that a replaced owner is noticed. */
const waitSlice: Milliseconds = 10_000;
/** When to come back while no owner answers. */
const noOwnerRetryAfter: Milliseconds = 1_000;
/** When to come back for a result that is not there yet. */
const resultRetryAfter: Milliseconds = 1_000;
const statusCreated = 201;
const statusFound = 200;

type JobParameters = { job: string; };

/** Adds the paths to a server. */
export const addJobRoutes = (server: FastifyInstance, options: JobRoutesOptions): void => {
    const { owners } = options;
    const look = async (request: FastifyRequest, reply: FastifyReply): Promise<JobAnswer | undefined> => {
        const message = requestOf((request.params as JobParameters).job, options.shards);
        const answer = await owners.call(
            message.shard,
            lookLimit,
            (calls, signal) => calls.view.query(message, { signal }),
            lookLimit / 3,
        );
        return checkFound(answer, reply);
    };

    server.post("/jobs", (request, reply) => submit(request, reply, options));

    server.get("/jobs/:job", async (request, reply) => (await look(request, reply))?.view ?? reply);

    server.get("/jobs/:job/explain", async (request, reply) => {
        const answer = await look(request, reply);
        return answer === undefined ? reply : { job: answer.view, decisions: answer.history };
    });

    server.get("/jobs/:job/result", async (request, reply) => {
        const answer = await look(request, reply);
        if (answer === undefined) {
            return reply;
        }
        return isFinalState(answer.view.state)
            ? answer.view
            : sendError(reply, "not-finished", { reason: answer.view.state, retryAfterMilliseconds: resultRetryAfter });
    });

    server.get("/jobs/:job/wait", async (request, reply) => {
        const wait = Number((request.query as { milliseconds?: string; }).milliseconds ?? longestWait);
        if (!(wait >= 0 && wait <= longestWait)) {
            const findings = [{ place: "query milliseconds", message: `must be from 0 to ${longestWait}` }];
            return sendError(reply, "bad-request", { findings });
        }
        const message = requestOf((request.params as JobParameters).job, options.shards);
        return waitForEnd(message, wait, reply, options);
    });

    server.delete("/jobs/:job", async (request, reply) => {
        const message = requestOf((request.params as JobParameters).job, options.shards);
        const answer = await owners.call(
            message.shard,
            submitLimit,
            (calls, signal) => calls.cancel.mutate(message, { signal }),
        );
        if (answer.kind === "not-recorded") {
            return sendError(reply, "not-recorded", { retryAfterMilliseconds: answer.retryAfter });
        }
        return checkFound(answer, reply)?.view ?? reply;
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
    // A key of our own makes the submission safe to send again while the owner is being replaced.
    const hasKey = parsed.data.key !== undefined;
    const submission: JobSubmission = { ...parsed.data, key: parsed.data.key ?? `drawn-${options.random.name()}` };
    const shard = shardOfText(submission.service ?? submission.key!, options.shards);
    const message = { shard, submission, digest: digestOf(submission) };
    try {
        const answer = await options.owners.call(
            shard,
            submitLimit,
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
        return sendUnknown(reply, submission.key!, hasKey, answer.retryAfter);
    }
    catch (cause) {
        if (cause instanceof NoOwnerError && cause.mayHaveArrived) {
            return sendUnknown(reply, submission.key!, hasKey, noOwnerRetryAfter);
        }
        throw cause;
    }
};

const sendUnknown = (reply: FastifyReply, key: string, hasKey: boolean, retryAfter: Milliseconds): FastifyReply =>
    sendError(reply, "not-recorded", {
        reason: hasKey ? `ask again with key ${key}` : `send it again with "key": "${key}"`,
        retryAfterMilliseconds: retryAfter,
    });

const waitForEnd = async (
    message: JobRequest,
    wait: Milliseconds,
    reply: FastifyReply,
    options: JobRoutesOptions,
): Promise<unknown> => {
    const started = options.clock.monotonic();
    while (true) {
        const rest = Math.max(0, wait - (options.clock.monotonic() - started));
        const slice = Math.min(rest, waitSlice);
        const answer = await options.owners.call(
            message.shard,
            slice + lookLimit,
            (calls, signal) => calls.wait.query({ ...message, wait: slice }, { signal }),
        );
        const found = checkFound(answer, reply);
        if (found === undefined) {
            return reply;
        }
        if (isFinalState(found.view.state) || rest <= slice) {
            return found.view;
        }
    }
};

const checkFound = (answer: JobAnswer | NoJob, reply: FastifyReply): JobAnswer | undefined => {
    if (answer.kind === "no-job") {
        void sendError(reply, "no-such-job");
        return undefined;
    }
    return answer;
};

/** A path names a job by its id, or as `key:KEY` by its caller's key. */
const requestOf = (text: string, shards: number): JobRequest & { shard: ShardId; } => {
    if (text.startsWith("key:")) {
        const key = text.slice("key:".length);
        return { shard: shardOfText(key, shards), key };
    }
    const job: JobId = jobId(text);
    return { shard: text.includes(".") ? shardOfJob(job) : shardOfText(text, shards), job };
};
