/** Task state of one worker. */
import {
    type Attempt,
    type EndedTask,
    EndKind,
    type Epoch,
    type HeartbeatMessage,
    type Resources,
    type StartMessage,
    type StopMessage,
    StopMode,
    type TaskId,
    type ThrottleMessage,
    WorkerRefusal,
} from "@pebbledale/core";
import type { AuditLog } from "../audit/index.js";

/** Job payload that the stand-in understands: how the simulated task behaves. */
export interface TaskPayload {
    readonly runMilliseconds?: number;
    readonly output?: string;
    readonly fail?: boolean;
    /** Number of processors it tries to use, which may exceed its grant; defaults to the grant. */
    readonly usesProcessors?: number;
}

/** A running task. Times are in milliseconds of the worker's monotonic clock. */
export interface TaskExecution {
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly grant: Resources;
    readonly payload: TaskPayload;
    readonly serves: boolean;
    leaseExpiresAt: number;
    endsAt: number;
    readonly startedAt: number;
    serviceAddress?: string;
    isStopping: boolean;
    /** Upper limit of its processor use in thousandths, set by a throttle message. */
    processorLimit?: number;
}

/** Delay before measured usage is reported, in milliseconds. */
const usageReportDelay = 500;

/** Usage as the worker reports it: the grant until a first measurement is available. */
export const reportedUsage = (task: TaskExecution, now: number): Resources => {
    const used = (task.payload.usesProcessors ?? task.grant.processorThousandths / 1000) * 1000;
    const isKnown = now - task.startedAt >= usageReportDelay;
    const processorThousandths = isKnown
        ? Math.min(used, task.processorLimit ?? Infinity)
        : task.grant.processorThousandths;
    return { ...task.grant, processorThousandths };
};

/** The owning worker's properties and callbacks. */
export interface TaskTableOptions {
    readonly worker: string;
    readonly capacity: Resources;
    readonly audit?: AuditLog;
    /** Whether every task that is not a service fails as soon as it starts. */
    readonly failsAll: () => boolean;
    /** Stops serving live requests for a task; resolves once those in progress are answered. */
    readonly closeService: (task: TaskExecution) => Promise<void>;
    /** Called when a task has ended, so that a waiting heartbeat can be answered. */
    readonly onChange: () => void;
}

const attemptKey = (task: TaskId, attempt: Attempt): string => `${task}#${attempt}`;
/** Number of latest reports whose time of issue is kept; starts that refer to earlier reports are refused. */
const maxReportNumbers = 200;

/**
 * Running and ended tasks of one worker under the worker protocol: leases, epochs and report numbers. Times are in
 * milliseconds of the worker's monotonic clock.
 */
export class TaskTable {
    readonly running = new Map<string, TaskExecution>();
    readonly ended = new Map<string, EndedTask>();
    readonly #refusals = new Map<string, WorkerRefusal>();
    readonly #reportIssuedAt = new Map<number, number>();
    #lastReportNumber = 0;
    #highestEpoch = 0 as Epoch;
    isLeaving = false;

    constructor(private readonly options: TaskTableOptions) {}

    /** Records the epoch of a message; false when a higher one has been seen. */
    acceptEpoch(epoch: Epoch): boolean {
        if (epoch < this.#highestEpoch) {
            return false;
        }
        this.#highestEpoch = epoch;
        return true;
    }

    /** Issues the number of the next report and records its time, from which leases are counted. */
    issueReportNumber(now: number): number {
        this.#lastReportNumber++;
        this.#reportIssuedAt.set(this.#lastReportNumber, now);
        this.#reportIssuedAt.delete(this.#lastReportNumber - maxReportNumbers);
        return this.#lastReportNumber;
    }

    /** Renews leases and drops ended tasks that the owner has acknowledged. */
    applyHeartbeat(message: HeartbeatMessage): void {
        const issuedAt = this.#reportIssuedAt.get(message.number);
        for (const { task, attempt } of message.acknowledged) {
            this.ended.delete(attemptKey(task, attempt));
        }
        for (const { task, attempt } of issuedAt === undefined ? [] : message.renewals) {
            const execution = this.running.get(attemptKey(task, attempt));
            if (execution !== undefined) {
                execution.leaseExpiresAt = Math.max(execution.leaseExpiresAt, issuedAt! + message.lease);
            }
        }
    }

