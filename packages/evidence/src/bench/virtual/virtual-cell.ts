/** One shard's real decisions with fake workers and a fake journal in virtual time. */
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
import { VirtualWorker, WorkerNotes } from "./virtual-worker.js";

/** What a run consists of. */
export interface VirtualCellOptions {
    readonly shape: FleetShape;
    readonly seed: number;
    /** Lines of the organisation's section of the settings tree. */
    readonly settings?: readonly string[];
    /** How long a task really runs; its caller may have said otherwise. */
    readonly runOf: (job: JobId) => Milliseconds;
    /** Processors that a job's tasks would use over those it declared; 1 if absent. */
    readonly usesFactorOf?: (job: JobId) => number;
    /** Whether a task fails wherever it runs. */
    readonly failsEverywhere?: (job: JobId) => boolean;
}

interface WaitingStep {
    readonly step: Transition;
    /** Called once its records are kept. */
    readonly kept?: () => void;
}

const journalDelay: Milliseconds = 5;
const networkDelay: Milliseconds = 1;
const heartbeatInterval: Milliseconds = 1_000;
const tickInterval: Milliseconds = 100;
const listInterval: Milliseconds = 2_000;
/** How long nobody owns the shard after an owner's death: the platform's lease and the reading of the journal. */
const takeOverDelay: Milliseconds = 3_500;

/** The settings that a run uses. */
export const settingsOf = (lines: readonly string[]): ShardSettings =>
    shardSettingsOf(parseSettingsTree(["[organisation]", ...lines].join("\n"))._unsafeUnwrap(), {});

/** The workers of a shape, as the platform lists them. */
export const listShape = (shape: FleetShape): ListedWorker[] =>
    Array.from({ length: shape.count }, (_, index) => ({
        worker: workerId(`worker-${index}`),
        address: "",
        rack: `rack-${Math.floor(index / shape.rackSize)}`,
        dataHall: `hall-${Math.floor(index / shape.rackSize) % shape.dataHalls}`,
        region: shape.region,
        state: VmState.Live,
        capacity: shape.capacity,
    }));

/** See the module's comment. */
export class VirtualCell {
    readonly clock = new VirtualClock();
    readonly notes = new WorkerNotes();
    readonly workers: Map<string, VirtualWorker>;
    readonly random: SeededRandom;
    readonly settings: ShardSettings;
    /** Segments that a real journal would have written: one a group commit. */
    segments = 0;
    core!: ShardScheduler;
    #journal: ShardRecord[] = [];
    #waiting: WaitingStep[] = [];
    #epoch = 0;
    #lastContact = 0;
    #isOwned = false;
    #isPlatformDown = false;
    #platformDelay = journalDelay;
    #isWriting = false;
    #isScheduled = false;
    #isOver = false;

    constructor(readonly options: VirtualCellOptions) {
        this.random = new SeededRandom(options.seed);
        this.settings = settingsOf(options.settings ?? []);
        this.workers = new Map(
            listShape(options.shape).map(listed => [listed.worker, new VirtualWorker(listed, this.notes)]),
        );
        this.#open();
        this.clock.every(tickInterval, () => this.#tick(), () => this.#isOver);
        this.clock.every(listInterval, () => this.#list(), () => this.#isOver);
        this.clock.every(heartbeatInterval, () => this.#heartbeats(), () => this.#isOver);
        this.clock.runUntil(tickInterval * 3);
    }

    /**
     * Submits a job; fields that are left out have defaults. Undefined while the shard has no owner.
     * `kept` is called once the acceptance is kept: only then has the caller been told.
     */
    submit(job: object, kept: (job: JobId) => void): SubmitOutcome | undefined {
        if (!this.#isOwned) {
            return undefined;
        }
        const submission = jobSubmissionSchema.parse(job);
        const { transition: step, outcome } = this.core.submit({ submission, digest: "" });
        this.#take(step, () => {
            if (outcome.kind === "accepted") {
                kept(outcome.job);
            }
        });
        this.requestSchedule();
        return outcome;
    }

    /** Cancels a job. */
    cancel(job: JobId): void {
        const step = this.core.cancel(job);
        if (step !== undefined) {
            this.#take(step);
        }
    }

    /** Ends the owner without warning; another takes over from what was kept. */
    killOwner(): void {
        this.#isOwned = false;
        this.#waiting = [];
        this.clock.after(takeOverDelay, () => this.#open());
    }

    /** Takes the platform away or gives it back, or makes it slow. */
    setPlatform(isDown: boolean, delay: Milliseconds = journalDelay): void {
        this.#isPlatformDown = isDown;
        this.#platformDelay = delay;
        this.#write();
    }

    /** Takes a VM away for good. */
    remove(name: string): void {
        this.workers.get(name)?.kill();
        this.workers.delete(name);
        this.#list();
    }

    /** Tells the owner what the platform lists. */
    relist(): void {
        this.#list();
    }

    /** Ends the run's endless events. */
    finish(): void {
        this.#isOver = true;
    }

    /** Places what fits, in a moment. */
    requestSchedule(): void {
        if (this.#isScheduled || !this.#isOwned) {
            return;
        }
        this.#isScheduled = true;
        this.clock.after(0, () => {
            this.#isScheduled = false;
            if (this.#isOwned) {
                this.#take(this.core.schedule(!this.#isPlatformDown));
            }
        });
    }

    #open(): void {
        if (this.#isPlatformDown) {
            this.clock.after(takeOverDelay, () => this.#open());
            return;
        }
        this.#epoch++;
        this.#isOwned = true;
        this.#lastContact = this.clock.monotonic();
        this.core = new ShardScheduler({
            shard: shardId("shard-0"),
            epoch: this.#epoch as Epoch,
            clock: this.clock,
            random: this.random,
            settings: () => this.settings,
            lastContact: () => this.#lastContact,
            hasFormerOwner: this.#epoch > 1,
        });
        this.core.recover(undefined, this.#journal);
        this.#list();
        this.#take(this.core.tick());
        for (const worker of this.workers.values()) {
            this.#claim(worker);
        }
        this.requestSchedule();
    }

    #claim(worker: VirtualWorker): void {
        if (this.#isOwned && worker.isUp && worker.isReachable) {
            this.#take(this.core.claimAnswered(worker.listed.worker, worker.report(), this.clock.monotonic()));
        }
    }

    #list(): void {
        if (this.#isOwned) {
            this.#take(this.core.applyWorkerList([...this.workers.values()].map(worker => worker.list())));
        }
    }

    #tick(): void {
        if (!this.#isPlatformDown) {
            this.#lastContact = this.clock.monotonic();
        }
        if (this.#isOwned) {
            this.#take(this.core.tick());
            this.requestSchedule();
        }
    }

