/** What becomes of orders to start: sent once their records are kept, taken, refused or dropped. */
import { logEvents, type RunNumber, type TaskAddress, type WorkerId } from "@pebbledale/core";
import type { RunLifecycle } from "../runs/index.js";
import { type CellContext, RunPhase, type Step } from "../state/index.js";
import { OrderRefusal } from "../task-worker/index.js";

/** See the module's comment. */
export class StartDispatcher {
    /** `onRoom`: told when room may have come free. */
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunLifecycle,
        private readonly onCapacityFreed: () => void,
    ) {}

    /** A worker has taken a start. */
    startAccepted(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        const entry = this.context.workers.get(worker)?.runOf(task, run);
        if (entry !== undefined) {
            entry.worker.markHeard(this.context.now());
            this.runs.confirm(entry);
        }
    }

    /** A start was not done and will not be. `refusal`: undefined when it never reached the worker. */
    startRefused(worker: WorkerId, task: TaskAddress, run: RunNumber, refusal: OrderRefusal | undefined): void {
        const entry = this.context.workers.get(worker)?.runOf(task, run);
        this.context.options.log.log(logEvents.runRefused, { worker, task, run, refusal: refusal ?? "not delivered" });
        if (entry === undefined || refusal === undefined && entry.confirmedAt !== undefined) {
            return;
        }
        const { step } = entry.task;
        if (refusal === OrderRefusal.Ticket) {
            step.permits?.expireTicket(worker);
        }
        this.runs.markNotStarted(entry, refusal);
        if (step.definition.isGang) {
            this.stopMembers(step, "a member of its gang was not started");
        }
        this.onCapacityFreed();
    }

    /** Whether a run that was ordered is still to be started, now that its record is kept; it is then sent. */
    prepareStart(worker: WorkerId, task: TaskAddress, run: RunNumber): boolean {
        const entry = this.context.workers.get(worker)?.runOf(task, run);
        if (entry?.phase !== RunPhase.Ordered) {
            return false;
        }
        if (entry.worker.isOvercommitted) {
            // The room has shrunk since the run was decided on.
            return false;
        }
        const { permits } = entry.task.step;
        if (permits !== undefined && permits.ticketOf(worker, this.context.now()) === undefined) {
            // The record took so long that the ticket no longer holds.
            return false;
        }
        entry.sentAt = this.context.now();
        return true;
    }

    /** A run that was ordered is not sent: it is no longer wanted. */
    dropStart(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        const entry = this.context.workers.get(worker)?.runOf(task, run);
        if (entry === undefined || entry.confirmedAt !== undefined) {
            return;
        }
        this.runs.markNotStarted(entry, undefined);
        if (entry.task.step.definition.isGang) {
            this.stopMembers(entry.task.step, "a member of its gang was not started");
        }
        this.onCapacityFreed();
    }

    /** Stops what is left of a gang's run, so that it waits for no member that will not come. */
    stopMembers(step: Step, reason: string): void {
        for (const task of step.tasks) {
            task.runs.forEach(run => this.runs.stop(run, reason));
        }
    }
}
