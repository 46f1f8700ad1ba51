/** The scheduler's side of the protocol. */
import {
    addResources,
    isFinalState,
    isLeaving,
    type JobId,
    noResources,
    processId,
    type ShardId,
    type StoredSettings,
    subtractResources,
} from "@pebbledale/core";
import type {
    AcquireAnswer,
    AcquireRequest,
    JobAnswer,
    JobRequest,
    NoJob,
    NoService,
    NotOwner,
    NotRecorded,
    OnceAnswer,
    OnceRequest,
    OwnedShardName,
    ProgramValues,
    schedulerSchema,
    SchedulerService,
    SchedulerStatus,
    SettingsWatch,
    ShardStatus,
    SubmitRequest,
    WaitRequest,
    WorkerStatus,
} from "@pebbledale/runtime";
import { stalledRetryAfter } from "../ownership/constants.js";
import { NotRecordedError, type OwnedShard, type ShardCandidate } from "../ownership/index.js";

const notOwner: NotOwner = { kind: "not-owner" };
const noJob: NoJob = { kind: "no-job" };
const notRecorded: NotRecorded = { kind: "not-recorded", retryAfter: stalledRetryAfter };

/** Answers for the shards that this process owns. */
export class LocalSchedulerService implements SchedulerService {
    readonly #candidates: ReadonlyMap<ShardId, ShardCandidate>;

    constructor(
        private readonly values: ProgramValues<typeof schedulerSchema>,
        private readonly watch: SettingsWatch,
        candidates: readonly ShardCandidate[],
    ) {
        this.#candidates = new Map(candidates.map(candidate => [candidate.options.shard, candidate]));
    }

    /** See {@link SchedulerService.submit}. */
    async submit(request: SubmitRequest) {
        return await this.#owned(request.shard)?.submit(request) ?? notOwner;
    }

    /** See {@link SchedulerService.view}. */
    async view(request: JobRequest): Promise<JobAnswer | NoJob | NotOwner> {
        const owned = this.#owned(request.shard);
        return owned === undefined ? notOwner : jobAnswer(owned, jobIdOf(owned, request));
    }

    /** See {@link SchedulerService.wait}. */
    async wait(request: WaitRequest): Promise<JobAnswer | NoJob | NotOwner> {
        const owned = this.#owned(request.shard);
        if (owned === undefined) {
            return notOwner;
        }
        const { clock, lost } = owned.options;
        const until = clock.monotonic() + request.wait;
        const job = jobIdOf(owned, request);
        let answer = jobAnswer(owned, job);
        while (job !== undefined && answer.kind === "job" && !isFinalState(answer.view.state)) {
            const rest = until - clock.monotonic();
            if (rest <= 0) {
                return answer;
            }
            await owned.untilChanged(job, rest, lost.signal);
            if (lost.signal.aborted) {
                return notOwner;
            }
            answer = jobAnswer(owned, job);
        }
        return answer;
    }

    /** See {@link SchedulerService.cancel}. */
    async cancel(request: JobRequest): Promise<JobAnswer | NoJob | NotOwner | NotRecorded> {
        const owned = this.#owned(request.shard);
        if (owned === undefined) {
            return notOwner;
        }
        const job = jobIdOf(owned, request);
        const step = job === undefined ? undefined : owned.core.cancel(job);
        if (step === undefined) {
            return noJob;
        }
        return whenRecorded(async () => {
            await owned.commitWithin(step);
            return jobAnswer(owned, job);
        });
    }

    /** See {@link SchedulerService.acquire}. */
    async acquire(request: AcquireRequest): Promise<AcquireAnswer | NoService | NotOwner> {
        const owned = this.#owned(request.shard);
        if (owned?.core.hasWorkerList !== true) {
            // A new owner that knows no workers yet must not tell a gateway that it holds no slots.
            return notOwner;
        }
        const grants = owned.core.acquireSlots(request.service, request.request);
        if (grants === undefined) {
            return { kind: "no-service" };
        }
        const path = { region: this.values["process.region"], site: this.values["process.site"] };
        const duration = this.watch.tree.number("live.slot_grant", path);
        return { kind: "granted", grants, duration, revision: this.watch.revision };
    }

