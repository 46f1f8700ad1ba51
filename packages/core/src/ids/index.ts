/** Branded identifiers: strings and numbers that the compiler keeps apart. */

declare const brand: unique symbol;

/** A value of type `Base` that may only be used where the brand `Name` is asked for. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Names one shard of workers, for example `cell-0`. */
export type ShardId = Branded<string, "ShardId">;
/** Names one VM of the platform's list that runs tasks. */
export type WorkerId = Branded<string, "WorkerId">;
/**
 * Tells the lives of a worker apart that start one after the other under its id: the Unix millisecond of the start. Clocks step back, so
 * another value is another life, and neither of two is the newer one by its value.
 */
export type WorkerIncarnation = Branded<number, "WorkerLife">;
/** Names one job as it was accepted. */
export type JobId = Branded<string, "JobId">;
/** Names one task of a job: the job's id, a slash and the task's index. */
export type TaskId = Branded<string, "TaskId">;
/** Names one running process of this product. */
export type ProcessId = Branded<string, "ProcessId">;
/** Names one start of a worker process; a restarted worker has a new one. */
export type Incarnation = Branded<string, "Incarnation">;
/** Number of an ownership period of a shard. Grows by at least one with each new owner. */
export type Epoch = Branded<number, "Epoch">;
/** Names one task of a job made of steps: job, occurrence, step and index, with slashes between. */
export type TaskAddress = Branded<string, "TaskAddress">;
/** Names a queue that callers hand jobs to. */
export type QueueName = Branded<string, "QueueName">;
/** Names a service: the pool of workers that a queue's tasks run on. */
export type ServiceName = Branded<string, "ServiceName">;
/** Names an organisation that shares a cell with others. */
export type OrganisationName = Branded<string, "OrganisationName">;
/** Digest of a key that an organisation's callers show. The key itself is kept nowhere. */
export type KeyDigest = Branded<string, "KeyDigest">;
/** Names one entry VM, the same over restarts of its process. */
export type EntryVmName = Branded<string, "EntryVmName">;
/** Counts the starts of a task, from 1; members of a gang share it. */
export type RunNumber = Branded<number, "RunNumber">;
/** A worker ignores orders that carry a lower token than the highest it has seen. */
export type FencingToken = Branded<number, "FencingToken">;
/** Number of an attempt to run a task, from 1. */
export type Attempt = Branded<number, "Attempt">;
/** Number of an accepted settings tree, from 1. */
export type SettingsRevision = Branded<number, "SettingsRevision">;

/** Makes a shard id from text that is known to be one. */
export const shardId = (text: string): ShardId => text as ShardId;
/** Makes a worker id from text that is known to be one. */
export const workerId = (text: string): WorkerId => text as WorkerId;
/** Makes the name of a worker's life from a whole number. */
export const workerIncarnation = (value: number): WorkerIncarnation => value as WorkerIncarnation;
/** Makes a job id from text that is known to be one. */
export const jobId = (text: string): JobId => text as JobId;
/** Makes a process id from text that is known to be one. */
export const processId = (text: string): ProcessId => text as ProcessId;
/** Makes an incarnation from text that is known to be one. */
export const incarnation = (text: string): Incarnation => text as Incarnation;
/** Makes an epoch from a whole number. */
export const epoch = (value: number): Epoch => value as Epoch;
/** Makes a queue name from text that is known to be one. */
export const queueName = (text: string): QueueName => text as QueueName;
/** Makes a service name from text that is known to be one. */
export const serviceName = (text: string): ServiceName => text as ServiceName;
/** Makes the name of an organisation from text that is known to be one. */
export const organisationName = (text: string): OrganisationName => text as OrganisationName;
/** Makes a digest of a key from text that is known to be one. */
export const keyDigest = (text: string): KeyDigest => text as KeyDigest;
/** Makes the name of an entry VM from text that is known to be one. */
export const entryVmName = (text: string): EntryVmName => text as EntryVmName;
/** Makes a run number from a whole number. */
export const runNumber = (value: number): RunNumber => value as RunNumber;
/** Makes a fencing token from a whole number. */
export const fencingToken = (value: number): FencingToken => value as FencingToken;
/** Makes a task address from text that is known to be one. */
export const taskAddress = (text: string): TaskAddress => text as TaskAddress;
/** Makes an attempt number from a whole number. */
export const attempt = (value: number): Attempt => value as Attempt;
/** Makes a settings revision from a whole number. */
export const settingsRevision = (value: number): SettingsRevision => value as SettingsRevision;
/** Names task `index` of a job. */
export const taskIdOf = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;
/** The job that a task belongs to. */
export const jobOfTask = (task: TaskId): JobId => task.slice(0, task.lastIndexOf("/")) as JobId;
/** The index of a task within its job, from 0. */
export const indexOfTask = (task: TaskId): number => Number(task.slice(task.lastIndexOf("/") + 1));
