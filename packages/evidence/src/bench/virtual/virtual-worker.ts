/** A fake worker in virtual time: runs what it is told to and notes what must never happen. */
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
    /** Processors that it would use if it were let, in thousandths. */
    readonly demandedProcessors: number;
    /** Set by a throttle message. */
    processorLimit: number;
}

const usedProcessors = (task: VirtualTask): number => Math.min(task.demandedProcessors, task.processorLimit);

/** What the fakes noted of all workers of a run. */
export class WorkerStatistics {
    readonly runningCounts = new Map<TaskId, number>();
    readonly startsByTask = new Map<TaskId, number>();
    overCapacityStarts = 0;
    concurrentStarts = 0;
    starts = 0;
    succeeded = 0;
    failed = 0;
}

/** See the module's comment. */
export class VirtualWorker {
    readonly running = new Map<TaskId, VirtualTask>();
    ended: EndedTask[] = [];
    isUp = true;
    isReachable = true;
    isLeaving = false;
    failsAll = false;
    /** A baseline: nothing holds a task to its grant. */
    ignoresThrottle = false;
    #lastReportNumber = 0;
    #incarnation = 1;

    constructor(readonly listed: ListedWorker, private readonly statistics: WorkerStatistics) {}

    /** How the platform lists it. */
    toListedWorker(): ListedWorker {
        return this.isLeaving ? { ...this.listed, state: VmState.Leaving } : this.listed;
    }

    /** What it says of itself. */
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

    /** Processors that are granted here and those that are used, in thousandths. */
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

    /** Holds a task to an amount of processors. */
    throttle(task: TaskId, processorThousandths: number): void {
        const running = this.running.get(task);
        if (running !== undefined && !this.ignoresThrottle) {
            running.processorLimit = processorThousandths;
        }
    }

    /** Starts a task. `usesFactor`: processors that it would use over those declared. */
    start(message: StartMessage, now: number, usageFactor: number): void {
        const { task, attempt, grant } = message;
        const { statistics: notes } = this;
        const demandedProcessors = grant.processorThousandths * usageFactor;
        this.running.set(task, {
            task,
            attempt,
            grant,
            startedAt: now,
            demandedProcessors: demandedProcessors,
            processorLimit: Infinity,
        });
        notes.starts++;
        notes.startsByTask.set(task, (notes.startsByTask.get(task) ?? 0) + 1);
        const runningCount = (notes.runningCounts.get(task) ?? 0) + 1;
        notes.runningCounts.set(task, runningCount);
        notes.concurrentStarts += runningCount > 1 ? 1 : 0;
        notes.overCapacityStarts += this.#isOverCapacity() ? 1 : 0;
    }

    /** Ends a task; false when it no longer runs. */
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

    /** Ends with all its tasks, without a word. */
    kill(): void {
        this.isUp = false;
        [...this.running.keys()].forEach(task => this.#removeTask(task));
        this.ended = [];
        this.#incarnation++;
    }

    #removeTask(task: TaskId): void {
        this.running.delete(task);
        const places = (this.statistics.runningCounts.get(task) ?? 1) - 1;
        if (places === 0) {
            this.statistics.runningCounts.delete(task);
        }
        else {
            this.statistics.runningCounts.set(task, places);
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
