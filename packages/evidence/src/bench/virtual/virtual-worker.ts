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

interface Running {
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly grant: Resources;
    readonly startedAt: number;
    /** Processors that it would use if it were let, in thousandths. */
    readonly wants: number;
    /** Set by a throttle message. */
    throttledTo: number;
}

const usedBy = (task: Running): number => Math.min(task.wants, task.throttledTo);

/** What the fakes noted of all workers of a run. */
export class WorkerNotes {
    readonly runningTasks = new Map<TaskId, number>();
    readonly startsOfTask = new Map<TaskId, number>();
    overCapacity = 0;
    runTwice = 0;
    starts = 0;
    succeeded = 0;
    failed = 0;
}

/** See the module's comment. */
export class VirtualWorker {
    readonly running = new Map<TaskId, Running>();
    ended: EndedTask[] = [];
    isUp = true;
    isReachable = true;
    isLeaving = false;
    failsAll = false;
    /** A baseline: nothing holds a task to its grant. */
    ignoresThrottle = false;
    #number = 0;
    #incarnation = 1;

    constructor(readonly listed: ListedWorker, private readonly notes: WorkerNotes) {}

    /** How the platform lists it. */
    list(): ListedWorker {
        return this.isLeaving ? { ...this.listed, state: VmState.Leaving } : this.listed;
    }

    /** What it says of itself. */
    report(): WorkerReport {
        return {
            worker: this.listed.worker,
            incarnation: incarnation(`${this.listed.worker}-${this.#incarnation}`),
            number: ++this.#number,
            leaving: this.isLeaving,
            running: [...this.running.values()].map(running => ({
                task: running.task,
                attempt: running.attempt,
                usage: { ...running.grant, processorThousandths: usedBy(running) },
            })),
            ended: this.ended,
        };
    }

    /** Processors that are granted here and those that are used, in thousandths. */
    use(): { readonly granted: number; readonly used: number; readonly overGrant: number; } {
        const tasks = [...this.running.values()];
        const sum = (amountOf: (task: Running) => number) => tasks.reduce((total, task) => total + amountOf(task), 0);
        return {
            granted: sum(task => task.grant.processorThousandths),
            used: sum(usedBy),
            overGrant: sum(task => Math.max(0, usedBy(task) - task.grant.processorThousandths)),
        };
    }

    /** Holds a task to an amount of processors. */
    throttle(task: TaskId, processorThousandths: number): void {
        const running = this.running.get(task);
        if (running !== undefined && !this.ignoresThrottle) {
            running.throttledTo = processorThousandths;
        }
    }

    /** Starts a task. `usesFactor`: processors that it would use over those declared. */
    start(message: StartMessage, now: number, usesFactor: number): void {
        const { task, attempt, grant } = message;
        const { notes } = this;
        const wants = grant.processorThousandths * usesFactor;
        this.running.set(task, { task, attempt, grant, startedAt: now, wants, throttledTo: Infinity });
        notes.starts++;
        notes.startsOfTask.set(task, (notes.startsOfTask.get(task) ?? 0) + 1);
        const places = (notes.runningTasks.get(task) ?? 0) + 1;
        notes.runningTasks.set(task, places);
        notes.runTwice += places > 1 ? 1 : 0;
        notes.overCapacity += this.#isOver() ? 1 : 0;
    }

    /** Ends a task; false when it no longer runs. */
    end(task: TaskId, attempt: Attempt, kind: EndKind, now: number): boolean {
        const running = this.running.get(task);
        if (running?.attempt !== attempt) {
            return false;
        }
        this.#forget(task);
        this.notes.succeeded += kind === EndKind.Succeeded ? 1 : 0;
        this.notes.failed += kind === EndKind.Failed ? 1 : 0;
        this.ended = [...this.ended, { task, attempt, kind, output: "", ranFor: now - running.startedAt }];
        return true;
    }

    /** Ends with all its tasks, without a word. */
    kill(): void {
        this.isUp = false;
        [...this.running.keys()].forEach(task => this.#forget(task));
        this.ended = [];
        this.#incarnation++;
    }

    #forget(task: TaskId): void {
        this.running.delete(task);
        const places = (this.notes.runningTasks.get(task) ?? 1) - 1;
        if (places === 0) {
            this.notes.runningTasks.delete(task);
        }
        else {
            this.notes.runningTasks.set(task, places);
        }
    }

    #isOver(): boolean {
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
