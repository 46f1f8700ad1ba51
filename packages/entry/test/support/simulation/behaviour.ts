/** Scripted tasks of simulated workers. */
import type { Milliseconds } from "@pebbledale/core";

/** Kind of a scripted task. */
export enum TaskKind {
    Done = "done",
    /** Fails by its own fault. */
    Failed = "failed",
    /** Crashes its worker. */
    Crash = "crash",
    /** Runs only together with the other members of its gang. */
    Gang = "gang",
    /** Several copies may run at once. */
    Copied = "copied",
    Lasting = "lasting",
}

/** What a task does, as its payload says: `done 600` runs for 600 ms, `gang 2 300` for 300 ms once both members have started. */
export interface Behaviour {
    readonly kind: TaskKind;
    /** Size of the gang. */
    readonly members: number;
    /** Duration. */
    readonly after: Milliseconds;
}

/** Decodes a payload. */
export const behaviourOf = (payload: string): Behaviour => {
    const [kind, ...numbers] = payload.split(" ");
    const after = Number(numbers.at(-1) ?? 0);
    const members = numbers.length > 1 ? Number(numbers[0]) : 1;
    return { kind: kind as TaskKind, members, after };
};
