/** The advice service of a replay: which workers may run a step never changes. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import type { Permit } from "../../../src/index.js";

/** See the module's comment. */
export class SimulatedAdvice {
    constructor(private readonly seed: number) {}

    /** Whether a worker may run a step. */
    isPermitted(step: string, worker: WorkerId, share: number): boolean {
        return hashOf(`${this.seed} ${step} ${worker}`) < share;
    }

    /** Permits of a question, with the time until which they hold as tickets. */
    permitsOf(step: string, workers: readonly WorkerId[], share: number, until: Milliseconds): Permit[] {
        return workers
            .filter(worker => this.isPermitted(step, worker, share))
            .map(worker => ({ worker, ticket: String(until) }));
    }
}

/** A number in [0, 1) that hangs on a text alone (FNV-1a, then mixed). */
const hashOf = (text: string): number => {
    let hash = 0x81_1c_9d_c5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
    }
    hash = Math.imul(hash ^ (hash >>> 15), 0x2c_1b_3c_6d);
    hash = Math.imul(hash ^ (hash >>> 12), 0x29_7a_2d_39);
    return ((hash ^ (hash >>> 15)) >>> 0) / 0x1_0000_0000;
};
