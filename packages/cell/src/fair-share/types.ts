/** Entitlements of organisations when demand exceeds capacity. */
import type { Job, Step } from "../state/index.js";

/** Whether a job was submitted within its organisation's entitlement. */
export enum Entitlement {
    Entitled = 0,
    /** Beyond its rate of jobs: it gets the capacity that entitled work leaves. */
    Surplus = 1,
}

/** Compares the jobs that organisations submit with what they are entitled to. */
export interface Entitlements {
    /** Counts a job that was accepted or recovered from an earlier owner. A repeated call for the same job has no effect. */
    noteJob(job: Job): void;
    entitlementOf(job: Job): Entitlement;
}

/** Orders steps of the same tier and priority between organisations. */
export interface FairShareOrder {
    /** 0 within the organisation's entitlement, more for surplus; lower goes first. */
    entitlementOf(step: Step): number;
}
