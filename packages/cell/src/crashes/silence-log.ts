/** Remembers when workers fell silent, so that a loss that many shared is told from one that a task may have brought about. */
import type { Milliseconds, ServiceName, WorkerId } from "@pebbledale/core";
import { minSharedFraction, minSharedLosses, sharedLossWindow } from "./constants.js";

/** Most silences that are remembered: a few times all workers of a large cell. */
const maxRecorded = 2_000;

/** A worker fell silent. It is remembered also once the worker is gone: others that were lost with it are looked at after it. */
interface RecordedSilence {
    readonly at: Milliseconds;
    /** Undefined when the platform had not listed the worker to this owner. */
    readonly service: ServiceName | undefined;
}

/** See the module's comment. */
export class SilenceHistory {
    /** The latest silence of each worker, the oldest first. */
    readonly #silences = new Map<WorkerId, RecordedSilence>();

    /** A worker of a service fell silent. */
    note(worker: WorkerId, service: ServiceName | undefined, at: Milliseconds): void {
        this.#silences.delete(worker);
        this.#silences.set(worker, { at, service });
        const oldest = this.#silences.keys().next().value;
        if (this.#silences.size > maxRecorded && oldest !== undefined) {
            this.#silences.delete(oldest);
        }
    }

    /** Whether many others of its service, which has so many `workers`, fell silent together with a worker. */
    isShared(worker: WorkerId, workers: number): boolean {
        const silence = this.#silences.get(worker);
        if (silence === undefined) {
            return false;
        }
        let others = 0;
        for (const [other, { at, service }] of this.#silences) {
            const isWithIt = service === silence.service && Math.abs(at - silence.at) <= sharedLossWindow;
            others += other !== worker && isWithIt ? 1 : 0;
        }
        return others >= Math.max(minSharedLosses, workers * minSharedFraction);
    }
}
