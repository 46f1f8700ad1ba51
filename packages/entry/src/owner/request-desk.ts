/** Answers what fronts ask for their callers, each as truly as the owner knows at the moment. */
import type { CellScheduler, JobDefinition } from "@pebbledale/cell";
import type { Clock, JobId, Journal, OrganisationName } from "@pebbledale/core";
import { type OwnerReply, type OwnerRequest, RetryLaterReason } from "../protocol/index.js";
import { commitTimeout, journalStallTimeout, retryLaterDelay } from "./constants.js";
import type { JournalOutageLog } from "./outage-log.js";

/** What a desk needs. */
export interface RequestHandlerOptions {
    readonly cell: CellScheduler;
    readonly journal: Journal;
    readonly clock: Clock;
    /** Fires when the cell is lost to another owner. */
    readonly lost: AbortSignal;
    /** Carries out what the inputs so far led to; resolves to whether all records so far are kept. */
    readonly runTurn: () => Promise<boolean>;
    /** Whether nobody else can own the cell now. */
    readonly isConfirmed: () => boolean;
    /** Told how callers are answered while no record is kept. */
    readonly outageLog?: Pick<JournalOutageLog, "noteRefused" | "noteUncertain">;
}

/** See the module's comment. */
export class RequestHandler {
    constructor(private readonly options: RequestHandlerOptions) {}

    /** Answers one request. */
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
     * Whether a caller of an organisation may see and cancel a job. To others it is a job that is not there: they learn of no ids. One that
     * was handed in without a key is everyone's.
     */
    #isVisibleTo(
        { job, organisation }: { readonly job: JobId; readonly organisation?: OrganisationName | undefined; },
    ): boolean {
        const owner = this.options.cell.jobs.get(job)?.organisation;
        return owner === undefined || owner === organisation;
    }

    /**
     * A job whose acceptance is not kept yet is neither known nor unknown. That there is none is said only while nobody else can own
     * the cell: an owner that stood still was replaced meanwhile, and denied jobs that the next one had taken.
     */
    #unknownJobReply(job: JobId): OwnerReply {
        if (this.options.cell.jobs.has(job)) {
            return retryLater(RetryLaterReason.NotCommittedYet);
        }
        return this.options.isConfirmed() ? { kind: "unknown-job" } : retryLater(RetryLaterReason.OwnerUnconfirmed);
    }

    async #submit(definition: JobDefinition): Promise<OwnerReply> {
        const { cell, journal, outageLog: outages } = this.options;
        if (!this.#isVisibleTo(definition)) {
            return { kind: "id-taken" };
        }
        const known = cell.jobs.get(definition.job);
        if (known?.isCommitted === true) {
            cell.submit(definition);
            return { kind: "accepted" };
        }
        if (known === undefined && journal.silentFor() > journalStallTimeout) {
            outages?.noteRefused();
            return retryLater(RetryLaterReason.JournalStalled);
        }
        if (known === undefined && !cell.knowsTermsOf(definition)) {
            // The VM that asks knows a newer configuration; this owner will in a moment.
            return retryLater(RetryLaterReason.QueueUnknown);
        }
        if (known === undefined && cell.exceedsLimit(definition)) {
            return { kind: "beyond-limit" };
        }
        cell.submit(definition);
        return await this.#untilCommitted() ? { kind: "accepted" } : { kind: "uncertain" };
    }

    async #cancel(job: JobId): Promise<OwnerReply> {
        if (!this.options.cell.cancel(job)) {
            return this.#unknownJobReply(job);
        }
        return await this.#untilCommitted() ? { kind: "cancelled" } : { kind: "uncertain" };
    }

    /** Whether all that was recorded so far is kept, waited for up to the limit. */
    async #untilCommitted(): Promise<boolean> {
        const { clock, lost, runTurn: turn, outageLog: outages } = this.options;
        const kept = turn().then(isKept => isKept && !lost.aborted);
        const isKept = await Promise.race([kept, clock.sleep(commitTimeout).then(() => false)]);
        if (!isKept) {
            outages?.noteUncertain();
        }
        return isKept;
    }
}

const retryLater = (reason: RetryLaterReason): OwnerReply => ({ kind: "not-now", retryAfter: retryLaterDelay, reason });
