/** A shard while this process owns it. */
import {
    type Effect,
    type JobId,
    jobOfTask,
    JournalFencedError,
    type ListedWorker,
    logEvents,
    type Milliseconds,
    type Refusal,
    type SettingsTree,
    type ShardRecord,
    ShardScheduler,
    type ShardSettings,
    shardSettingsOf,
    type ShardSnapshot,
    type Submission,
    type SubmitOutcome,
    type Transition,
    type WorkerId,
    type WorkloadClass,
} from "@pebbledale/core";
import {
    createAbortController,
    linkSignals,
    type NotRecorded,
    shardOfText,
    withLinkedSignal,
} from "@pebbledale/runtime";
import { WorkerLink } from "../workers/index.js";
import { commitTimeout, journalStalledRetryAfter, journalStallThreshold, tickInterval } from "./constants.js";
import type { LinkedShard, OwnedShardOptions } from "./types.js";

/** Thrown when a record was not committed in time. It may still be committed later. */
export class NotRecordedError extends Error {
    override readonly name = "NotRecordedError";
}

/**
 * Drives the scheduler of a shard that this process owns.
 *
 * Feeds it worker reports, the list of workers, requests and a periodic tick, commits the records that result to the
 * journal, and only then executes their effects, such as starting a task on a worker.
 */
export class OwnedShard implements LinkedShard {
    readonly scheduler: ShardScheduler;
    readonly #links = new Map<WorkerId, WorkerLink>();
    readonly #changeListeners = new Map<JobId, Set<() => void>>();
    readonly #settings = new Map<WorkloadClass | undefined, ShardSettings>();
    #settingsTree: SettingsTree | undefined;
    #isCycleRequested = false;
    #isStalled = false;
    #isHandingOver = false;

    constructor(readonly options: OwnedShardOptions) {
        const { shard, journal, contents, clock, random } = options;
        this.scheduler = new ShardScheduler({
            shard,
            epoch: journal.epoch,
            clock,
            random,
            settings: workloadClass => this.#settingsOf(workloadClass),
            lastContact: () => Math.max(journal.lastContact, options.lastRenewal.at),
            hasFormerOwner: contents.epoch > 1,
        });
        this.scheduler.recover(
            contents.snapshot as ShardSnapshot | undefined,
            contents.records as readonly ShardRecord[],
        );
        journal.setSnapshotSource(() => this.scheduler.registry.snapshot());
    }

    /** False while the shard is handed over and once it is lost. */
    get isServing(): boolean {
        return !this.#isHandingOver && !this.options.lost.signal.aborted;
    }

    /** Serves until `stop` fires or the shard is lost. Rejects with the cause when it is lost, {@link JournalFencedError} if to another owner. */
    async run(stop: AbortSignal): Promise<void> {
        const { lost, clock } = this.options;
        const followingWorkerList = this.#followWorkerList(lost.signal);
        const stopOrLost = linkSignals([stop, lost.signal]);
        while (!stop.aborted && !lost.signal.aborted) {
            this.commit(this.scheduler.tick());
            this.requestCycle();
            this.#checkJournal();
            await clock.sleep(tickInterval, stopOrLost.signal);
        }
        stopOrLost.release();
        if (lost.signal.aborted) {
            await followingWorkerList;
            throw lost.signal.reason;
        }
        await this.#handOver();
        lost.abort(new Error("handed over"));
        await followingWorkerList;
    }

    /**
     * Commits the records of a transition to the journal, then executes its effects. If the journal refuses the
     * records, the shard is lost and the effects are dropped; the promise nevertheless resolves.
     */
    async commit(transition: Transition): Promise<void> {
        if (transition.records.length > 0) {
            try {
                await this.options.journal.append(transition.records);
            }
            catch (cause) {
                this.options.lost.abort(cause);
                return;
            }
            this.scheduler.onCommitted(transition);
            this.requestCycle();
        }
        if (!this.options.lost.signal.aborted) {
            transition.effects.forEach(effect => this.#execute(effect));
        }
    }

    /** Like {@link commit}, but rejects with {@link NotRecordedError} when the records are not committed in time. */
    async commitInTime(transition: Transition): Promise<void> {
        const committed = this.commit(transition).then(() => !this.options.lost.signal.aborted);
        const isCommitted = await this.#settlesInTime(committed);
        if (!isCommitted && transition.records.length > 0) {
            throw new NotRecordedError("the records were not committed in time");
        }
    }

    /** Submits a job; it is reported as accepted only once its record is committed. */
    async submit(submission: Submission): Promise<SubmitOutcome | NotRecorded> {
        if (this.options.journal.stalledFor() > journalStallThreshold) {
            const refusal: Refusal = {
                error: "journal-stalled",
                reason: "the platform's service does not answer",
                retryAfter: journalStalledRetryAfter,
            };
            return { kind: "refused", refusal };
        }
        const { transition, outcome } = this.scheduler.submit(submission);
        try {
            await this.commitInTime(transition);
            // The record of the first submission of a repeated key may still be in flight.
            return outcome.kind === "accepted" && outcome.repeated ? await this.#waitForCommit(outcome) : outcome;
        }
        catch (cause) {
            if (cause instanceof NotRecordedError) {
                return { kind: "not-recorded", retryAfter: journalStalledRetryAfter };
            }
            throw cause;
        }
    }

    /** Cancels a job; resolves to false when it is unknown. Rejects with {@link NotRecordedError} when that is not committed in time. */
    async cancel(job: JobId): Promise<boolean> {
        const transition = this.scheduler.cancel(job);
        if (transition === undefined) {
            return false;
        }
        await this.commitInTime(transition);
        // The record of an earlier cancellation may still be in flight.
        if (!await this.#untilCommitted(job)) {
            throw new NotRecordedError("the records of the job were not committed in time");
        }
        return true;
    }

    /** Resolves when the job changes, after `wait`, or when a signal fires. */
    async waitForChange(job: JobId, wait: Milliseconds, signal: AbortSignal): Promise<void> {
        const listeners = this.#changeListeners.get(job) ?? new Set();
        this.#changeListeners.set(job, listeners);
        const finished = new AbortController();
        const wake = () => finished.abort();
        listeners.add(wake);
        const sources = [finished.signal, signal, this.options.lost.signal];
        await withLinkedSignal(sources, undefined, linked => this.options.clock.sleep(wait, linked));
        listeners.delete(wake);
        if (listeners.size === 0 && this.#changeListeners.get(job) === listeners) {
            this.#changeListeners.delete(job);
        }
    }

    requestCycle(): void {
        if (this.#isCycleRequested) {
            return;
        }
        this.#isCycleRequested = true;
        setImmediate(() => {
            this.#isCycleRequested = false;
            if (this.isServing) {
                void this.commit(this.scheduler.schedule(this.options.journal.stalledFor() === 0));
            }
        });
    }

    stepDown(reason: string): void {
        this.options.lost.abort(new JournalFencedError(reason));
    }

    async #waitForCommit(outcome: SubmitOutcome & { kind: "accepted"; }): Promise<SubmitOutcome | NotRecorded> {
        return await this.#untilCommitted(outcome.job)
            ? outcome
            : { kind: "not-recorded", retryAfter: journalStalledRetryAfter };
    }

