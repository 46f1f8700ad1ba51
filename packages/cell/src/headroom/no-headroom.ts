/** Leaves no room free and stops nothing. */
import type { Headroom } from "./types.js";

/** See the module's comment. */
export class NoHeadroom implements Headroom {
    /** See {@link Headroom.begin}. */
    begin(): void {
        // Nothing is kept.
    }

    /** See {@link Headroom.limitFor}. */
    limitFor(): number {
        return Infinity;
    }

    /** See {@link Headroom.take}. */
    take(): void {
        // Nothing is kept.
    }

    /** See {@link Headroom.noteShortage}. */
    noteShortage(): void {
        // No room is made.
    }

    /** See {@link Headroom.keptIn}. */
    keptIn(): number {
        return 0;
    }

    /** See {@link Headroom.end}. */
    end(): void {
        // No room is made.
    }
}
