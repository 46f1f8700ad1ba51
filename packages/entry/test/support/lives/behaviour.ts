/** What a task does, by its payload: `done 600` works for 600 ms, `gang 2 300` works for 300 ms once both members are there. */
import type { Milliseconds } from "@pebbledale/core";

/** What kind of task it is. */
export enum TaskKind {
    Done = "done",
    /** Fails by its own fault. */
    Failed = "failed",
    /** Takes its worker down. */
    Crash = "crash",
    /** Works only together with the other members. */
    Gang = "gang",
    /** Copies of it may run beside each other. */
    Copied = "copied",
    /** Runs until it is stopped. */
    Lasting = "lasting",
}

/** See the module's comment. */
export interface Behaviour {
    readonly kind: TaskKind;
    /** How many work together. */
    readonly members: number;
    /** How long it takes. */
    readonly after: Milliseconds;
}

/** Reads a payload. */
export const behaviourOf = (payload: string): Behaviour => {
    const [kind, ...numbers] = payload.split(" ");
    const after = Number(numbers.at(-1) ?? 0);
    const members = numbers.length > 1 ? Number(numbers[0]) : 1;
    return { kind: kind as TaskKind, members, after };
};
