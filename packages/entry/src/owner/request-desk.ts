/** Handling of callers' requests by the owner. */
import type { CellScheduler, JobDefinition } from "@pebbledale/cell";
import type { Clock, JobId, Journal, OrganisationName } from "@pebbledale/core";
import { NotNowReason, type OwnerReply, type OwnerRequest } from "../protocol/index.js";
import { recordLimit, stalledAfter, stalledRetryAfter } from "./constants.js";
import type { OutageLog } from "./outage-log.js";

/** Dependencies of the request handler. */
export interface RequestDeskOptions {
    readonly cell: CellScheduler;
    readonly journal: Journal;
    readonly clock: Clock;
    readonly lost: AbortSignal;
    /** Runs a turn on the inputs received so far; resolves to whether their records are committed. */
    readonly turn: () => Promise<boolean>;
    /** Whether the owner's key is still valid, so that no other VM can own the cell. */
    readonly isConfirmed: () => boolean;
    /** Notified of refused and uncertain requests for the log of outages. */
    readonly outages?: Pick<OutageLog, "noteRefused" | "noteUncertain">;
}

/**
 * Answers the requests that fronts pass on for their callers. A submission or cancellation is only confirmed once its
 * record is committed, and a job is only reported unknown while no other VM can own the cell.
 */
export class RequestDesk {
    constructor(private readonly options: RequestDeskOptions) {}

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
     * Whether a caller of an organisation may see and cancel a job. Jobs of other organisations are reported as
     * unknown, so that their ids are not disclosed. A job submitted without a key is open to everyone.
     */
    #isOpenTo(
        { job, organisation }: { readonly job: JobId; readonly organisation?: OrganisationName | undefined; },
    ): boolean {
        const owner = this.options.cell.jobs.get(job)?.organisation;
        return owner === undefined || owner === organisation;
    }

    /**
     * The reply for a job without a committed state. An owner that is not confirmed must not deny a job: it may have
     * been suspended and replaced, and the job accepted by its successor.
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
            // The VM that asks already has a newer configuration, which this owner is about to receive.
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

    /** Whether all records so far are committed within the timeout. */
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
