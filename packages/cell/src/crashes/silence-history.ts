/** Times at which workers fell silent. */
import type { Milliseconds, ServiceName, WorkerId } from "@pebbledale/core";
import type { WorkerState } from "../state/index.js";
import { lossSeriesWindow, minSharedFraction, minSharedLosses, sharedLossWindow } from "./constants.js";

/** Bounds the history to a few times the number of workers in a large cell. */
const maxRecorded = 2_000;

/** A silence of a worker. Kept after the worker is gone, because losses at the same time may be judged later. */
interface RecordedSilence {
    readonly worker: WorkerId;
    readonly at: Milliseconds;
    /** Undefined when this owner had no entry of the worker. */
    readonly service: ServiceName | undefined;
    /** Whether a suspect was on trial there. */
    readonly hadTrial: boolean;
}

interface NearbySilence {
    /** Time from the worker's silence to this one; negative when this one came first. */
    readonly distance: Milliseconds;
    readonly hadTrial: boolean;
}

/** Distinguishes losses that many workers shared, such as a network failure, from those that a task may have caused. */
export class SilenceHistory {
    /** Oldest first. A worker that restarts under its id may occur several times. */
    readonly #silences: RecordedSilence[] = [];

    record({ id: worker, entry, trialRuns }: WorkerState, at: Milliseconds): void {
        this.#silences.push({ worker, at, service: entry?.service, hadTrial: trialRuns > 0 });
        if (this.#silences.length > maxRecorded) {
            this.#silences.shift();
        }
    }

    /** Whether many other workers of its service fell silent together with a worker. `workers`: size of the service. */
    isShared(worker: WorkerId, workers: number): boolean {
        const others = this.#countOthers(worker, ({ distance }) => Math.abs(distance) <= sharedLossWindow);
        return others >= Math.max(minSharedLosses, workers * minSharedFraction);
    }

    /**
     * Whether workers of its service fell silent one after the other, some before and some after a worker, and not because of trials.
     * `workers`: size of the service.
     */
    isInSeries(worker: WorkerId, workers: number): boolean {
        const isNear = (distance: Milliseconds) => distance > sharedLossWindow && distance <= lossSeriesWindow;
        const before = this.#countOthers(worker, ({ distance, hadTrial }) => !hadTrial && isNear(-distance));
        const after = this.#countOthers(worker, ({ distance, hadTrial }) => !hadTrial && isNear(distance));
        return Math.min(before, after) >= Math.max(1, workers * minSharedFraction);
    }

    #countOthers(worker: WorkerId, counts: (other: NearbySilence) => boolean): number {
        const silence = this.#silences.findLast(candidate => candidate.worker === worker);
        if (silence === undefined) {
            return 0;
        }
        let others = 0;
        for (const { worker: other, at, service, hadTrial } of this.#silences) {
            const isOther = other !== worker && service === silence.service;
            others += isOther && counts({ distance: at - silence.at, hadTrial }) ? 1 : 0;
        }
        return others;
    }
}
