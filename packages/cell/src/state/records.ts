/** What the journal of a cell holds. */
import type { JobId, RunNumber, TaskAddress, WorkerId, WorkerIncarnation } from "@pebbledale/core";
import type { RunEnd } from "../task-worker/index.js";
import type { JobDefinition, JobTerms } from "./definition.js";
import type { Strike } from "./strikes.js";

/** A job was accepted. Kept before its caller hears of it. */
export interface AcceptedRecord {
    readonly kind: "accepted";
    /** Milliseconds since 1970. */
    readonly at: number;
    readonly definition: JobDefinition;
    /** What its queue asks for. A later owner may not know the queue yet, or no longer. */
    readonly terms: JobTerms;
}

/** A job was cancelled by its caller. Kept before the caller hears of it. */
export interface CancelledRecord {
    readonly kind: "cancelled";
    readonly at: number;
    readonly job: JobId;
}

/** A run is ordered. Kept before the order is sent, so that a later owner knows where a task may be at work. */
export interface StartedRecord {
    readonly kind: "started";
    readonly worker: WorkerId;
    /** The life that it is ordered of; left out as in {@link WorkerRecord}. */
    readonly life?: WorkerIncarnation;
    readonly task: TaskAddress;
    readonly run: RunNumber;
}

/** A run ended. Kept before its worker is told to forget it and before the job's state shows it. */
export interface EndedRecord {
    readonly kind: "ended";
    readonly at: number;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly end: RunEnd;
    readonly checkpoint: string;
    /** Whether the task has failed as often as it may, so that its job has failed. */
    readonly isFinal: boolean;
}

/** A run that was ordered is over without an end that its worker listed: it was not started, or its lease is over. */
export interface LostRecord {
    readonly kind: "lost";
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** What is held against the task, as its worker may have crashed under it; left out when nothing is. */
    readonly strike?: Strike;
}

/** Word of a worker that was lost with a run: it crashed, or it lived on. */
export interface ExplainedRecord {
    readonly kind: "explained";
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly isCrash: boolean;
}

/** A run outlived what was held against its task. */
export interface ClearedRecord {
    readonly kind: "cleared";
    readonly task: TaskAddress;
}

/** A task crashes the workers that start it: its job has failed. */
export interface GivenUpRecord {
    readonly kind: "given-up";
    readonly at: number;
    readonly task: TaskAddress;
}

/** A job that ended long enough ago is no longer known. */
export interface ForgottenRecord {
    readonly kind: "forgotten";
    readonly job: JobId;
}

/** A worker that runs may be ordered on. A later owner asks it before it trusts that nothing runs there. */
export interface WorkerRecord {
    readonly kind: "worker";
    readonly worker: WorkerId;
    readonly address: string;
    /** Its present life; left out while that is not known, and by programs that did not know of lives. */
    readonly life?: WorkerIncarnation;
}

/** A worker is gone: nothing of it can run any more. */
export interface WorkerGoneRecord {
    readonly kind: "worker-gone";
    readonly worker: WorkerId;
}

/** One record. */
export type CellRecord =
    | AcceptedRecord
    | CancelledRecord
    | StartedRecord
    | EndedRecord
    | LostRecord
    | ExplainedRecord
    | ClearedRecord
    | GivenUpRecord
    | ForgottenRecord
    | WorkerRecord
    | WorkerGoneRecord;
