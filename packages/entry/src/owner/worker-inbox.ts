/** Handling of VMs' reports on workers. */
import type { CellScheduler } from "@pebbledale/cell";
import type { Clock, Milliseconds, WorkerId } from "@pebbledale/core";
import type { WorkerMessage } from "../protocol/index.js";
import type { Assignment, Assignments } from "./assignments.js";
import { lookAgeMargin } from "./constants.js";
import type { VmLink } from "./vm-link.js";

/** Dependencies of the report handler. */
export interface WorkerInboxOptions {
    readonly cell: CellScheduler;
    readonly assignments: Assignments;
    readonly clock: Clock;
    /** When all leases granted by earlier owners have expired, also at unreachable workers, on the monotonic clock. */
    readonly formerLeasesOverAt: Milliseconds;
    /** Called when a worker has seen a higher fencing token than this owner's. */
    readonly onFenced: (worker: WorkerId) => void;
}

/** Applies the reports of VMs on their links to the scheduler, and ignores reports of links that have been replaced. */
export class WorkerInbox {
    constructor(private readonly options: WorkerInboxOptions) {}

    take(link: VmLink, message: WorkerMessage): void {
        const { cell, assignments, onFenced } = this.options;
        const assignment = assignments.under(message.assignment, message.worker, link);
        if (assignment === undefined) {
            // The worker has another link by now, whose first poll reports everything. A poll of the former link would
            // settle orders that may still reach the worker.
            return;
        }
        switch (message.kind) {
            case "looked":
                this.#takeLook(link, assignment, message);
                break;
            case "ends":
                cell.takeEnds(message.worker, message.ended);
                break;
            case "started":
                this.#takeStarted(message);
                break;
            case "silent":
                cell.takeSilence(message.worker, this.#lapsesAt(message.worker, message.lapsesIn), {
                    cause: message.cause,
                    heardAgo: message.heardAgo,
                });
                break;
            case "restarted":
                cell.takeRestart(message.worker, message.life);
                assignments.noteRestart(message.worker);
                assignments.noteDoubt(message.worker, message.doubtfulFor ?? 0);
                this.#endLink(link, message.worker);
                break;
            case "other-life":
                cell.takeOtherLife(message.worker);
                this.#endLink(link, message.worker);
                break;
            case "fenced":
                onFenced(message.worker);
                break;
        }
    }

    /** Removes a link whose worker has another incarnation: a link serves one incarnation only. */
    #endLink(link: VmLink, worker: WorkerId): void {
        link.channel.send({ kind: "unassign", worker });
        this.options.assignments.remove(worker);
    }

    #takeLook(link: VmLink, assignment: Assignment, { worker, look, age }: WorkerMessage & { kind: "looked"; }): void {
        const { cell, clock } = this.options;
        const settledBefore = assignment.hasLooked ? -Infinity : assignment.since;
        assignment.hasLooked = true;
        this.#resumeIfSilent(link, worker);
        cell.takeLook(worker, look, clock.monotonic() - age - lookAgeMargin, settledBefore);
    }

    /** Allows leases again at a worker that answers after a silence, as expired leases have been taken into account. */
    #resumeIfSilent(link: VmLink, worker: WorkerId): void {
        if (this.options.cell.workers.get(worker)?.silentSince !== undefined) {
            link.channel.send({ kind: "resume", worker });
        }
    }

    #takeStarted({ worker, task, run, refusal }: WorkerMessage & { kind: "started"; }): void {
        const { cell } = this.options;
        if (refusal === undefined) {
            cell.startTaken(worker, task, run);
            return;
        }
        cell.startRefused(worker, task, run, refusal === "not-delivered" ? undefined : refusal);
    }

    /** Before this owner's first poll of the worker, leases of an earlier owner may outlast those of the link. */
    #lapsesAt(worker: WorkerId, lapsesIn: Milliseconds): Milliseconds {
        const { cell, clock, formerLeasesOverAt } = this.options;
        const lapsesAt = clock.monotonic() + lapsesIn;
        return cell.workers.get(worker)?.isClaimed === true ? lapsesAt : Math.max(lapsesAt, formerLeasesOverAt);
    }
}