    /**
     * Starts a task or refuses it. Idempotent: a repeated start returns the running task, or `known` when it has ended.
     */
    start(message: StartMessage, now: number): TaskExecution | WorkerRefusal | "known" {
        const key = attemptKey(message.task, message.attempt);
        const known = this.running.get(key);
        if (known !== undefined) {
            return known;
        }
        if (this.ended.has(key)) {
            return "known";
        }
        const refusal = this.#refusals.get(key) ?? this.#checkStart(message, now);
        if (refusal !== undefined) {
            this.#refusals.set(key, refusal);
            this.options.audit?.add("refuse", {
                worker: this.options.worker,
                task: message.task,
                attempt: message.attempt,
                refusal,
            });
            return refusal;
        }
        const payload = (message.payload ?? {}) as TaskPayload;
        const execution: TaskExecution = {
            task: message.task,
            attempt: message.attempt,
            grant: message.grant,
            payload,
            serves: message.serves,
            leaseExpiresAt: this.#reportIssuedAt.get(message.number)! + message.lease,
            endsAt: message.serves ? Infinity : now + (payload.runMilliseconds ?? 0),
            startedAt: now,
            isStopping: false,
        };
        this.running.set(key, execution);
        this.#auditStart(execution);
        return execution;
    }

    /** Initiates the stop of a task; false when it does not run or is already stopping. */
    stop(message: StopMessage, now: number): boolean {
        const execution = this.running.get(attemptKey(message.task, message.attempt));
        if (execution === undefined || execution.isStopping) {
            return false;
        }
        execution.isStopping = true;
        const kind = message.mode === StopMode.Checkpoint ? EndKind.Checkpointed : EndKind.Stopped;
        void this.options.closeService(execution).then(() => this.#finish(execution, kind, "", now));
        return true;
    }

    /** Limits a task's processor use; false when it does not run. */
    throttle(message: ThrottleMessage): boolean {
        const execution = this.running.get(attemptKey(message.task, message.attempt));
        if (execution === undefined) {
            return false;
        }
        execution.processorLimit = message.processorThousandths;
        const { task, attempt, processorThousandths } = message;
        this.options.audit?.add("throttle", { worker: this.options.worker, task, attempt, processorThousandths });
        return true;
    }

    /** Ends tasks whose run time is over or whose lease has expired. */
    expire(now: number): void {
        for (const execution of [...this.running.values()]) {
            if (execution.leaseExpiresAt <= now) {
                void this.options.closeService(execution);
                this.#finish(execution, EndKind.LeaseLapsed, "", now);
            }
            else if (
                !execution.isStopping && (execution.endsAt <= now || (this.options.failsAll() && !execution.serves))
            ) {
                const fails = execution.payload.fail === true || this.options.failsAll();
                const output = fails ? "failed as told" : execution.payload.output ?? "";
                this.#finish(execution, fails ? EndKind.Failed : EndKind.Succeeded, output, now);
            }
        }
    }

    /** Drops all tasks without reporting their end, as if the VM had been killed. */
    killAll(): void {
        for (const execution of this.running.values()) {
            this.options.audit?.add("end", {
                worker: this.options.worker,
                task: execution.task,
                attempt: execution.attempt,
                kind: "killed",
            });
        }
        this.running.clear();
        this.ended.clear();
    }

    #checkStart(message: StartMessage, now: number): WorkerRefusal | undefined {
        const issuedAt = this.#reportIssuedAt.get(message.number);
        if (issuedAt === undefined) {
            return WorkerRefusal.OldNumber;
        }
        if (now - issuedAt > message.latestStart) {
            return WorkerRefusal.TooLate;
        }
        return this.isLeaving ? WorkerRefusal.Leaving : undefined;
    }

    #finish(execution: TaskExecution, kind: EndKind, output: string, now: number): void {
        const key = attemptKey(execution.task, execution.attempt);
        if (!this.running.delete(key)) {
            return;
        }
        const { task, attempt } = execution;
        this.ended.set(key, { task, attempt, kind, output, ranFor: now - execution.startedAt });
        this.options.audit?.add("end", { worker: this.options.worker, task, attempt, kind });
        this.options.onChange();
    }

    /** Records with each start whether the sum of all grants exceeds the worker's capacity. */
    #auditStart(execution: TaskExecution): void {
        const { capacity, audit, worker } = this.options;
        const sum = (name: keyof Resources) =>
            [...this.running.values()].reduce((total, task) => total + task.grant[name], 0);
        const isOver = (Object.keys(capacity) as (keyof Resources)[]).some(name => sum(name) > capacity[name]);
        audit?.add("start", {
            worker,
            task: execution.task,
            attempt: execution.attempt,
            isOver,
            isLeaving: this.isLeaving,
            processors: sum("processorThousandths"),
            epoch: this.#highestEpoch,
        });
    }
}
