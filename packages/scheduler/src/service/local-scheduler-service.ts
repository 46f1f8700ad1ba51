/** The scheduler's implementation of the protocol between processes. */
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
    OwnershipClaim,
    ProgramValues,
    schedulerSchema,
    SchedulerService,
    SchedulerStatus,
    SettingsWatch,
    ShardStatus,
    SubmitRequest,
    UnrepeatableRecordAnswer,
    UnrepeatableRecordRequest,
    WaitRequest,
    WorkerStatus,
} from "@pebbledale/runtime";
import { journalStalledRetryAfter } from "../ownership/constants.js";
import { NotRecordedError, type OwnedShard, type ShardCandidate } from "../ownership/index.js";

const notOwner: NotOwner = { kind: "not-owner" };
const noJob: NoJob = { kind: "no-job" };
const notRecorded: NotRecorded = { kind: "not-recorded", retryAfter: journalStalledRetryAfter };

/** Serves requests for the shards that this process owns and answers `not-owner` for all others. */
export class LocalSchedulerService implements SchedulerService {
    readonly #candidates: ReadonlyMap<ShardId, ShardCandidate>;

    constructor(
        private readonly values: ProgramValues<typeof schedulerSchema>,
        private readonly sharedSettings: SettingsWatch,
        candidates: readonly ShardCandidate[],
    ) {
        this.#candidates = new Map(candidates.map(candidate => [candidate.options.shard, candidate]));
    }

    async submit(request: SubmitRequest) {
        return await this.#servingShard(request.shard)?.submit(request) ?? notOwner;
    }

    async view(request: JobRequest): Promise<JobAnswer | NoJob | NotOwner> {
        const owned = this.#servingShard(request.shard);
        return owned === undefined ? notOwner : buildJobAnswer(owned, findJobId(owned, request));
    }

    async wait(request: WaitRequest): Promise<JobAnswer | NoJob | NotOwner> {
        const owned = this.#servingShard(request.shard);
        if (owned === undefined) {
            return notOwner;
        }
        const { clock, lost } = owned.options;
        const deadline = clock.monotonic() + request.wait;
        const job = findJobId(owned, request);
        let answer = buildJobAnswer(owned, job);
        while (job !== undefined && answer.kind === "job" && !isFinalState(answer.view.state)) {
            const remaining = deadline - clock.monotonic();
            if (remaining <= 0) {
                return answer;
            }
            await owned.waitForChange(job, remaining, lost.signal);
            if (lost.signal.aborted) {
                return notOwner;
            }
            answer = buildJobAnswer(owned, job);
        }
        return answer;
    }

    async cancel(request: JobRequest): Promise<JobAnswer | NoJob | NotOwner | NotRecorded> {
        const owned = this.#servingShard(request.shard);
        if (owned === undefined) {
            return notOwner;
        }
        const job = findJobId(owned, request);
        return catchNotRecorded(async () => {
            const isKnown = job !== undefined && await owned.cancel(job);
            return isKnown ? buildJobAnswer(owned, job) : noJob;
        });
    }

    async acquire(request: AcquireRequest): Promise<AcquireAnswer | NoService | NotOwner> {
        const owned = this.#servingShard(request.shard);
        if (owned?.scheduler.hasWorkerList !== true) {
            // Until the worker list has been read, an empty grant would make the gateway drop the slots that it holds.
            return notOwner;
        }
        const grants = owned.scheduler.acquireSlots(request.service, request.request);
        if (grants === undefined) {
            return { kind: "no-service" };
        }
        const path = { region: this.values["process.region"], site: this.values["process.site"] };
        const duration = this.sharedSettings.tree.number("live.slot_grant", path);
        return { kind: "granted", grants, duration, revision: this.sharedSettings.revision };
    }

    async beginUnrepeatable(
        request: UnrepeatableRecordRequest,
    ): Promise<UnrepeatableRecordAnswer | NotOwner | NotRecorded> {
        const owned = this.#servingShard(request.shard);
        if (owned === undefined) {
            return notOwner;
        }
        const { transition, earlier } = owned.scheduler.beginUnrepeatable(request.key, request.digest, request.nonce);
        return catchNotRecorded(async () => {
            await owned.commitInTime(transition);
            return { kind: "recorded" as const, earlier };
        });
    }

    async endUnrepeatable(
        request: UnrepeatableRecordRequest,
    ): Promise<UnrepeatableRecordAnswer | NotOwner | NotRecorded> {
        const owned = this.#servingShard(request.shard);
        if (owned === undefined) {
            return notOwner;
        }
        return catchNotRecorded(async () => {
            await owned.commitInTime(owned.scheduler.endUnrepeatable(request.key, request.status));
            return { kind: "recorded" as const, earlier: undefined };
        });
    }

    async status(): Promise<SchedulerStatus> {
        return {
            process: processId(this.values["process.name"]),
            region: this.values["process.region"],
            site: this.values["process.site"],
            dataHall: this.values["process.data_hall"],
            revision: this.sharedSettings.revision,
            shards: this.#allOwned().map(buildShardStatus),
        };
    }

    async currentSettings(): Promise<StoredSettings | undefined> {
        return this.sharedSettings.stored;
    }

    async ownedShards(): Promise<readonly OwnershipClaim[]> {
        return this.#allOwned().map(owned => ({ shard: owned.options.shard, epoch: owned.options.journal.epoch }));
    }

    #servingShard(shard: ShardId): OwnedShard | undefined {
        const owned = this.#candidates.get(shard)?.owned;
        return owned?.isServing === true ? owned : undefined;
    }

    #allOwned(): OwnedShard[] {
        return [...this.#candidates.values()].flatMap(candidate => candidate.owned ?? []);
    }
}

const catchNotRecorded = async <Answer>(act: () => Promise<Answer>): Promise<Answer | NotRecorded> => {
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

const findJobId = (owned: OwnedShard, request: JobRequest): JobId | undefined =>
    request.job ?? (request.key === undefined ? undefined : owned.scheduler.findByKey(request.key));

const buildJobAnswer = (owned: OwnedShard, job: JobId | undefined): JobAnswer | NoJob => {
    const view = job === undefined ? undefined : owned.scheduler.view(job);
    if (view === undefined) {
        return noJob;
    }
    return { kind: "job", view, history: owned.scheduler.historyOf(view.job) };
};

const buildShardStatus = (owned: OwnedShard): ShardStatus => {
    const { scheduler, options } = owned;
    const now = options.clock.monotonic();
    const workers = [...scheduler.workers.values()].map((entry): WorkerStatus => ({
        worker: entry.worker,
        dataHall: entry.listed.dataHall,
        rack: entry.listed.rack,
        open: scheduler.workers.index.isSchedulable(entry.slot),
        leaving: isLeaving(entry),
        quarantined: entry.quarantinedUntil > now,
        tasks: entry.tasks.size,
        free: scheduler.workers.index.freeOf(entry.slot),
        capacity: entry.listed.capacity,
    }));
    const capacity = workers.reduce((sum, worker) => addResources(sum, worker.capacity), noResources);
    const free = workers.reduce((sum, worker) => addResources(sum, worker.free), noResources);
    const granted = subtractResources(capacity, free);
    return {
        shard: options.shard,
        epoch: options.journal.epoch,
        queued: scheduler.queue.length,
        running: workers.reduce((sum, worker) => sum + worker.tasks, 0),
        journalWrites: options.journal.writes,
        journalStalled: options.journal.stalledFor(),
        packing: capacity.processorThousandths === 0 ? 0 : granted.processorThousandths / capacity.processorThousandths,
        workers,
    };
};
