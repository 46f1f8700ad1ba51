/** Takes in what VMs say of the workers whose links they have. */
import type { CellScheduler } from "@pebbledale/cell";
import type { Clock, Milliseconds, WorkerId } from "@pebbledale/core";
import type { WorkerMessage } from "../protocol/index.js";
import type { Assignment, Assignments } from "./assignments.js";
import { pollAgeMargin } from "./constants.js";
import type { VmLink } from "./vm-link.js";

/** What an inbox needs. */
export interface WorkerReportHandlerOptions {
    readonly cell: CellScheduler;
    readonly assignments: Assignments;
    readonly clock: Clock;
    /** When leases that an earlier owner gave are over, also at a worker that nobody reaches, by the monotonic clock. */
    readonly formerLeasesExpireAt: Milliseconds;
    /** Told of a worker that has seen a later owner. */
    readonly onFenced: (worker: WorkerId) => void;
}

/** See the module's comment. */
export class WorkerReportHandler {
    constructor(private readonly options: WorkerReportHandlerOptions) {}

    /** Takes a message of a VM in. */
    handle(link: VmLink, message: WorkerMessage): void {
        const { cell, assignments, onFenced } = this.options;
        const assignment = assignments.find(message.assignment, message.worker, link);
        if (assignment === undefined) {
            // Another link, at this VM or another, has the worker by now; its first look tells all that is known here. A look of
            // the former one would settle orders that may still reach the worker.
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
                cell.applySilence(message.worker, this.#leasesExpireAt(message.worker, message.lapsesIn), {
                    cause: message.cause,
                    heardAgo: message.heardAgo,
                });
                break;
            case "restarted":
                cell.applyRestart(message.worker, message.life);
                assignments.noteRestart(message.worker);
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

    /** A link belongs to one life of its worker. */
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
        const settledBefore = assignment.hasPolled ? -Infinity : assignment.assignedAt;
        assignment.hasPolled = true;
        this.#resumeIfSilent(link, worker);
        cell.applyPoll(worker, look, clock.monotonic() - age - pollAgeMargin, settledBefore);
    }

    /** A worker that answers again may be given leases from now on: what lapsed meanwhile was taken in. */
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

    /** Until the first look of this owner, an earlier one's leases may run longer than this link's own. */
    #leasesExpireAt(worker: WorkerId, lapsesIn: Milliseconds): Milliseconds {
        const { cell, clock, formerLeasesExpireAt: formerLeasesOverAt } = this.options;
        const lapsesAt = clock.monotonic() + lapsesIn;
        return cell.workers.get(worker)?.isClaimed === true ? lapsesAt : Math.max(lapsesAt, formerLeasesOverAt);
    }
}
