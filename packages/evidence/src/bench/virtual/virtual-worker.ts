/** Simulated workers and their statistics. */
import {
    type Attempt,
    type EndedTask,
    EndKind,
    incarnation,
    type ListedWorker,
    type Resources,
    type StartMessage,
    type TaskId,
    VmState,
    type WorkerReport,
} from "@pebbledale/core";

interface VirtualTask {
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly grant: Resources;
    readonly startedAt: number;
    /** Processors it would use without a limit, in thousandths. */
    readonly demandedProcessors: number;
    /** Set by a throttle message, in thousandths. */
    processorLimit: number;
}

const usedProcessors = (task: VirtualTask): number => Math.min(task.demandedProcessors, task.processorLimit);

/**
 * Counts over all workers of a simulation. Two of them count violations of the scheduler's guarantees: `overCapacityStarts`
 * counts starts that exceeded a worker's capacity, `concurrentStarts` starts of tasks that were already running.
 */
export class WorkerStatistics {
    readonly runningCounts = new Map<TaskId, number>();
    readonly startsByTask = new Map<TaskId, number>();
    overCapacityStarts = 0;
    concurrentStarts = 0;
    starts = 0;
    succeeded = 0;
    failed = 0;
}

/** A simulated worker. It runs the tasks that are started on it, checks no leases, and records violations. */
export class VirtualWorker {
    readonly running = new Map<TaskId, VirtualTask>();
    ended: EndedTask[] = [];
    isUp = true;
    isReachable = true;
    isLeaving = false;
    failsAll = false;
    /** Whether throttle messages have no effect; serves as the baseline without enforcement of grants. */
    ignoresThrottle = false;
    #lastReportNumber = 0;
    #incarnation = 1;

    constructor(readonly listed: ListedWorker, private readonly statistics: WorkerStatistics) {}

    /** The worker's entry in the platform's VM list. */
    toListedWorker(): ListedWorker {
        return this.isLeaving ? { ...this.listed, state: VmState.Leaving } : this.listed;
    }

    report(): WorkerReport {
        return {
            worker: this.listed.worker,
            incarnation: incarnation(`${this.listed.worker}-${this.#incarnation}`),
            number: ++this.#lastReportNumber,
            leaving: this.isLeaving,
            running: [...this.running.values()].map(running => ({
                task: running.task,
                attempt: running.attempt,
                usage: { ...running.grant, processorThousandths: usedProcessors(running) },
            })),
            ended: this.ended,
        };
    }

    /**
     * Sums over the running tasks, in thousandths of a processor; `overGrant` is the use beyond the grants.
     */
    processorUsage(): { readonly granted: number; readonly used: number; readonly overGrant: number; } {
        const tasks = [...this.running.values()];
        const sum = (amountOf: (task: VirtualTask) => number) =>
            tasks.reduce((total, task) => total + amountOf(task), 0);
        return {
            granted: sum(task => task.grant.processorThousandths),
            used: sum(usedProcessors),
            overGrant: sum(task => Math.max(0, usedProcessors(task) - task.grant.processorThousandths)),
        };
    }

    /** Limits a task's processor use, unless throttling is ignored. */
    throttle(task: TaskId, processorThousandths: number): void {
        const running = this.running.get(task);
        if (running !== undefined && !this.ignoresThrottle) {
            running.processorLimit = processorThousandths;
        }
    }

    /** Starts a task. `usageFactor` is the ratio of the processors that it demands to its grant. */
    start(message: StartMessage, now: number, usageFactor: number): void {
        const { task, attempt, grant } = message;
        const { statistics } = this;
        const demandedProcessors = grant.processorThousandths * usageFactor;
        this.running.set(task, {
            task,
            attempt,
            grant,
            startedAt: now,
            demandedProcessors,
            processorLimit: Infinity,
        });
        statistics.starts++;
        statistics.startsByTask.set(task, (statistics.startsByTask.get(task) ?? 0) + 1);
        const runningCount = (statistics.runningCounts.get(task) ?? 0) + 1;
        statistics.runningCounts.set(task, runningCount);
        statistics.concurrentStarts += runningCount > 1 ? 1 : 0;
        statistics.overCapacityStarts += this.#isOverCapacity() ? 1 : 0;
    }

    /** Ends a task and reports its end until it is acknowledged; false when this attempt does not run here. */
    end(task: TaskId, attempt: Attempt, kind: EndKind, now: number): boolean {
        const running = this.running.get(task);
        if (running?.attempt !== attempt) {
            return false;
        }
        this.#removeTask(task);
        this.statistics.succeeded += kind === EndKind.Succeeded ? 1 : 0;
        this.statistics.failed += kind === EndKind.Failed ? 1 : 0;
        this.ended = [...this.ended, { task, attempt, kind, output: "", ranFor: now - running.startedAt }];
        return true;
    }

    /** Stops the worker and drops its tasks without reporting their end. */
    kill(): void {
        this.isUp = false;
        [...this.running.keys()].forEach(task => this.#removeTask(task));
        this.ended = [];
        this.#incarnation++;
    }

    #removeTask(task: TaskId): void {
        this.running.delete(task);
        const runningCount = (this.statistics.runningCounts.get(task) ?? 1) - 1;
        if (runningCount === 0) {
            this.statistics.runningCounts.delete(task);
        }
        else {
            this.statistics.runningCounts.set(task, runningCount);
        }
    }

    #isOverCapacity(): boolean {
        const { capacity } = this.listed;
        let processors = 0;
        let memory = 0;
        let slots = 0;
        for (const { grant } of this.running.values()) {
            processors += grant.processorThousandths;
            memory += grant.memoryMebibytes;
            slots += grant.slots;
        }
        return processors > capacity.processorThousandths || memory > capacity.memoryMebibytes
            || slots > capacity.slots;
    }
}
