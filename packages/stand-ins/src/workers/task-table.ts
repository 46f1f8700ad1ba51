/** Tasks of one worker under leases, as the workers' protocol has them. */
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

/** What a task of the stand-in does; the payload of a job. */
export interface TaskPayload {
    readonly runMilliseconds?: number;
    readonly output?: string;
    readonly fail?: boolean;
    /** Processors that it uses whatever it was granted; its grant if absent. */
    readonly usesProcessors?: number;
}

/** A task that runs. */
export interface LiveTask {
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly grant: Resources;
    readonly payload: TaskPayload;
    readonly serves: boolean;
    leaseEndsAt: number;
    endsAt: number;
    readonly startedAt: number;
    serviceAddress?: string;
    isStopping: boolean;
    /** Set by a throttle message: it uses no more than this. */
    throttledTo?: number;
}

/** How late usage is reported, in milliseconds. */
const usageLag = 500;

/** Usage as the worker reports it: late, so at first nothing is known beyond the grant. */
export const usageOf = (task: LiveTask, now: number): Resources => {
    const used = (task.payload.usesProcessors ?? task.grant.processorThousandths / 1000) * 1000;
    const isKnown = now - task.startedAt >= usageLag;
    const processorThousandths = isKnown
        ? Math.min(used, task.throttledTo ?? Infinity)
        : task.grant.processorThousandths;
    return { ...task.grant, processorThousandths };
};

/** What a table needs of its worker. */
export interface TaskTableOptions {
    readonly worker: string;
    readonly capacity: Resources;
    readonly audit?: AuditLog;
    /** Whether every task fails as soon as it starts. */
    readonly failsAll: () => boolean;
    /** Ends what serves a task; resolves once its live requests are answered. */
    readonly stopServing: (task: LiveTask) => Promise<void>;
    /** Told when a task ended, so that a waiting heartbeat is answered. */
    readonly changed: () => void;
}

const keyOf = (task: TaskId, attempt: Attempt): string => `${task}#${attempt}`;
/** Numbers of reports that are remembered. */
const rememberedNumbers = 200;

/** See the module's comment. Times are milliseconds of the worker's monotonic clock. */
export class TaskTable {
    readonly running = new Map<string, LiveTask>();
    readonly ended = new Map<string, EndedTask>();
    readonly #refused = new Map<string, WorkerRefusal>();
    readonly #issuedAt = new Map<number, number>();
    #number = 0;
    #epoch = 0 as Epoch;
    isLeaving = false;

    constructor(private readonly options: TaskTableOptions) {}

    /** Takes an epoch if it is not older than the highest seen. */
    accepts(epoch: Epoch): boolean {
        if (epoch < this.#epoch) {
            return false;
        }
        this.#epoch = epoch;
        return true;
    }

    /** Issues the number of a report. */
    issueNumber(now: number): number {
        this.#number++;
        this.#issuedAt.set(this.#number, now);
        this.#issuedAt.delete(this.#number - rememberedNumbers);
        return this.#number;
    }

    /** Renews leases and forgets acknowledged ends. */
    renew(message: HeartbeatMessage): void {
        const issuedAt = this.#issuedAt.get(message.number);
        for (const { task, attempt } of message.acknowledged) {
            this.ended.delete(keyOf(task, attempt));
        }
        for (const { task, attempt } of issuedAt === undefined ? [] : message.renewals) {
            const live = this.running.get(keyOf(task, attempt));
            if (live !== undefined) {
                live.leaseEndsAt = Math.max(live.leaseEndsAt, issuedAt! + message.lease);
            }
        }
    }

