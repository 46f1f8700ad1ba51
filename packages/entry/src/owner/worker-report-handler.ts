/** Handling of VMs' reports on workers. */
import type { CellScheduler } from "@pebbledale/cell";
import type { Clock, Milliseconds, WorkerId } from "@pebbledale/core";
import type { WorkerMessage } from "../protocol/index.js";
import type { Assignment, Assignments } from "./assignments.js";
import { pollAgeMargin } from "./constants.js";
import type { VmLink } from "./vm-link.js";

/** Dependencies of the report handler. */
export interface WorkerReportHandlerOptions {
    readonly cell: CellScheduler;
    readonly assignments: Assignments;
    readonly clock: Clock;
    /** When all leases granted by earlier owners have expired, also at unreachable workers, on the monotonic clock. */
    readonly formerLeasesExpireAt: Milliseconds;
    /** Called when a worker has seen a higher fencing token than this owner's. */
    readonly onFenced: (worker: WorkerId) => void;
}

/** Applies the reports of VMs on their links to the scheduler, and ignores reports of links that have been replaced. */
export class WorkerReportHandler {
    constructor(private readonly options: WorkerReportHandlerOptions) {}

    handle(link: VmLink, message: WorkerMessage): void {
        const { cell, assignments, onFenced } = this.options;
        const assignment = assignments.find(message.assignment, message.worker, link);
        if (assignment === undefined) {
            // The worker has another link by now, whose first poll reports everything. A poll of the former link would
            // settle orders that may still reach the worker.
            return;
        }
        switch (message.kind) {
            case "looked":
                this.#handlePoll(link, assignment, message);
                break;
            case "ends":
                cell.applyEnds(message.worker, message.ended);
                break;
            case "started":
                this.#handleStartResult(message);
                break;
            case "silent":
                cell.applySilence(message.worker, this.#leasesExpireAt(assignment, message), {
                    cause: message.cause,
                    heardAgo: message.heardAgo,
                });
                break;
            case "restarted":
                cell.applyRestart(message.worker, message.life);
                assignments.recordRestart(message.worker);
                assignments.extendLateOrderWindow(message.worker, message.doubtfulFor ?? 0);
                this.#endLink(link, message.worker);
                break;
            case "other-life":
                cell.applyReplacement(message.worker);
                this.#endLink(link, message.worker);
                break;
            case "fenced":
                onFenced(message.worker);
                break;
        }
    }

    /** Removes the link of a worker that was restarted or replaced: a link serves one incarnation only. */
    #endLink(link: VmLink, worker: WorkerId): void {
        link.channel.send({ kind: "unassign", worker });
        this.options.assignments.remove(worker);
    }

    #handlePoll(
        link: VmLink,
        assignment: Assignment,
        { worker, look, age }: WorkerMessage & { kind: "looked"; },
    ): void {
        const { cell, clock } = this.options;
        // Only the first complete poll of a link resolves orders that were sent before the link was assigned.
        const resolvedBefore = assignment.hasCompletePoll ? -Infinity : assignment.assignedAt;
        assignment.hasPolled = true;
        assignment.hasCompletePoll ||= look.mayHaveMoreEnds !== true;
        this.#resumeIfSilent(link, worker);
        cell.applyPoll(worker, look, clock.monotonic() - age - pollAgeMargin, resolvedBefore);
    }

    /** Allows leases again at a worker that answers after a silence, as expired leases have been taken into account. */
    #resumeIfSilent(link: VmLink, worker: WorkerId): void {
        if (this.options.cell.workers.get(worker)?.silentSince !== undefined) {
            link.channel.send({ kind: "resume", worker });
        }
    }

    #handleStartResult({ worker, task, run, refusal }: WorkerMessage & { kind: "started"; }): void {
        const { cell } = this.options;
        if (refusal === undefined) {
            cell.startAccepted(worker, task, run);
            return;
        }
        cell.startRefused(worker, task, run, refusal === "not-delivered" ? undefined : refusal);
    }

    /**
     * Until a link has polled the worker, which then refuses the orders of former ones, a former link of this owner may go on to grant leases
     * as long as it may go without hearing the owner. Before this owner's first poll of the worker, leases of an earlier owner may outlast
     * those of the link.
     */
    #leasesExpireAt(
        { hasPolled, formerLinkUntil = -Infinity }: Assignment,
        { worker, lapsesIn }: WorkerMessage & { kind: "silent"; },
    ): Milliseconds {
        const { cell, clock, formerLeasesExpireAt } = this.options;
        const now = clock.monotonic();
        const expireAt = (hasPolled ? now : Math.max(now, formerLinkUntil)) + lapsesIn;
        return cell.workers.get(worker)?.isClaimed === true ? expireAt : Math.max(expireAt, formerLeasesExpireAt);
    }
}
