/** Answers what fronts ask for their callers, each as truly as the owner knows at the moment. */
import type { CellScheduler, JobDefinition } from "@pebbledale/cell";
import type { Clock, JobId, Journal, OrganisationName } from "@pebbledale/core";
import { NotNowReason, type OwnerReply, type OwnerRequest } from "../protocol/index.js";
import { recordLimit, stalledAfter, stalledRetryAfter } from "./constants.js";
import type { OutageLog } from "./outage-log.js";

/** What a desk needs. */
export interface RequestDeskOptions {
    readonly cell: CellScheduler;
    readonly journal: Journal;
    readonly clock: Clock;
    /** Fires when the cell is lost to another owner. */
    readonly lost: AbortSignal;
    /** Carries out what the inputs so far led to; resolves to whether all records so far are kept. */
    readonly turn: () => Promise<boolean>;
    /** Whether nobody else can own the cell now. */
    readonly isConfirmed: () => boolean;
    /** Told how callers are answered while no record is kept. */
    readonly outages?: Pick<OutageLog, "noteRefused" | "noteUncertain">;
}

/** See the module's comment. */
export class RequestDesk {
    constructor(private readonly options: RequestDeskOptions) {}

    /** Answers one request. */
    async reply(request: OwnerRequest): Promise<OwnerReply> {
        const { cell } = this.options;
        switch (request.kind) {
            case "pending":
                return { kind: "pending", count: cell.pendingOf(request.queue) };
            case "state": {
                if (!this.#isOpenTo(request)) {
                    return { kind: "unknown-job" };
                }
                const state = cell.stateOf(request.job);
                return state === undefined ? this.#unknown(request.job) : { kind: "state", state };
            }
            case "submit":
                return this.#submit(request.definition);
            case "cancel":
                return this.#isOpenTo(request) ? this.#cancel(request.job) : { kind: "unknown-job" };
        }
    }

    /**
     * Whether a caller of an organisation may see and cancel a job. To others it is a job that is not there: they learn of no ids. One that
     * was handed in without a key is everyone's.
     */
    #isOpenTo(
        { job, organisation }: { readonly job: JobId; readonly organisation?: OrganisationName | undefined; },
    ): boolean {
        const owner = this.options.cell.jobs.get(job)?.organisation;
        return owner === undefined || owner === organisation;
    }

    /**
     * A job whose acceptance is not kept yet is neither known nor unknown. That there is none is said only while nobody else can own
     * the cell: an owner that stood still was replaced meanwhile, and denied jobs that the next one had taken.
     */
    #unknown(job: JobId): OwnerReply {
        if (this.options.cell.jobs.has(job)) {
            return notNow(NotNowReason.NotKeptYet);
        }
        return this.options.isConfirmed() ? { kind: "unknown-job" } : notNow(NotNowReason.OwnerUnconfirmed);
    }

    async #submit(definition: JobDefinition): Promise<OwnerReply> {
        const { cell, journal, outages } = this.options;
        if (!this.#isOpenTo(definition)) {
            return { kind: "id-taken" };
        }
        const known = cell.jobs.get(definition.job);
        if (known?.isKept === true) {
            cell.submit(definition);
            return { kind: "accepted" };
        }
        if (known === undefined && journal.silentFor() > stalledAfter) {
            outages?.noteRefused();
            return notNow(NotNowReason.JournalStalled);
        }
        if (known === undefined && !cell.knowsTermsOf(definition)) {
            // The VM that asks knows a newer configuration; this owner will in a moment.
            return notNow(NotNowReason.QueueUnknown);
        }
        if (known === undefined && cell.isBeyondLimit(definition)) {
            return { kind: "beyond-limit" };
        }
        cell.submit(definition);
        return await this.#untilKept() ? { kind: "accepted" } : { kind: "uncertain" };
    }

    async #cancel(job: JobId): Promise<OwnerReply> {
        if (!this.options.cell.cancel(job)) {
            return this.#unknown(job);
        }
        return await this.#untilKept() ? { kind: "cancelled" } : { kind: "uncertain" };
    }

    /** Whether all that was recorded so far is kept, waited for up to the limit. */
    async #untilKept(): Promise<boolean> {
        const { clock, lost, turn, outages } = this.options;
        const kept = turn().then(isKept => isKept && !lost.aborted);
        const isKept = await Promise.race([kept, clock.sleep(recordLimit).then(() => false)]);
        if (!isKept) {
            outages?.noteUncertain();
        }
        return isKept;
    }
}

const notNow = (reason: NotNowReason): OwnerReply => ({ kind: "not-now", retryAfter: stalledRetryAfter, reason });
