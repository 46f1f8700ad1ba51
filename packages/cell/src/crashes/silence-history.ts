/** Times at which workers fell silent. */
import type { Milliseconds, ServiceName, WorkerId } from "@pebbledale/core";
import type { WorkerState } from "../state/index.js";
import { minSharedFraction, minSharedLosses, otherLossWindow, sharedLossWindow } from "./constants.js";

/** Bounds the history to a few times the number of workers in a large cell. */
const maxRecorded = 2_000;

/** The latest silence of a worker. Kept after the worker is gone, because losses at the same time may be judged later. */
interface RecordedSilence {
    readonly at: Milliseconds;
    /** Undefined when this owner had no entry of the worker. */
    readonly service: ServiceName | undefined;
    /** Whether a suspect was on trial there. */
    readonly hadTrial: boolean;
}

/** Distinguishes losses that many workers shared, such as a network failure, from those that a task may have caused. */
export class SilenceHistory {
    /** Latest silence of each worker, oldest first. */
    readonly #silences = new Map<WorkerId, RecordedSilence>();

    record({ id: worker, entry, trialRuns }: WorkerState, at: Milliseconds): void {
        this.#silences.delete(worker);
        this.#silences.set(worker, { at, service: entry?.service, hadTrial: trialRuns > 0 });
        const oldest = this.#silences.keys().next().value;
        if (this.#silences.size > maxRecorded && oldest !== undefined) {
            this.#silences.delete(oldest);
        }
    }

    /** Whether many other workers of its service fell silent together with a worker. `workers`: size of the service. */
    isShared(worker: WorkerId, workers: number): boolean {
        return this.#countOthers(worker, sharedLossWindow, () => true)
            >= Math.max(minSharedLosses, workers * minSharedFraction);
    }

    /** Number of other workers of its service that fell silent about the same time as a worker and had no trial. */
    countOthers(worker: WorkerId): number {
        return this.#countOthers(worker, otherLossWindow, ({ hadTrial }) => !hadTrial);
    }

    #countOthers(worker: WorkerId, window: Milliseconds, counts: (silence: RecordedSilence) => boolean): number {
        const silence = this.#silences.get(worker);
        if (silence === undefined) {
            return 0;
        }
        let others = 0;
        for (const [other, candidate] of this.#silences) {
            const isNear = candidate.service === silence.service && Math.abs(candidate.at - silence.at) <= window;
            others += other !== worker && isNear && counts(candidate) ? 1 : 0;
        }
        return others;
    }
}
