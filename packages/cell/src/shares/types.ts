/** What organisations are owed when there is not room for all. */
import type { Milliseconds } from "@pebbledale/core";
import type { Job, Step } from "../state/index.js";

/** Whether an organisation handed a job in within what it is owed. */
export enum Entitlement {
    Owed = 0,
    /** Beyond its rate of jobs: it takes room that nobody owed wants. */
    Surplus = 1,
}

/** Keeps what organisations hand in against the rate of jobs that they are owed. */
export interface Entitlements {
    /** A job was accepted, or taken over from an earlier owner; each once. */
    noteJob(job: Job, now: Milliseconds): void;
    /** What a job counts as. */
    of(job: Job): Entitlement;
}

/** Orders steps of one urgency between organisations. */
export interface ShareOrder {
    /** Begins a pass. */
    begin(now: Milliseconds): void;
    /** Place among steps of one prospect and priority; lower goes first. */
    standingOf(step: Step): number;
}
