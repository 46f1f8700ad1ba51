/** Whether a job is taken in at all. */
import type { Milliseconds } from "@pebbledale/core";
import type { JobDefinition, JobTerms } from "../state/index.js";

/** What becomes of a job that is handed in. */
export type AdmissionVerdict =
    | { readonly kind: "admitted"; }
    /** It would earn nothing were it taken in now. */
    | { readonly kind: "rejected"; readonly retryAfter: Milliseconds; readonly reason: AdmissionReason; };

/** Why a job is not taken in. */
export enum AdmissionReason {
    /** What waits ahead of it takes longer than it can wait. */
    NoRoomInTime = "no-room-in-time",
    /** Its organisation hands in more than it is owed while others wait. */
    BeyondShare = "beyond-share",
}

/** Judges jobs as they are handed in. Steps of jobs that were accepted are not judged again. */
export interface AdmissionPolicy {
    /** Judges a job that is not known yet. */
    judge(definition: JobDefinition, terms: JobTerms, now: Milliseconds): AdmissionVerdict;
}
