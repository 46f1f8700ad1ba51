/** Simulation of one shard. */
import {
    type Attempt,
    type Effect,
    EndKind,
    type Epoch,
    type JobId,
    jobSubmissionSchema,
    type ListedWorker,
    type Milliseconds,
    parseSettingsTree,
    SeededRandom,
    shardId,
    type ShardRecord,
    ShardScheduler,
    type ShardSettings,
    shardSettingsOf,
    StopMode,
    type SubmitOutcome,
    type TaskId,
    type Transition,
    VmState,
    workerId,
    WorkerRefusal,
} from "@pebbledale/core";
import type { FleetShape } from "@pebbledale/stand-ins";
import { VirtualClock } from "./virtual-clock.js";
import { VirtualWorker, WorkerStatistics } from "./virtual-worker.js";

/** Fleet, settings and task behaviour of a simulation. */
export interface VirtualCellOptions {
    readonly shape: FleetShape;
    readonly seed: number;
    /** Lines of the organisation's section of the settings tree. */
    readonly settings?: readonly string[];
    /** Actual run time of a job's tasks, which may differ from the declared one. */
    readonly runDurationOf: (job: JobId) => Milliseconds;
    /** Ratio of the processors that a job's tasks demand to their grant; 1 if absent. */
    readonly usageFactorOf?: (job: JobId) => number;
    /** Whether a job's tasks fail on every worker. */
    readonly failsEverywhere?: (job: JobId) => boolean;
}

interface PendingTransition {
    readonly transition: Transition;
    /** Called once its records are committed. */
    readonly onCommitted?: () => void;
}

const journalDelay: Milliseconds = 5;
const networkDelay: Milliseconds = 1;
const heartbeatInterval: Milliseconds = 1_000;
const tickInterval: Milliseconds = 100;
const workerListInterval: Milliseconds = 2_000;
/** Time from an owner's death until the next one takes over: lease expiry and journal replay. */
const ownerTakeoverDelay: Milliseconds = 3_500;

/** Parses lines of a settings tree's organisation section; throws when they are invalid. */
export const parseShardSettings = (lines: readonly string[]): ShardSettings =>
    shardSettingsOf(parseSettingsTree(["[organisation]", ...lines].join("\n"))._unsafeUnwrap(), {});

/** Creates the platform's VM list for a fleet. */
export const createListedWorkers = (shape: FleetShape): ListedWorker[] =>
    Array.from({ length: shape.count }, (_, index) => ({
        worker: workerId(`worker-${index}`),
        address: "",
        rack: `rack-${Math.floor(index / shape.rackSize)}`,
        dataHall: `hall-${Math.floor(index / shape.rackSize) % shape.dataHalls}`,
        region: shape.region,
        state: VmState.Live,
        capacity: shape.capacity,
    }));

/**
 * The real {@link ShardScheduler} of one shard in virtual time, with simulated workers, network, platform and journal.
 * Deterministic for a seed.
 */
export class VirtualCell {
    readonly clock = new VirtualClock();
    readonly statistics = new WorkerStatistics();
    readonly workers: Map<string, VirtualWorker>;
    readonly random: SeededRandom;
    readonly settings: ShardSettings;
    /** Number of journal segments written: one per group commit. */
    segmentCount = 0;
    scheduler!: ShardScheduler;
    #journal: ShardRecord[] = [];
    #pending: PendingTransition[] = [];
    #epoch = 0;
    #lastContact = 0;
    #isOwned = false;
    #isPlatformDown = false;
    #platformDelay = journalDelay;
    #isWriting = false;
    #isCycleScheduled = false;
    #isFinished = false;

