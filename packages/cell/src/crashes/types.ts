/** Words of the judgement on crashes. */

/** What became of a worker that was lost with runs on it. */
export enum LossCause {
    /** Another life answers at its address: it crashed. */
    Crashed = "crashed",
    /** It is silent until every lease there is over: it crashed, or is cut off and runs on. */
    Silent = "silent",
    /** It lives, or has left in peace, and no longer has the run. */
    Alive = "alive",
}

/** What a task may do, by what is held against it. */
export enum Judgement {
    /** It is placed like any other. */
    Trusted = "trusted",
    /** It is tried apart from others. */
    Suspect = "suspect",
    /** Crashes and silences together would give it up, crashes alone do not: it waits for word of the silent workers. */
    Unclear = "unclear",
    /** It crashes the workers that start it. */
    AtFault = "at-fault",
}