    /** See {@link SchedulerService.beginOnce}. */
    async beginOnce(request: OnceRequest): Promise<OnceAnswer | NotOwner | NotRecorded> {
        const owned = this.#owned(request.shard);
        if (owned === undefined) {
            return notOwner;
        }
        const { transition: step, earlier } = owned.core.beginUnrepeatable(request.key, request.digest, request.nonce);
        return whenRecorded(async () => {
            await owned.commitWithin(step);
            return { kind: "recorded" as const, earlier };
        });
    }

    /** See {@link SchedulerService.endOnce}. */
    async endOnce(request: OnceRequest): Promise<OnceAnswer | NotOwner | NotRecorded> {
        const owned = this.#owned(request.shard);
        if (owned === undefined) {
            return notOwner;
        }
        return whenRecorded(async () => {
            await owned.commitWithin(owned.core.endUnrepeatable(request.key, request.status));
            return { kind: "recorded" as const, earlier: undefined };
        });
    }

    /** See {@link SchedulerService.status}. */
    async status(): Promise<SchedulerStatus> {
        return {
            process: processId(this.values["process.name"]),
            region: this.values["process.region"],
            site: this.values["process.site"],
            dataHall: this.values["process.data_hall"],
            revision: this.watch.revision,
            shards: this.#allOwned().map(shardStatus),
        };
    }

    /** See {@link SchedulerService.currentSettings}. */
    async currentSettings(): Promise<StoredSettings | undefined> {
        return this.watch.stored;
    }

    /** See {@link SchedulerService.ownedShards}. */
    async ownedShards(): Promise<readonly OwnedShardName[]> {
        return this.#allOwned().map(owned => ({ shard: owned.options.shard, epoch: owned.options.journal.epoch }));
    }

    #owned(shard: ShardId): OwnedShard | undefined {
        const owned = this.#candidates.get(shard)?.owned;
        return owned?.isServing === true ? owned : undefined;
    }

    #allOwned(): OwnedShard[] {
        return [...this.#candidates.values()].flatMap(candidate => candidate.owned ?? []);
    }
}

const whenRecorded = async <Answer>(act: () => Promise<Answer>): Promise<Answer | NotRecorded> => {
    try {
        return await act();
    }
    catch (cause) {
        if (cause instanceof NotRecordedError) {
            return notRecorded;
        }
        throw cause;
    }
};

const jobIdOf = (owned: OwnedShard, request: JobRequest): JobId | undefined =>
    request.job ?? (request.key === undefined ? undefined : owned.core.findByKey(request.key));

const jobAnswer = (owned: OwnedShard, job: JobId | undefined): JobAnswer | NoJob => {
    const view = job === undefined ? undefined : owned.core.view(job);
    if (view === undefined) {
        return noJob;
    }
    return { kind: "job", view, history: owned.core.registry.jobs.get(view.job)?.history ?? [] };
};

const shardStatus = (owned: OwnedShard): ShardStatus => {
    const { core, options } = owned;
    const now = options.clock.monotonic();
    const workers = [...core.workers.values()].map((entry): WorkerStatus => ({
        worker: entry.worker,
        dataHall: entry.listed.dataHall,
        rack: entry.listed.rack,
        open: core.workers.index.isSchedulable(entry.slot),
        leaving: isLeaving(entry),
        quarantined: entry.quarantinedUntil > now,
        tasks: entry.tasks.size,
        free: core.workers.index.freeOf(entry.slot),
        capacity: entry.listed.capacity,
    }));
    const capacity = workers.reduce((sum, worker) => addResources(sum, worker.capacity), noResources);
    const free = workers.reduce((sum, worker) => addResources(sum, worker.free), noResources);
    const granted = subtractResources(capacity, free);
    return {
        shard: options.shard,
        epoch: options.journal.epoch,
        queued: core.queue.length,
        running: workers.reduce((sum, worker) => sum + worker.tasks, 0),
        journalWrites: options.journal.writes,
        journalStalled: options.journal.stalledFor(),
        packing: capacity.processorThousandths === 0 ? 0 : granted.processorThousandths / capacity.processorThousandths,
        workers,
    };
};