    constructor(readonly options: VirtualCellOptions) {
        this.random = new SeededRandom(options.seed);
        this.settings = parseShardSettings(options.settings ?? []);
        this.workers = new Map(
            createListedWorkers(options.shape).map(
                listed => [listed.worker, new VirtualWorker(listed, this.statistics)],
            ),
        );
        this.#takeOwnership();
        this.clock.every(tickInterval, () => this.#tick(), () => this.#isFinished);
        this.clock.every(workerListInterval, () => this.#publishWorkerList(), () => this.#isFinished);
        this.clock.every(heartbeatInterval, () => this.#sendHeartbeats(), () => this.#isFinished);
        this.clock.runUntil(tickInterval * 3);
    }

    /**
     * Submits a job; omitted fields have defaults. Returns undefined while the shard has no owner. `onCommitted` is called
     * once the acceptance is committed: only then does a caller learn of it.
     */
    submit(job: object, onCommitted: (job: JobId) => void): SubmitOutcome | undefined {
        if (!this.#isOwned) {
            return undefined;
        }
        const submission = jobSubmissionSchema.parse(job);
        const { transition, outcome } = this.scheduler.submit({ submission, digest: "" });
        this.#applyTransition(transition, () => {
            if (outcome.kind === "accepted") {
                onCommitted(outcome.job);
            }
        });
        this.requestSchedulingCycle();
        return outcome;
    }

    cancel(job: JobId): void {
        const transition = this.scheduler.cancel(job);
        if (transition !== undefined) {
            this.#applyTransition(transition);
        }
    }

    /** Kills the owner. Another one takes over later from the committed records; uncommitted ones are lost. */
    killOwner(): void {
        this.#isOwned = false;
        this.#pending = [];
        this.clock.after(ownerTakeoverDelay, () => this.#takeOwnership());
    }

    /** Sets whether the platform is unavailable, and the duration of its writes. */
    setPlatformState(isDown: boolean, delay: Milliseconds = journalDelay): void {
        this.#isPlatformDown = isDown;
        this.#platformDelay = delay;
        this.#writeSegment();
    }

    /** Kills a worker and removes it from the VM list. */
    removeWorker(name: string): void {
        this.workers.get(name)?.kill();
        this.workers.delete(name);
        this.#publishWorkerList();
    }

    /** Passes the current VM list to the owner without waiting for the next interval. */
    publishWorkerList(): void {
        this.#publishWorkerList();
    }

    /** Stops the recurring events. */
    finish(): void {
        this.#isFinished = true;
    }

    /** Requests a scheduling cycle at the current time, after the events already due. */
    requestSchedulingCycle(): void {
        if (this.#isCycleScheduled || !this.#isOwned) {
            return;
        }
        this.#isCycleScheduled = true;
        this.clock.after(0, () => {
            this.#isCycleScheduled = false;
            if (this.#isOwned) {
                this.#applyTransition(this.scheduler.schedule(!this.#isPlatformDown));
            }
        });
    }

    #takeOwnership(): void {
        if (this.#isPlatformDown) {
            this.clock.after(ownerTakeoverDelay, () => this.#takeOwnership());
            return;
        }
        this.#epoch++;
        this.#isOwned = true;
        this.#lastContact = this.clock.monotonic();
        this.scheduler = new ShardScheduler({
            shard: shardId("shard-0"),
            epoch: this.#epoch as Epoch,
            clock: this.clock,
            random: this.random,
            settings: () => this.settings,
            lastContact: () => this.#lastContact,
            hasFormerOwner: this.#epoch > 1,
        });
        this.scheduler.recover(undefined, this.#journal);
        this.#publishWorkerList();
        this.#applyTransition(this.scheduler.tick());
        for (const worker of this.workers.values()) {
            this.#claim(worker);
        }
        this.requestSchedulingCycle();
    }

    #claim(worker: VirtualWorker): void {
        if (this.#isOwned && worker.isUp && worker.isReachable) {
            this.#applyTransition(
                this.scheduler.claimAnswered(worker.listed.worker, worker.report(), this.clock.monotonic()),
            );
        }
    }

    #publishWorkerList(): void {
        if (this.#isOwned) {
            this.#applyTransition(
                this.scheduler.applyWorkerList([...this.workers.values()].map(worker => worker.toListedWorker())),
            );
        }
    }

    #tick(): void {
        if (!this.#isPlatformDown) {
            this.#lastContact = this.clock.monotonic();
        }
        if (this.#isOwned) {
            this.#applyTransition(this.scheduler.tick());
            this.requestSchedulingCycle();
        }
    }

    #sendHeartbeats(): void {
        for (const worker of this.workers.values()) {
            this.#sendHeartbeat(worker);
        }
    }

    #sendHeartbeat(worker: VirtualWorker): void {
        if (!this.#isOwned || !worker.isUp || !worker.isReachable) {
            return;
        }
        const message = this.scheduler.nextHeartbeat(worker.listed.worker, 0);
        if (message === undefined) {
            this.#claim(worker);
            return;
        }
        const acknowledged = new Set(message.acknowledged.map(entry => `${entry.task}#${entry.attempt}`));
        worker.ended = worker.ended.filter(entry => !acknowledged.has(`${entry.task}#${entry.attempt}`));
        this.#applyTransition(
            this.scheduler.heartbeatAnswered(worker.listed.worker, worker.report(), this.clock.monotonic()),
        );
        this.requestSchedulingCycle();
    }

    /** Executes effects once the transition's records are committed, or immediately when it has no records. */
    #applyTransition(transition: Transition, onCommitted?: () => void): void {
        if (transition.records.length === 0) {
            transition.effects.forEach(effect => this.#execute(effect));
            return;
        }
        this.#pending.push({ transition, onCommitted });
        this.#writeSegment();
    }

    /** Group commit: one write at a time, with all pending transitions. */
    #writeSegment(): void {
        if (this.#isWriting || this.#isPlatformDown || this.#pending.length === 0) {
            return;
        }
        this.#isWriting = true;
        const group = this.#pending;
        const epoch = this.#epoch;
        this.#pending = [];
        this.clock.after(this.#platformDelay, () => {
            this.#isWriting = false;
            if (this.#isPlatformDown) {
                this.#pending = [...group, ...this.#pending];
                return;
            }
            if (epoch === this.#epoch && this.#isOwned) {
                this.segmentCount++;
                for (const { transition, onCommitted } of group) {
                    this.#journal.push(...transition.records);
                    this.scheduler.onCommitted(transition);
                    onCommitted?.();
                    transition.effects.forEach(effect => this.#execute(effect));
                }
                this.requestSchedulingCycle();
            }
            this.#writeSegment();
        });
    }

    #execute(effect: Effect): void {
        const issuingScheduler = this.scheduler;
        if (effect.kind === "job-changed") {
            return;
        }
        const worker = this.workers.get(effect.worker);
        if (effect.kind === "throttle") {
            const { task, processorThousandths } = effect.message;
            this.clock.after(networkDelay, () => worker?.throttle(task, processorThousandths));
            return;
        }
        this.clock.after(networkDelay, () => {
            if (issuingScheduler !== this.scheduler || !this.#isOwned) {
                return;
            }
            if (effect.kind === "start") {
                this.#start(worker, effect.task, effect.attempt);
            }
            else if (worker?.isUp === true && worker.isReachable) {
                const { task, attempt, mode } = effect.message;
                const kind = mode === StopMode.Checkpoint ? EndKind.Checkpointed : EndKind.Stopped;
                worker.end(task, attempt, kind, this.clock.monotonic());
                this.#sendHeartbeat(worker);
            }
        });
    }

    #start(worker: VirtualWorker | undefined, task: TaskId, attempt: Attempt): void {
        const message = this.scheduler.startMessage(task, attempt, false);
        if (message === undefined) {
            this.#applyTransition(this.scheduler.startRefused(task, attempt, undefined));
            return;
        }
        if (worker === undefined || !worker.isUp || !worker.isReachable) {
            // No response: the outcome stays unknown until the worker responds or the task's lease has expired.
            return;
        }
        if (worker.isLeaving) {
            this.#applyTransition(this.scheduler.startRefused(task, attempt, WorkerRefusal.Leaving));
            return;
        }
        const now = this.clock.monotonic();
        const job = task.slice(0, task.lastIndexOf("/")) as JobId;
        worker.start(message, now, this.options.usageFactorOf?.(job) ?? 1);
        this.#applyTransition(this.scheduler.startAccepted(task, attempt, { task, attempt, usage: message.grant }));
        if (message.serves) {
            return;
        }
        const fails = worker.failsAll || this.options.failsEverywhere?.(job) === true;
        this.clock.after(fails ? networkDelay : this.options.runDurationOf(job), () => {
            if (worker.end(task, attempt, fails ? EndKind.Failed : EndKind.Succeeded, this.clock.monotonic())) {
                this.#sendHeartbeat(worker);
            }
        });
    }
}
