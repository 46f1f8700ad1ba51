/** The service that alone knows which workers may run a step. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";

/** How a queue's steps are advised on. */
export interface AdvicePolicy {
    /** What one call takes, whatever it names. */
    readonly decision: Milliseconds;
    /** What each worker that a call names adds. */
    readonly eachWorker: Milliseconds;
    /** How long a ticket holds. */
    readonly validity: Milliseconds;
}

/** What a call that names `workers` takes at the service. */
export const callDuration = ({ decision, eachWorker }: AdvicePolicy, workers: number): Milliseconds =>
    decision + eachWorker * workers;

/** Names a step of an occurrence of a job: job, occurrence and step, with slashes between. */
export interface AdviceQuestion {
    readonly step: string;
    readonly workers: readonly WorkerId[];
}

/** A worker that may run the step, with the ticket that its starts carry. */
export interface Permit {
    readonly worker: WorkerId;
    readonly ticket: string;
}

/** Answer of the advice service. */
export type AdviceAnswer =
    | { readonly kind: "advised"; readonly permits: readonly Permit[]; readonly validity: Milliseconds; }
    /** Too many calls of this VM wait there. */
    | { readonly kind: "busy"; };

/** Most workers that one call names. */
export const maxAdviceWorkers = 100;
/** Most calls of one VM that wait at the service; it turns further ones away. */
export const maxAdviceCalls = 32;

/** Calls of the advice service. */
export interface AdviceClient {
    /** Asks which workers may run a step. Rejects when no answer came. */
    ask(question: AdviceQuestion, limit: Milliseconds, signal: AbortSignal): Promise<AdviceAnswer>;
}