    /** Resolves to whether the records of a job so far are committed in time. */
    async #untilCommitted(job: JobId): Promise<boolean> {
        const entry = this.scheduler.registry.jobs.get(job);
        if (entry === undefined || entry.unkept === 0) {
            return true;
        }
        // The journal commits in order: once this empty group is committed, so are all records before it.
        return this.#settlesInTime(this.options.journal.append([]).then(() => true, () => false));
    }

    /** Resolves to the result of a commit, or to false when it takes too long. */
    async #settlesInTime(committed: Promise<boolean>): Promise<boolean> {
        const settled = createAbortController();
        const timeout = this.options.clock.sleep(commitTimeout, settled.signal).then(() => false);
        const isCommitted = await Promise.race([committed, timeout]);
        settled.abort();
        return isCommitted;
    }

    /** Cached by workload class until the settings change. */
    #settingsOf(workloadClass: WorkloadClass | undefined): ShardSettings {
        const { sharedSettings, values } = this.options;
        if (this.#settingsTree !== sharedSettings.tree) {
            this.#settings.clear();
            this.#settingsTree = sharedSettings.tree;
        }
        let settings = this.#settings.get(workloadClass);
        if (settings === undefined) {
            const path = { region: values["process.region"], site: values["process.site"] };
            settings = shardSettingsOf(sharedSettings.tree, path, workloadClass);
            this.#settings.set(workloadClass, settings);
        }
        return settings;
    }

    #execute(effect: Effect): void {
        if (effect.kind === "job-changed") {
            this.#changeListeners.get(effect.job)?.forEach(wake => wake());
            return;
        }
        const link = this.#links.get(effect.worker);
        if (effect.kind === "throttle") {
            link?.throttle(effect.message);
            return;
        }
        if (effect.kind === "stop") {
            link?.stop(effect.message);
        }
        else if (link === undefined) {
            void this.commit(this.scheduler.startRefused(effect.task, effect.attempt, undefined));
        }
        else {
            link.start(effect.task, effect.attempt);
        }
        this.#changeListeners.get(effect.kind === "start" ? jobOfTask(effect.task) : jobOfTask(effect.message.task))
            ?.forEach(wake => wake());
    }

    async #followWorkerList(signal: AbortSignal): Promise<void> {
        const { vmList, clock, logger, values } = this.options;
        while (!signal.aborted) {
            try {
                this.#applyWorkerList(await vmList.read(signal));
            }
            catch (cause) {
                if (!signal.aborted) {
                    logger.log(logEvents.workerListUnavailable, { cause: String(cause) });
                }
            }
            await clock.sleep(values["platform.list_interval"], signal);
        }
        await Promise.all([...this.#links.values()].map(link => link.close()));
    }

    #applyWorkerList(workers: readonly ListedWorker[]): void {
        const { shard, values } = this.options;
        const ownWorkers = workers.filter(worker => shardOfText(worker.rack, values["cell.shards"]) === shard);
        void this.commit(this.scheduler.applyWorkerList(ownWorkers));
        for (const worker of ownWorkers) {
            if (!this.#links.has(worker.worker)) {
                this.#links.set(worker.worker, new WorkerLink(this, worker));
            }
        }
        for (const [name, link] of this.#links) {
            if (this.scheduler.workers.get(name) === undefined) {
                this.#links.delete(name);
                void link.close();
            }
        }
        this.requestCycle();
    }

    /** Stops serving and waits until everything accepted so far is committed. */
    async #handOver(): Promise<void> {
        this.#isHandingOver = true;
        await this.commit(this.scheduler.tick());
        // The journal commits in order: once this empty group is committed, so are all records before it.
        await this.options.journal.append([]).catch(() => undefined);
    }

    #checkJournal(): void {
        const isStalled = this.options.journal.stalledFor() > journalStallThreshold;
        if (isStalled && !this.#isStalled) {
            this.options.logger.log(logEvents.journalStalled, { shard: this.options.shard });
        }
        this.#isStalled = isStalled;
    }
}