    /** Starts a task, or says why not. A copy of an accepted start changes nothing. */
    start(message: StartMessage, now: number): LiveTask | WorkerRefusal | "known" {
        const key = keyOf(message.task, message.attempt);
        const known = this.running.get(key);
        if (known !== undefined) {
            return known;
        }
        if (this.ended.has(key)) {
            return "known";
        }
        const refusal = this.#refused.get(key) ?? this.#refusalOf(message, now);
        if (refusal !== undefined) {
            this.#refused.set(key, refusal);
            this.options.audit?.add("refuse", {
                worker: this.options.worker,
                task: message.task,
                attempt: message.attempt,
                refusal,
            });
            return refusal;
        }
        const payload = (message.payload ?? {}) as TaskPayload;
        const live: LiveTask = {
            task: message.task,
            attempt: message.attempt,
            grant: message.grant,
            payload,
            serves: message.serves,
            leaseEndsAt: this.#issuedAt.get(message.number)! + message.lease,
            endsAt: message.serves ? Infinity : now + (payload.runMilliseconds ?? 0),
            startedAt: now,
            isStopping: false,
        };
        this.running.set(key, live);
        this.#auditStart(live);
        return live;
    }

    /** Begins to stop a task. */
    stop(message: StopMessage, now: number): boolean {
        const live = this.running.get(keyOf(message.task, message.attempt));
        if (live === undefined || live.isStopping) {
            return false;
        }
        live.isStopping = true;
        const kind = message.mode === StopMode.Checkpoint ? EndKind.Checkpointed : EndKind.Stopped;
        void this.options.stopServing(live).then(() => this.#end(live, kind, "", now));
        return true;
    }

    /** Holds a task to an amount of processors. */
    throttle(message: ThrottleMessage): boolean {
        const live = this.running.get(keyOf(message.task, message.attempt));
        if (live === undefined) {
            return false;
        }
        live.throttledTo = message.processorThousandths;
        const { task, attempt, processorThousandths } = message;
        this.options.audit?.add("throttle", { worker: this.options.worker, task, attempt, processorThousandths });
        return true;
    }

    /** Ends what is due: finished runs and lapsed leases. */
    expire(now: number): void {
        for (const live of [...this.running.values()]) {
            if (live.leaseEndsAt <= now) {
                void this.options.stopServing(live);
                this.#end(live, EndKind.LeaseLapsed, "", now);
            }
            else if (!live.isStopping && (live.endsAt <= now || (this.options.failsAll() && !live.serves))) {
                const fails = live.payload.fail === true || this.options.failsAll();
                const output = fails ? "failed as told" : live.payload.output ?? "";
                this.#end(live, fails ? EndKind.Failed : EndKind.Succeeded, output, now);
            }
        }
    }

    /** Ends everything without a word, as a killed VM does. */
    drop(): void {
        for (const live of this.running.values()) {
            this.options.audit?.add("end", {
                worker: this.options.worker,
                task: live.task,
                attempt: live.attempt,
                kind: "killed",
            });
        }
        this.running.clear();
        this.ended.clear();
    }

    #refusalOf(message: StartMessage, now: number): WorkerRefusal | undefined {
        const issuedAt = this.#issuedAt.get(message.number);
        if (issuedAt === undefined) {
            return WorkerRefusal.OldNumber;
        }
        if (now - issuedAt > message.latestStart) {
            return WorkerRefusal.TooLate;
        }
        return this.isLeaving ? WorkerRefusal.Leaving : undefined;
    }

    #end(live: LiveTask, kind: EndKind, output: string, now: number): void {
        const key = keyOf(live.task, live.attempt);
        if (!this.running.delete(key)) {
            return;
        }
        const { task, attempt } = live;
        this.ended.set(key, { task, attempt, kind, output, ranFor: now - live.startedAt });
        this.options.audit?.add("end", { worker: this.options.worker, task, attempt, kind });
        this.options.changed();
    }

    /** Notes the sum of all grants with each start: the proof that a VM is never given more than it has. */
    #auditStart(live: LiveTask): void {
        const { capacity, audit, worker } = this.options;
        const sum = (name: keyof Resources) =>
            [...this.running.values()].reduce((total, task) => total + task.grant[name], 0);
        const isOver = (Object.keys(capacity) as (keyof Resources)[]).some(name => sum(name) > capacity[name]);
        audit?.add("start", {
            worker,
            task: live.task,
            attempt: live.attempt,
            isOver,
            isLeaving: this.isLeaving,
            processors: sum("processorThousandths"),
            epoch: this.#epoch,
        });
    }
}
