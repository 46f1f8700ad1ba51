/** Jobs made of steps, as callers hand them in. */
import {
    type JobId,
    type Milliseconds,
    type OrganisationName,
    type QueueName,
    type RunNumber,
    type ServiceName,
    type TaskAddress,
    taskAddress,
} from "@pebbledale/core";
import type { AdvicePolicy } from "../advice/index.js";
import type { TaskSize } from "../task-size/index.js";

export type { TaskSize } from "../task-size/index.js";

/** One step: tasks that are alike. */
export interface StepDefinition {
    readonly taskCount: number;
    readonly size: TaskSize;
    /** The caller's rough guess of how long a task takes. */
    readonly estimate: Milliseconds;
    /** Earlier steps, from 0, whose tasks must all be done first. */
    readonly after: readonly number[];
    readonly savesProgress: boolean;
    /** All tasks start together and end together. */
    readonly isGang: boolean;
    /** A gang that is spread over more than one rack takes longer. */
    readonly wantsOneRack: boolean;
    /** A label that the worker must have. */
    readonly requiredLabel: string | undefined;
    /** The rack that holds the data; elsewhere a task takes longer. */
    readonly dataRack: string | undefined;
    /** Most tasks of the step on one worker. */
    readonly mostPerWorker: number | undefined;
    /** Copies of a task may run at the same time; the first that ends counts. */
    readonly allowsCopies: boolean;
    /** The tasks run until the job is cancelled. */
    readonly isLasting: boolean;
    /** Most tasks of a lasting step that may be away at once through our doing. */
    readonly mayBeAway: number | undefined;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image: string | undefined;
    /** The tail of the answers' times that a lasting task is to keep under. */
    readonly latencyTarget: Milliseconds | undefined;
    /** Its processors are not counted: it gets what the others leave unused. */
    readonly fills: boolean;
}

/** When a job's steps run more than once. */
export interface Timetable {
    readonly occurrences: number;
    /** Due time of the first occurrence, in milliseconds since 1970. */
    readonly firstAt: number;
    readonly interval: Milliseconds;
}

/** One job as it was handed in. */
export interface JobDefinition {
    readonly job: JobId;
    readonly queue: QueueName;
    /** Whose job it is; undefined where its queue needs no key. Left out by programs that did not know of organisations. */
    readonly organisation?: OrganisationName;
    /** Passed on to each task as it is. */
    readonly payload: string;
    readonly steps: readonly StepDefinition[];
    readonly timetable: Timetable | undefined;
}

/** What a job's queue asks for. Kept with the job, as a queue may be dropped while its jobs run. */
export interface JobTerms {
    readonly service: ServiceName;
    readonly priority: number;
    readonly attempts: number;
    readonly extension: number;
    readonly latencyTarget: Milliseconds;
    readonly advice: AdvicePolicy | undefined;
    /** What its organisation may have at work; left out where that has no limit. */
    readonly organisationLimit?: TaskSize;
}

/** State of a job as callers are told it. */
export enum CellJobState {
    Queued = "queued",
    Running = "running",
    Completed = "completed",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** Whether a state is final. */
export const isTerminalState = (state: CellJobState): boolean =>
    state === CellJobState.Completed || state === CellJobState.Failed || state === CellJobState.Cancelled;

/** Where a task stands in its job. */
export interface TaskCoordinates {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** One run of a task, named. */
export interface RunName {
    readonly task: TaskAddress;
    readonly run: RunNumber;
}

/** Names a step of an occurrence. */
export const formatStepAddress = (job: JobId, occurrence: number, step: number): string =>
    `${job}/${occurrence}/${step}`;

/** Names a task. */
export const formatTaskAddress = ({ job, occurrence, step, index }: TaskCoordinates): TaskAddress =>
    taskAddress(`${job}/${occurrence}/${step}/${index}`);

/** Reads a task's name; undefined when it is not one. */
export const parseTaskAddress = (address: TaskAddress): TaskCoordinates | undefined => {
    const [job, occurrence, step, index, rest] = address.split("/");
    if (index === undefined || rest !== undefined) {
        return undefined;
    }
    const place = { job: job as JobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
    return Number.isInteger(place.occurrence + place.step + place.index) ? place : undefined;
};
