/** Types of the judgement on crashes. */

/** What is known about a worker that no longer has its runs. */
export enum LossCause {
    /** It crashed: another incarnation or another worker answers at its address. */
    Crashed = "crashed",
    /** It was silent until its leases expired: it crashed or is only unreachable. */
    Silent = "silent",
    /** It answers without the run, or left in an orderly way. */
    Alive = "alive",
}

/** What happened to other workers, and to other suspects, when a worker was lost. */
export interface LossCircumstances {
    /** Number of workers of its service. */
    readonly workers: number;
    /** Number of other workers of its service that were lost about the same time and had no suspect on trial, which may have caused it. */
    readonly otherLosses: number;
    /** Whether suspects of several jobs were on trial at the lost worker. */
    readonly hasOtherSuspects: boolean;
}

/** Why the runs of a worker are lost. */
export interface Loss {
    /** Text for the log. */
    readonly reason: string;
    readonly cause: LossCause;
    /** Whether many other workers of its service were lost at the same time. */
    readonly isShared: boolean;
    readonly circumstances: LossCircumstances;
}

/** Verdict on a task by the strikes against it. */
export enum Judgement {
    /** It is placed like any other task. */
    Trusted = "trusted",
    /** It runs only in trials. */
    Suspect = "suspect",
    /** Its proved strikes do not convict it, but all strikes together would: it waits for an explanation of the silences. */
    Unclear = "unclear",
    /** It is given up, because it crashes its workers. */
    AtFault = "at-fault",
}