    #heartbeats(): void {
        for (const worker of this.workers.values()) {
            this.#heartbeat(worker);
        }
    }

    #heartbeat(worker: VirtualWorker): void {
        if (!this.#isOwned || !worker.isUp || !worker.isReachable) {
            return;
        }
        const message = this.core.nextHeartbeat(worker.listed.worker, 0);
        if (message === undefined) {
            this.#claim(worker);
            return;
        }
        const acknowledged = new Set(message.acknowledged.map(entry => `${entry.task}#${entry.attempt}`));
        worker.ended = worker.ended.filter(entry => !acknowledged.has(`${entry.task}#${entry.attempt}`));
        this.#take(this.core.heartbeatAnswered(worker.listed.worker, worker.report(), this.clock.monotonic()));
        this.requestSchedule();
    }

    #take(step: Transition, kept?: () => void): void {
        if (step.records.length === 0) {
            step.effects.forEach(effect => this.#carryOut(effect));
            return;
        }
        this.#waiting.push({ step, kept });
        this.#write();
    }

    /** Group commit: one write at a time, with all that waits. */
    #write(): void {
        if (this.#isWriting || this.#isPlatformDown || this.#waiting.length === 0) {
            return;
        }
        this.#isWriting = true;
        const group = this.#waiting;
        const epoch = this.#epoch;
        this.#waiting = [];
        this.clock.after(this.#platformDelay, () => {
            this.#isWriting = false;
            if (this.#isPlatformDown) {
                this.#waiting = [...group, ...this.#waiting];
                return;
            }
            if (epoch === this.#epoch && this.#isOwned) {
                this.segments++;
                for (const { step, kept } of group) {
                    this.#journal.push(...step.records);
                    this.core.onCommitted(step);
                    kept?.();
                    step.effects.forEach(effect => this.#carryOut(effect));
                }
                this.requestSchedule();
            }
            this.#write();
        });
    }

    #carryOut(effect: Effect): void {
        const core = this.core;
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
            if (core !== this.core || !this.#isOwned) {
                return;
            }
            if (effect.kind === "start") {
                this.#start(worker, effect.task, effect.attempt);
            }
            else if (worker?.isUp === true && worker.isReachable) {
                const { task, attempt, mode } = effect.message;
                const kind = mode === StopMode.Checkpoint ? EndKind.Checkpointed : EndKind.Stopped;
                worker.end(task, attempt, kind, this.clock.monotonic());
                this.#heartbeat(worker);
            }
        });
    }

    #start(worker: VirtualWorker | undefined, task: TaskId, attempt: Attempt): void {
        const message = this.core.startMessage(task, attempt, false);
        if (message === undefined) {
            this.#take(this.core.startRefused(task, attempt, undefined));
            return;
        }
        if (worker === undefined || !worker.isUp || !worker.isReachable) {
            // No answer: the attempt stays in doubt until its worker answers or its leases have lapsed.
            return;
        }
        if (worker.isLeaving) {
            this.#take(this.core.startRefused(task, attempt, WorkerRefusal.Leaving));
            return;
        }
        const now = this.clock.monotonic();
        const job = task.slice(0, task.lastIndexOf("/")) as JobId;
        worker.start(message, now, this.options.usesFactorOf?.(job) ?? 1);
        this.#take(this.core.startAccepted(task, attempt, { task, attempt, usage: message.grant }));
        if (message.serves) {
            return;
        }
        const fails = worker.failsAll || this.options.failsEverywhere?.(job) === true;
        this.clock.after(fails ? networkDelay : this.options.runOf(job), () => {
            if (worker.end(task, attempt, fails ? EndKind.Failed : EndKind.Succeeded, this.clock.monotonic())) {
                this.#heartbeat(worker);
            }
        });
    }
}
