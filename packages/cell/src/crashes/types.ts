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

/** Why the runs of a worker are lost. */
export interface Loss {
    /** Text for the log. */
    readonly reason: string;
    readonly cause: LossCause;
    /** Whether many other workers of its service were lost at the same time. */
    readonly isShared: boolean;
    /**
     * Whether the loss says little about a task even at the start of its run: it is one of a series, or suspects of several jobs were on
     * trial at the worker.
     */
    readonly isAmbiguous: boolean;
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
