/** The owner's view of one life of a worker: its room, what runs there and whether it may be ordered. */
import type { Milliseconds, RunNumber, TaskAddress, WorkerId } from "@pebbledale/core";
import type { WorkerEntry } from "../worker-directory/index.js";
import { fullPace } from "./constants.js";
import type { StepDefinition, TaskSize } from "./definition.js";
import type { Step, TaskRun } from "./entities.js";

const runKey = (task: TaskAddress, run: RunNumber): string => `${task}#${run}`;

/** See the module's comment. */
export class WorkerState {
    entry: WorkerEntry | undefined;
    freeProcessor = 0;
    freeMemory = 0;
    freeAccelerators = 0;
    readonly runs = new Map<string, TaskRun>();
    /** Whether this owner has seen what runs there, so that earlier owners' orders are refused. */
    isClaimed = false;
    /** Whether its record is kept, so that a later owner asks it. */
    isRecorded = false;
    /** Since when it does not answer; undefined while it does. */
    silentSince: Milliseconds | undefined;
    /** While silent: when every lease there is over, by the owner's monotonic clock; undefined when not known. */
    lapsesAt: Milliseconds | undefined;
    /** Since when the platform does not list it; undefined while it does. */
    unlistedSince: Milliseconds | undefined;
    /** When it leaves, by the owner's monotonic clock, once it drains. */
    leavesAt: Milliseconds | undefined;
    /** Runs there that belong to no known job; its room is unknown while there are any. */
    strangers = 0;
    /** Takes nothing new before this, by the owner's monotonic clock. */
    quarantinedUntil: Milliseconds = 0;
    /** Its runs make far less progress than expected; taken for slow until then, by the owner's monotonic clock. */
    slowUntil: Milliseconds = 0;
    /** Share of their speed at which tasks that fill may work here, in percent. */
    fillerPace = fullPace;
    /** Its VM is about to have its upkeep: it takes nothing new. */
    isClosed = false;
    /** After a quarantine: takes one run at a time until one succeeds. */
    isOnProbation = false;
    /** Ends up to this number were taken in. */
    takenThrough = 0;

    constructor(readonly id: WorkerId, readonly address: string) {}

    /** Takes in what the worker says of itself. */
    describe(entry: WorkerEntry): void {
        const { processorThousandths, memoryMebibytes, accelerators } = this.#leftOf(entry.capacity);
        this.entry = entry;
        this.freeProcessor = processorThousandths;
        this.freeMemory = memoryMebibytes;
        this.freeAccelerators = accelerators;
    }

    /** Its rack, among its labels. */
    get labels(): readonly string[] {
        return this.entry?.labels ?? [];
    }

    /** Whether new runs may be ordered there. */
    isOpen(now: Milliseconds): boolean {
        return this.entry !== undefined
            && !this.entry.isDraining
            && this.isClaimed
            && this.isRecorded
            && this.silentSince === undefined
            && this.unlistedSince === undefined
            && this.strangers === 0
            && !this.isClosed
            && this.quarantinedUntil <= now
            && this.slowUntil <= now;
    }

    /** How many more tasks of a step it takes, at most `most`. */
    countFitting(step: Step, most: number): number {
        const { size, fills, mostPerWorker } = step.definition;
        let count = this.isOnProbation ? Math.max(0, Math.min(most, 1 - this.runs.size)) : most;
        if (size.processorThousandths > 0 && !fills) {
            count = Math.min(count, Math.floor(this.freeProcessor / size.processorThousandths));
        }
        if (size.memoryMebibytes > 0) {
            count = Math.min(count, Math.floor(this.freeMemory / size.memoryMebibytes));
        }
        if (size.accelerators > 0) {
            count = Math.min(count, Math.floor(this.freeAccelerators / size.accelerators));
        }
        if (mostPerWorker !== undefined && count > 0) {
            count = Math.min(count, mostPerWorker - this.countRunsOf(step));
        }
        return Math.max(0, count);
    }

    /** How many tasks of a step it could hold, were it empty. */
    countWhenEmpty({ definition: { size } }: Step): number {
        const capacity = this.entry?.capacity;
        if (capacity === undefined) {
            return 0;
        }
        return Math.min(
            Math.floor(capacity.processorThousandths / Math.max(1, size.processorThousandths)),
            Math.floor(capacity.memoryMebibytes / Math.max(1, size.memoryMebibytes)),
        );
    }

    /** Whether a task with a latency target runs here. */
    get hasServingRun(): boolean {
        for (const { task } of this.runs.values()) {
            if (task.step.definition.latencyTarget !== undefined) {
                return true;
            }
        }
        return false;
    }

    /** How many runs of a step are here. */
    countRunsOf(step: Step): number {
        let count = 0;
        for (const run of this.runs.values()) {
            count += run.task.step === step ? 1 : 0;
        }
        return count;
    }

    /** Takes a run's room. */
    charge(run: TaskRun): void {
        this.runs.set(runKey(run.task.address, run.run), run);
        this.#change(run.task.step.definition, -1);
    }

    /** Gives a run's room back. */
    discharge(run: TaskRun): void {
        if (this.runs.delete(runKey(run.task.address, run.run))) {
            this.#change(run.task.step.definition, 1);
        }
    }

    /** The run of a name, if it is charged here. */
    runOf(task: TaskAddress, run: RunNumber): TaskRun | undefined {
        return this.runs.get(runKey(task, run));
    }

    #change({ size, fills }: StepDefinition, sign: number): void {
        this.freeProcessor += fills ? 0 : sign * size.processorThousandths;
        this.freeMemory += sign * size.memoryMebibytes;
        this.freeAccelerators += sign * size.accelerators;
    }

    #leftOf(capacity: TaskSize): TaskSize {
        const left = { ...capacity };
        for (const { task } of this.runs.values()) {
            const { size, fills } = task.step.definition;
            left.processorThousandths -= fills ? 0 : size.processorThousandths;
            left.memoryMebibytes -= size.memoryMebibytes;
            left.accelerators -= size.accelerators;
        }
        return left;
    }
}
