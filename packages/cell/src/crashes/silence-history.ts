/** Times at which workers fell silent. */
import type { Milliseconds, ServiceName, WorkerId } from "@pebbledale/core";
import { minSharedFraction, minSharedLosses, sharedLossWindow } from "./constants.js";

/** Bounds the history to a few times the number of workers in a large cell. */
const maxRecorded = 2_000;

/** The latest silence of a worker. Kept after the worker is gone, because losses at the same time may be judged later. */
interface RecordedSilence {
    readonly at: Milliseconds;
    /** Undefined when this owner had no entry of the worker. */
    readonly service: ServiceName | undefined;
}

/** Distinguishes losses that many workers shared, such as a network failure, from those that a task may have caused. */
export class SilenceHistory {
    /** Latest silence of each worker, oldest first. */
    readonly #silences = new Map<WorkerId, RecordedSilence>();

    record(worker: WorkerId, service: ServiceName | undefined, at: Milliseconds): void {
        this.#silences.delete(worker);
        this.#silences.set(worker, { at, service });
        const oldest = this.#silences.keys().next().value;
        if (this.#silences.size > maxRecorded && oldest !== undefined) {
            this.#silences.delete(oldest);
        }
    }

    /** Whether many other workers of its service fell silent together with a worker. `workers`: size of the service. */
    isShared(worker: WorkerId, workers: number): boolean {
        const silence = this.#silences.get(worker);
        if (silence === undefined) {
            return false;
        }
        let others = 0;
        for (const [other, { at, service }] of this.#silences) {
            const isSimultaneous = service === silence.service && Math.abs(at - silence.at) <= sharedLossWindow;
            others += other !== worker && isSimultaneous ? 1 : 0;
        }
        return others >= Math.max(minSharedLosses, workers * minSharedFraction);
    }
}
