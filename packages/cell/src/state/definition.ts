/** Definitions of jobs and their steps as callers submit them, and the addresses of their tasks. */
import {
    type JobId,
    type Milliseconds,
    type OrganisationName,
    type QueueName,
    type ServiceName,
    type TaskAddress,
    taskAddress,
} from "@pebbledale/core";
import type { AdvicePolicy } from "../advice/index.js";
import type { TaskSize } from "../task-size/index.js";

export type { TaskSize } from "../task-size/index.js";

/** One step of a job: a number of identical tasks. Stored with the job. */
export interface StepDefinition {
    readonly taskCount: number;
    readonly size: TaskSize;
    /** The caller's estimate of how long one task takes. */
    readonly estimate: Milliseconds;
    /** Indexes of earlier steps, from 0, that must be complete first. */
    readonly after: readonly number[];
    /** Tasks write checkpoints, from which their next runs resume. */
    readonly savesProgress: boolean;
    /** All tasks start together and end together (gang scheduling). */
    readonly isGang: boolean;
    /** The gang runs more slowly when it is spread over several racks. */
    readonly wantsOneRack: boolean;
    /** Label that a worker must have to run the step. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the input data; tasks run more slowly on other racks. */
    readonly dataRack: string | undefined;
    /** Maximum number of tasks of the step on one worker. */
    readonly mostPerWorker: number | undefined;
    /** Speculative copies of a task may run at the same time; the first one to finish counts. */
    readonly allowsCopies: boolean;
    /** Long-running: tasks run until the job is cancelled and are restarted when they end. */
    readonly isLasting: boolean;
    /** Maximum number of tasks of a long-running step that the scheduler may interrupt at the same time. */
    readonly mayBeAway: number | undefined;
    /** Image that the tasks run; tasks with the same image are expected to perform alike. */
    readonly image: string | undefined;
    /** Upper limit for the tail response time of a long-running task that serves requests. */
    readonly latencyTarget: Milliseconds | undefined;
    /** Filler task (best effort): its processor demand is not reserved; it uses what other tasks leave idle. */
    readonly fills: boolean;
}

/** Schedule of a job whose steps run more than once. */
export interface Timetable {
    readonly occurrences: number;
    /** Due time of the first occurrence, in milliseconds since 1970. */
    readonly firstAt: number;
    readonly interval: Milliseconds;
}

/** A job as its caller submitted it. Stored in the journal and sent between VMs. */
export interface JobDefinition {
    readonly job: JobId;
    readonly queue: QueueName;
    /** Organisation that submitted the job; absent where its queue needs no key, and in records of versions without organisations. */
    readonly organisation?: OrganisationName;
    /** Passed to each task unchanged. */
    readonly payload: string;
    readonly steps: readonly StepDefinition[];
    readonly timetable: Timetable | undefined;
}

/** Queue settings that apply to a job. Stored with the job, because a queue may be removed while its jobs are running. */
export interface JobTerms {
    readonly service: ServiceName;
    readonly priority: number;
    /** Number of failed runs after which a task fails its job. */
    readonly attempts: number;
    /** A job is on time if it takes at most this multiple of its critical path, plus the latency target. */
    readonly extension: number;
    readonly latencyTarget: Milliseconds;
    readonly advice: AdvicePolicy | undefined;
    /** Resources that all running tasks of its organisation may use together; absent when there is no limit. */
    readonly organisationLimit?: TaskSize;
}

/** Job state as reported to callers. */
export enum CellJobState {
    Queued = "queued",
    Running = "running",
    Completed = "completed",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** Whether a job in this state never changes its state again. */
export const isTerminalState = (state: CellJobState): boolean =>
    state === CellJobState.Completed || state === CellJobState.Failed || state === CellJobState.Cancelled;

/** Components of a task's address. */
export interface TaskCoordinates {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Formats the address of a step as `job/occurrence/step`. */
export const formatStepAddress = (job: JobId, occurrence: number, step: number): string =>
    `${job}/${occurrence}/${step}`;

/** Formats a task's address as `job/occurrence/step/index`. */
export const formatTaskAddress = ({ job, occurrence, step, index }: TaskCoordinates): TaskAddress =>
    taskAddress(`${job}/${occurrence}/${step}/${index}`);

/** Parses a task's address; undefined when the text is not one. */
export const parseTaskAddress = (address: TaskAddress): TaskCoordinates | undefined => {
    const [job, occurrence, step, index, rest] = address.split("/");
    if (index === undefined || rest !== undefined) {
        return undefined;
    }
    const coordinates = { job: job as JobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
    return Number.isInteger(coordinates.occurrence + coordinates.step + coordinates.index) ? coordinates : undefined;
};
