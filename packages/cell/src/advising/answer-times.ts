/** How much longer than expected answers take through groups of VMs. */
import type { Milliseconds } from "@pebbledale/core";

/** Weight of a new sample in a group's smoothed time, as for response times. */
const sampleWeight = 1 / 8;
/** Longer delays have causes other than the distance, such as a lost answer. */
const maxSample: Milliseconds = 200;
/** Another group is preferred once its answers come sooner by this. */
const minGain: Milliseconds = 5;

/** Smoothed delays of answers by group; tells which group is answered soonest. */
export class AnswerTimes {
    readonly #delays = new Map<string, Milliseconds>();
    #soonest: string | undefined;

    /** Undefined until two groups were measured. */
    get soonest(): string | undefined {
        return this.#soonest;
    }

    /** The group's delay; 0 before its first answer, so that each group is tried. */
    delayOf(group: string | undefined): Milliseconds {
        return group === undefined ? 0 : this.#delays.get(group) ?? 0;
    }

    /** Records how much later than expected an answer came; returns whether the soonest group has changed. */
    record(group: string, lateBy: Milliseconds): boolean {
        const sample = Math.min(maxSample, Math.max(0, lateBy));
        const former = this.#delays.get(group) ?? sample;
        this.#delays.set(group, former + (sample - former) * sampleWeight);
        if (this.#delays.size < 2) {
            return false;
        }
        const [best, delay] = [...this.#delays].reduce((least, entry) => entry[1] < least[1] ? entry : least);
        const isChange = best !== this.#soonest
            && (this.#soonest === undefined || this.delayOf(this.#soonest) - delay > minGain);
        this.#soonest = isChange ? best : this.#soonest;
        return isChange;
    }
}
