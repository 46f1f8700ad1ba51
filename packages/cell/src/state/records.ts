/** Records of a cell's journal. Their fields and kinds are a storage format. */
import type { JobId, RunNumber, TaskAddress, WorkerId, WorkerIncarnation } from "@pebbledale/core";
import type { RunEnd } from "../task-worker/index.js";
import type { JobDefinition, JobTerms } from "./definition.js";
import type { Strike } from "./strikes.js";

/** A job was accepted. Committed before its caller gets the answer. */
export interface AcceptedRecord {
    readonly kind: "accepted";
    /** In milliseconds since 1970. */
    readonly at: number;
    readonly definition: JobDefinition;
    /** Stored because a later owner's configuration may not contain the queue. */
    readonly terms: JobTerms;
}

/** A job was cancelled by its caller. Committed before the caller gets the answer. */
export interface CancelledRecord {
    readonly kind: "cancelled";
    readonly at: number;
    readonly job: JobId;
}

/** A run was ordered. Committed before the order is sent, so that a later owner knows where the task may be running. */
export interface StartedRecord {
    readonly kind: "started";
    readonly worker: WorkerId;
    /** Incarnation from which the run was ordered; absent as in {@link WorkerRecord}. */
    readonly life?: WorkerIncarnation;
    readonly task: TaskAddress;
    readonly run: RunNumber;
}

/** A run ended. Committed before the worker may forget the end and before the job's reported state changes. */
export interface EndedRecord {
    readonly kind: "ended";
    readonly at: number;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly end: RunEnd;
    readonly checkpoint: string;
    /** Whether the task has used up its attempts, so that its job has failed. */
    readonly isFinal: boolean;
}

/** An ordered run is over although its worker reported no end: it was not started, or its lease has expired. */
export interface LostRecord {
    readonly kind: "lost";
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** Strike against the task because the worker may have crashed under it; absent when there is none. */
    readonly strike?: Strike;
}

/** It became known whether a worker that was lost with a run had crashed or was only unreachable. */
export interface ExplainedRecord {
    readonly kind: "explained";
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly isCrash: boolean;
}

/**
 * A run of a task with strikes was seen to run on past its start. Without this record, a later owner takes the run for one at its
 * start. Written once for such a run, and for no other.
 */
export interface PastStartRecord {
    readonly kind: "past-start";
    readonly task: TaskAddress;
    readonly run: RunNumber;
}

/** A run outlived the strikes against its task, which are dropped. */
export interface ClearedRecord {
    readonly kind: "cleared";
    readonly task: TaskAddress;
}

/** A task repeatedly crashed its workers, so that its job has failed. */
export interface GivenUpRecord {
    readonly kind: "given-up";
    readonly at: number;
    readonly task: TaskAddress;
}

/** The retention period of an ended job is over: the job is removed. */
export interface ForgottenRecord {
    readonly kind: "forgotten";
    readonly job: JobId;
}

/** A worker from which runs may be ordered. A later owner polls it before it assumes that nothing runs there. */
export interface WorkerRecord {
    readonly kind: "worker";
    readonly worker: WorkerId;
    readonly address: string;
    /** Its current incarnation; absent while that is unknown, and in records of versions without incarnations. */
    readonly life?: WorkerIncarnation;
}

/** A worker is gone: no run of it can be running any more. */
export interface WorkerGoneRecord {
    readonly kind: "worker-gone";
    readonly worker: WorkerId;
}

/** Any record of the journal, by its `kind`. */
export type CellRecord =
    | AcceptedRecord
    | CancelledRecord
    | StartedRecord
    | EndedRecord
    | LostRecord
    | ExplainedRecord
    | PastStartRecord
    | ClearedRecord
    | GivenUpRecord
    | ForgottenRecord
    | WorkerRecord
    | WorkerGoneRecord;
