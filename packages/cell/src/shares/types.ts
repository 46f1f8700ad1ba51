/** What organisations are owed when there is not room for all. */
import type { Job, Step } from "../state/index.js";

/** Whether an organisation handed a job in within what it is owed. */
export enum Entitlement {
    Entitled = 0,
    /** Beyond its rate of jobs: it takes room that nobody owed wants. */
    Surplus = 1,
}

/** Keeps what organisations hand in against the rate of jobs that they are owed. */
export interface Entitlements {
    /** A job was accepted, or taken over from an earlier owner; each once. */
    noteJob(job: Job): void;
    /** What a job counts as. */
    entitlementOf(job: Job): Entitlement;
}

/** Orders steps of one urgency between organisations. */
export interface FairShareOrder {
    /** 0 where its organisation is owed it, more where it is surplus; lower goes first. */
    entitlementOf(step: Step): number;
}
