/** Handling of callers' requests by the owner. */
import type { CellScheduler, JobDefinition } from "@pebbledale/cell";
import type { Clock, JobId, Journal, OrganisationName } from "@pebbledale/core";
import { type OwnerReply, type OwnerRequest, RetryLaterReason } from "../protocol/index.js";
import { commitTimeout, journalStallTimeout, retryLaterDelay, storeAnswerPollInterval } from "./constants.js";
import type { JournalOutageLog } from "./journal-outage-log.js";

/** Dependencies of the request handler. */
export interface RequestHandlerOptions {
    readonly cell: CellScheduler;
    readonly journal: Journal;
    readonly clock: Clock;
    readonly lost: AbortSignal;
    /** Runs a turn on the inputs received so far; resolves to whether their records are committed. */
    readonly runTurn: () => Promise<boolean>;
    /** Whether the owner's key is still valid, so that no other VM can own the cell. */
    readonly isConfirmed: () => boolean;
    /** Notified of refused and uncertain requests for the log of outages. */
    readonly outageLog?: Pick<JournalOutageLog, "countRefused" | "countUncertain">;
}

/**
 * Answers the requests that fronts pass on for their callers. A submission or cancellation is only confirmed once its
 * record is committed, and a job is only reported unknown while no other VM can own the cell.
 */
export class RequestHandler {
    constructor(private readonly options: RequestHandlerOptions) {}

    async reply(request: OwnerRequest): Promise<OwnerReply> {
        const { cell } = this.options;
        switch (request.kind) {
            case "pending":
                return { kind: "pending", count: cell.countPending(request.queue) };
            case "state": {
                if (!this.#isVisibleTo(request)) {
                    return { kind: "unknown-job" };
                }
                const state = cell.stateOf(request.job);
                return state === undefined ? this.#unknownJobReply(request.job) : { kind: "state", state };
            }
            case "submit":
                return this.#submit(request.definition);
            case "cancel":
                return this.#isVisibleTo(request) ? this.#cancel(request.job) : { kind: "unknown-job" };
        }
    }

    /**
     * Whether a caller of an organisation may see and cancel a job. Jobs of other organisations are reported as
     * unknown, so that their ids are not disclosed. A job submitted without a key is open to everyone.
     */
    #isVisibleTo(
        { job, organisation }: { readonly job: JobId; readonly organisation?: OrganisationName | undefined; },
    ): boolean {
        const owner = this.options.cell.jobs.get(job)?.organisation;
        return owner === undefined || owner === organisation;
    }

    /**
     * The reply for a job without a committed state. An owner that is not confirmed must not deny a job: it may have
     * been suspended and replaced, and the job accepted by its successor.
     */
    #unknownJobReply(job: JobId): OwnerReply {
        if (this.options.cell.jobs.has(job)) {
            return retryLater(RetryLaterReason.NotCommittedYet);
        }
        return this.options.isConfirmed() ? { kind: "unknown-job" } : retryLater(RetryLaterReason.OwnerUnconfirmed);
    }

    async #submit(definition: JobDefinition): Promise<OwnerReply> {
        const { cell, journal, outageLog } = this.options;
        if (!cell.jobs.has(definition.job)) {
            await this.#untilJournalAnswers();
        }
        if (!this.#isVisibleTo(definition)) {
            return { kind: "id-taken" };
        }
        const known = cell.jobs.get(definition.job);
        if (known?.isCommitted === true) {
            cell.submit(definition);
            return { kind: "accepted" };
        }
        if (known === undefined && journal.silentFor() > journalStallTimeout) {
            outageLog?.countRefused();
            return retryLater(RetryLaterReason.JournalStalled);
        }
        if (known === undefined && !cell.knowsTermsOf(definition)) {
            // The VM that asks already has a newer configuration, which this owner is about to receive.
            return retryLater(RetryLaterReason.QueueUnknown);
        }
        if (known === undefined && cell.exceedsLimit(definition)) {
            return { kind: "beyond-limit" };
        }
        if (known === undefined && cell.isClosedTo(definition)) {
            return retryLater(RetryLaterReason.DataHallsClosed);
        }
        cell.submit(definition);
        return await this.#untilCommitted() ? { kind: "accepted" } : { kind: "uncertain" };
    }

    /**
     * Waits while the journal's writes are overdue, until they are answered or count as stalled. A job that is submitted
     * meanwhile gets no record yet, so that it can be refused if the store has gone silent.
     */
    async #untilJournalAnswers(): Promise<void> {
        const { journal, clock, lost } = this.options;
        while (journal.isOverdue() && journal.silentFor() <= journalStallTimeout && !lost.aborted) {
            await clock.sleep(storeAnswerPollInterval, lost);
        }
    }

    async #cancel(job: JobId): Promise<OwnerReply> {
        if (!this.options.cell.cancel(job)) {
            return this.#unknownJobReply(job);
        }
        return await this.#untilCommitted() ? { kind: "cancelled" } : { kind: "uncertain" };
    }

    /** Whether all records so far are committed within the timeout. */
    async #untilCommitted(): Promise<boolean> {
        const { clock, lost, runTurn, outageLog } = this.options;
        const committed = runTurn().then(isCommitted => isCommitted && !lost.aborted);
        const isCommitted = await Promise.race([committed, clock.sleep(commitTimeout).then(() => false)]);
        if (!isCommitted) {
            outageLog?.countUncertain();
        }
        return isCommitted;
    }
}

const retryLater = (reason: RetryLaterReason): OwnerReply => ({ kind: "not-now", retryAfter: retryLaterDelay, reason });
