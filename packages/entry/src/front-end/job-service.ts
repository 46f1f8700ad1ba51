/** Answers callers' requests by forwarding them to the owner. */
import type { JobDefinition } from "@pebbledale/cell";
import type { Clock, JobId, Milliseconds, OrganisationName, QueueName } from "@pebbledale/core";
import { createAbortController } from "@pebbledale/runtime";
import { type OwnerReply, type OwnerRequest, RetryLaterReason } from "../protocol/index.js";
import { answerMargin, maxOwnerWait, minOwnerCallTime, noOwnerRetryAfter, pendingCountLifetime } from "./constants.js";
import type { RequestLog } from "./request-log.js";
import type { JobAnswer, OwnerAccess } from "./types.js";

/**
 * Forwards callers' requests to the owner and retries while the caller's deadline allows it, which is safe as the owner treats
 * repeated requests as one. A request is answered as refused only if it surely had no effect, otherwise as uncertain.
 */
export class JobService {
    /** By the monotonic clock; set when the process stops. */
    #answerDeadline: Milliseconds = Infinity;
    readonly #pendingCounts = new Map<QueueName, { readonly at: Milliseconds; readonly count: number; }>();

    constructor(
        private readonly owner: OwnerAccess,
        private readonly clock: Clock,
        private readonly log: RequestLog,
    ) {}

    /**
     * Sets a deadline by the monotonic clock for the answers to all requests, whatever their own deadlines. Called when the
     * process stops.
     */
    limitAnswersTo(deadline: Milliseconds): void {
        this.#answerDeadline = deadline;
    }

    /** `within`: time until the caller's deadline. */
    submit(definition: JobDefinition, within: Milliseconds): Promise<JobAnswer> {
        return this.#ask({ kind: "submit", definition }, within);
    }

    state(job: JobId, organisation: OrganisationName | undefined, within: Milliseconds): Promise<JobAnswer> {
        return this.#ask({ kind: "state", job, organisation }, within);
    }

    cancel(job: JobId, organisation: OrganisationName | undefined, within: Milliseconds): Promise<JobAnswer> {
        return this.#ask({ kind: "cancel", job, organisation }, within);
    }

    /** Counts the waiting jobs of a queue; the count may be up to {@link pendingCountLifetime} old. */
    async pending(queue: QueueName, within: Milliseconds): Promise<JobAnswer> {
        const now = this.clock.monotonic();
        const known = this.#pendingCounts.get(queue);
        if (known !== undefined && now - known.at < pendingCountLifetime) {
            const cachedAnswer: JobAnswer = { kind: "pending", count: known.count };
            this.log.logAnswer({ kind: "pending", queue }, cachedAnswer, now);
            return cachedAnswer;
        }
        const answer = await this.#ask({ kind: "pending", queue }, within);
        if (answer.kind === "pending") {
            this.#pendingCounts.set(queue, { at: now, count: answer.count });
        }
        return answer;
    }

    async #ask(body: OwnerRequest, within: Milliseconds): Promise<JobAnswer> {
        const since = this.log.now();
        const answer = await this.#askOwner(body, within);
        this.log.logAnswer(body, answer, since);
        return answer;
    }

    /** Repeats the request until it is answered: repeating has no further effect at the owner. */
    async #askOwner(body: OwnerRequest, within: Milliseconds): Promise<JobAnswer> {
        const deadline = Math.min(this.clock.monotonic() + within, this.#answerDeadline) - answerMargin;
        let wasSent = false;
        let hasAskedNextOwner = false;
        for (;;) {
            const left = deadline - this.clock.monotonic();
            if (!this.owner.hasOwner() && left > 0) {
                await this.owner.waitForOwner(Math.min(left, maxOwnerWait));
            }
            if (!this.owner.hasOwner()) {
                return unanswered(body, wasSent, "no owner is known");
            }
            if (deadline - this.clock.monotonic() < minOwnerCallTime) {
                return unanswered(body, wasSent, "too little of the caller's time is left");
            }
            const reply = await this.#withDeadline(this.owner.ask(body), deadline);
            if (reply === "late") {
                return unanswered(body, true, "the owner gave no answer in time");
            }
            if (reply?.kind === "handing-over") {
                if (hasAskedNextOwner) {
                    return unanswered(body, wasSent, "the cell is being handed over");
                }
                hasAskedNextOwner = true;
                await this.owner.waitForOwner(Math.min(deadline - this.clock.monotonic(), maxOwnerWait));
            }
            else if (reply !== undefined) {
                return answerOf(reply);
            }
            else {
                wasSent = true;
            }
        }
    }

    async #withDeadline(
        asked: Promise<OwnerReply | undefined>,
        deadline: Milliseconds,
    ): Promise<OwnerReply | undefined | "late"> {
        const answered = createAbortController();
        const left = Math.max(0, deadline - this.clock.monotonic());
        const late = this.clock.sleep(left, answered.signal).then(() => "late" as const);
        try {
            return await Promise.race([asked, late]);
        }
        finally {
            answered.abort();
        }
    }
}

/** A request that reached an owner may have taken effect, except where it only reads. */
const unanswered = (body: OwnerRequest, wasSent: boolean, reason: string): JobAnswer => {
    const changesNothing = body.kind === "state" || body.kind === "pending";
    return wasSent && !changesNothing
        ? { kind: "uncertain", reason }
        : { kind: "refused", retryAfter: noOwnerRetryAfter, reason };
};

const retryLaterReasons: Readonly<Record<RetryLaterReason, string>> = {
    [RetryLaterReason.JournalStalled]: "the store keeps no records now",
    [RetryLaterReason.QueueUnknown]: "the owner does not know the queue or the organisation yet",
    [RetryLaterReason.DataHallsClosed]: "all workers of the service are in closed data halls",
    [RetryLaterReason.OwnerUnconfirmed]: "the owner does not know the job and is not confirmed to own the cell",
    [RetryLaterReason.NotCommittedYet]: "the job's acceptance is not kept yet",
};

const answerOf = (reply: Exclude<OwnerReply, { readonly kind: "handing-over"; }>): JobAnswer => {
    switch (reply.kind) {
        case "not-now":
            return { kind: "refused", retryAfter: reply.retryAfter, reason: retryLaterReasons[reply.reason] };
        case "uncertain":
            return { kind: "uncertain", reason: "the record was not confirmed in time" };
        default:
            return reply;
    }
};
