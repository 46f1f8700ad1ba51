/** Handling of start orders between the decision and the worker's answer. */
import { logEvents, type RunNumber, type TaskAddress, type WorkerId } from "@pebbledale/core";
import type { RunLifecycle } from "../runs/index.js";
import { type CellContext, RunPhase, type Step, type TaskRun } from "../state/index.js";
import { OrderRefusal } from "../task-worker/index.js";

/** Follows start orders: sent after their records are committed, then accepted, refused, or dropped before they are sent. */
export class StartDispatcher {
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunLifecycle,
        private readonly onCapacityFreed: () => void,
    ) {}

    startAccepted(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        const taskRun = this.context.workers.get(worker)?.runOf(task, run);
        if (taskRun !== undefined) {
            taskRun.worker.markHeard(this.context.now());
            this.runs.confirm(taskRun);
        }
    }

    /** Handles a start order that was not carried out and will not be. `refusal`: undefined when it never reached the worker. */
    startRefused(worker: WorkerId, task: TaskAddress, run: RunNumber, refusal: OrderRefusal | undefined): void {
        const taskRun = this.context.workers.get(worker)?.runOf(task, run);
        this.context.options.log.log(logEvents.runRefused, { worker, task, run, refusal: refusal ?? "not delivered" });
        if (taskRun === undefined || refusal === undefined && taskRun.confirmedAt !== undefined) {
            return;
        }
        const { step } = taskRun.task;
        if (refusal === OrderRefusal.Ticket) {
            step.permits?.expireTicket(worker);
        }
        this.runs.markNotStarted(taskRun, refusal);
        if (step.definition.isGang) {
            this.stopMembers(step, "a member of its gang was not started");
        }
        this.onCapacityFreed();
    }

    /** Marks a start order as sent, now that its record is committed; false when the run must not be started any more. */
    prepareStart(worker: WorkerId, task: TaskAddress, run: RunNumber): boolean {
        const taskRun = this.context.workers.get(worker)?.runOf(task, run);
        if (taskRun?.phase !== RunPhase.Ordered) {
            return false;
        }
        if (taskRun.worker.isOvercommitted || isHallClosedFor(taskRun)) {
            // The worker's capacity has shrunk, or a data hall was closed, since the decision.
            return false;
        }
        const { permits } = taskRun.task.step;
        if (permits !== undefined && permits.ticketOf(worker, this.context.now()) === undefined) {
            // The ticket expired while the record was being written.
            return false;
        }
        taskRun.sentAt = this.context.now();
        return true;
    }

    /** Abandons a start order that was never sent. */
    dropStart(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        const taskRun = this.context.workers.get(worker)?.runOf(task, run);
        if (taskRun === undefined || taskRun.confirmedAt !== undefined) {
            return;
        }
        this.runs.markNotStarted(taskRun, undefined);
        if (taskRun.task.step.definition.isGang) {
            this.stopMembers(taskRun.task.step, "a member of its gang was not started");
        }
        this.onCapacityFreed();
    }

    /** Stops the remaining members of a gang, which would wait for a member that does not start. */
    stopMembers(step: Step, reason: string): void {
        for (const task of step.tasks) {
            task.runs.forEach(run => this.runs.stop(run, reason));
        }
    }
}

/** Whether a run, or any member of its gang, would start in a closed data hall. */
const isHallClosedFor = ({ task: { step }, worker }: TaskRun): boolean =>
    worker.isHallClosed
    || step.definition.isGang
        && step.tasks.some(({ runs }) => runs.some(run => run.phase === RunPhase.Ordered && run.worker.isHallClosed));
