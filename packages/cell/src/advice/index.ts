/** The advice service, an external service that decides which workers may run a step. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";

/** Timing of the advice for a queue's steps. */
export interface AdvicePolicy {
    /** Constant part of the duration of a call. */
    readonly decision: Milliseconds;
    /** Duration added by each worker in a call. */
    readonly eachWorker: Milliseconds;
    /** How long a ticket is valid. */
    readonly validity: Milliseconds;
}

/** Expected duration of a call about this many workers. */
export const callDuration = ({ decision, eachWorker }: AdvicePolicy, workers: number): Milliseconds =>
    decision + eachWorker * workers;

/** Asks which of some workers may run a step. */
export interface AdviceQuestion {
    /** Job, occurrence and step, separated by slashes. */
    readonly step: string;
    readonly workers: readonly WorkerId[];
}

/** A worker that may run the step, with the ticket that start commands must carry. */
export interface Permit {
    readonly worker: WorkerId;
    readonly ticket: string;
}

/** Answer of the advice service: the permitted workers, or a rejection. */
export type AdviceAnswer =
    | { readonly kind: "advised"; readonly permits: readonly Permit[]; readonly validity: Milliseconds; }
    /** Too many calls of this VM are queued at the service. */
    | { readonly kind: "busy"; };

/** Upper bound of workers in one call. */
export const maxAdviceWorkers = 100;
/** Calls of one VM that the service queues; it rejects further ones. */
export const maxAdviceCalls = 32;

/** Client of the advice service. */
export interface AdviceClient {
    /** Sends a question. Rejects when no answer arrives within `timeout`. */
    ask(question: AdviceQuestion, timeout: Milliseconds, signal: AbortSignal): Promise<AdviceAnswer>;
}
