/** Branded identifiers: strings and numbers that the compiler does not let be mixed up. */

declare const brand: unique symbol;

/** A `Base` value that is only assignable to the same brand. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Name of a shard of workers, for example `cell-0`. */
export type ShardId = Branded<string, "ShardId">;
/** Id of a VM that runs tasks, as in the platform's list. */
export type WorkerId = Branded<string, "WorkerId">;
/**
 * Distinguishes successive processes of a worker under the same id: the start time in Unix milliseconds. As clocks may step
 * back, values can only be compared for equality, not for order.
 */
export type WorkerIncarnation = Branded<number, "WorkerIncarnation">;
/** Id of an accepted job. */
export type JobId = Branded<string, "JobId">;
/** Id of a task: the job's id, a slash and the task's index. */
export type TaskId = Branded<string, "TaskId">;
/** Id of one running process of this product. */
export type ProcessId = Branded<string, "ProcessId">;
/** Id of one start of a worker process, in the protocol of shards. */
export type Incarnation = Branded<string, "Incarnation">;
/** Number of an ownership period of a shard. Increases with each new owner. */
export type Epoch = Branded<number, "Epoch">;
/** Address of a task in a job with steps: job, occurrence, step and index, separated by slashes. */
export type TaskAddress = Branded<string, "TaskAddress">;
/** Name of a queue that jobs are submitted to. */
export type QueueName = Branded<string, "QueueName">;
/** Name of a service: the pool of workers that a queue's tasks run on. */
export type ServiceName = Branded<string, "ServiceName">;
/** Name of an organisation that shares a cell with others. */
export type OrganisationName = Branded<string, "OrganisationName">;
/** Digest of an organisation's API key. The key itself is not stored anywhere. */
export type KeyDigest = Branded<string, "KeyDigest">;
/** Name of a data hall. */
export type DataHallName = Branded<string, "DataHallName">;
/** Name of a region: data halls that are close to each other. */
export type RegionName = Branded<string, "RegionName">;
/** Name of an entry VM, which restarts of its process do not change. */
export type EntryVmName = Branded<string, "EntryVmName">;
/** Number of a run of a task, from 1. All members of a gang share it. */
export type RunNumber = Branded<number, "RunNumber">;
/** Workers ignore commands with a lower token than the highest they have seen. */
export type FencingToken = Branded<number, "FencingToken">;
/** Number of an attempt to run a task, from 1. */
export type Attempt = Branded<number, "Attempt">;
/** Number of an accepted settings tree, from 1. */
export type SettingsRevision = Branded<number, "SettingsRevision">;

/** Brands a string as a shard id, without validation like all functions here. */
export const shardId = (text: string): ShardId => text as ShardId;
/** Brands a string as a worker id. */
export const workerId = (text: string): WorkerId => text as WorkerId;
/** Brands a start time in Unix milliseconds as a worker's incarnation. */
export const workerIncarnation = (value: number): WorkerIncarnation => value as WorkerIncarnation;
/** Brands a string as a job id. */
export const jobId = (text: string): JobId => text as JobId;
/** Brands a string as a process id. */
export const processId = (text: string): ProcessId => text as ProcessId;
/** Brands a string as an incarnation. */
export const incarnation = (text: string): Incarnation => text as Incarnation;
/** Brands a whole number as an epoch. */
export const epoch = (value: number): Epoch => value as Epoch;
/** Brands a string as a queue name. */
export const queueName = (text: string): QueueName => text as QueueName;
/** Brands a string as a service name. */
export const serviceName = (text: string): ServiceName => text as ServiceName;
/** Brands a string as the name of an organisation. */
export const organisationName = (text: string): OrganisationName => text as OrganisationName;
/** Brands a string as the digest of an API key; does not compute the digest. */
export const keyDigest = (text: string): KeyDigest => text as KeyDigest;
/** Brands a string as the name of a data hall. */
export const dataHallName = (text: string): DataHallName => text as DataHallName;
/** Brands a string as the name of a region. */
export const regionName = (text: string): RegionName => text as RegionName;
/** Brands a string as the name of an entry VM. */
export const entryVmName = (text: string): EntryVmName => text as EntryVmName;
/** Brands a whole number as a run number. */
export const runNumber = (value: number): RunNumber => value as RunNumber;
/** Brands a whole number as a fencing token. */
export const fencingToken = (value: number): FencingToken => value as FencingToken;
/** Brands a string as a task address. */
export const taskAddress = (text: string): TaskAddress => text as TaskAddress;
/** Brands a whole number as an attempt number. */
export const attempt = (value: number): Attempt => value as Attempt;
/** Brands a whole number as a settings revision. */
export const settingsRevision = (value: number): SettingsRevision => value as SettingsRevision;
/** Builds the id of a task from its index within the job, from 0. */
export const taskIdOf = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;
/** Extracts the job's id from the id of a task. */
export const jobOfTask = (task: TaskId): JobId => task.slice(0, task.lastIndexOf("/")) as JobId;
/** Extracts the task's index within its job, from 0. */
export const indexOfTask = (task: TaskId): number => Number(task.slice(task.lastIndexOf("/") + 1));
