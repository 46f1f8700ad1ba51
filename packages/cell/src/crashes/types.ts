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

/** Verdict on a task by the strikes against it. */
export enum Judgement {
    /** It is placed like any other task. */
    Trusted = "trusted",
    /** It runs only in isolated trials. */
    Suspect = "suspect",
    /** Its proved strikes do not convict it, but all strikes together would: it waits for an explanation of the silences. */
    Unclear = "unclear",
    /** It is given up, because it crashes its workers. */
    AtFault = "at-fault",
}
