/** Speed of workers in data halls that were reopened recently. */
import { type DataHallName, logEvents, type Milliseconds } from "@pebbledale/core";
import { medianOf } from "../monitoring/index.js";
import type { CellContext, WorkerState } from "../state/index.js";
import { maxComparisons, minComparisons, recoveryTime, slowFrom, slowUntil } from "./constants.js";

interface Recovery {
    readonly until: Milliseconds;
    isSlow: boolean;
    /** Speeds relative to workers of other halls, as natural logarithms. */
    differences: readonly number[];
}

/**
 * Workers may be slow for a while after their data hall was reopened. A few completed runs show that for all of them, before each has
 * been measured by itself, so that urgent tasks prefer other workers.
 */
export class HallRecovery {
    readonly #recoveries = new Map<DataHallName, Recovery>();

    constructor(private readonly context: CellContext) {}

    begin(hall: DataHallName): void {
        this.#recoveries.set(hall, { until: this.context.now() + recoveryTime, isSlow: false, differences: [] });
    }

    /** Ends the recovery of a hall: it is closed again, or its time is over. */
    end(hall: DataHallName): void {
        if (this.#recoveries.delete(hall)) {
            this.#apply(hall, 1);
        }
    }

    isRecovering({ entry }: WorkerState): boolean {
        return entry !== undefined && this.#recoveries.has(entry.dataHall);
    }

    tick(): void {
        const now = this.context.now();
        for (const [hall, { until }] of [...this.#recoveries]) {
            if (now >= until) {
                this.end(hall);
            }
        }
    }

    /** Records how much faster a worker completed a task than another one a task of the same step, as a natural logarithm. */
    compare(worker: WorkerState, other: WorkerState, difference: number): void {
        if (this.isRecovering(worker) !== this.isRecovering(other)) {
            const [recovering, sample] = this.isRecovering(worker) ? [worker, difference] : [other, -difference];
            this.#learn(recovering.entry!.dataHall, sample);
        }
    }

    #learn(hall: DataHallName, difference: number): void {
        const recovery = this.#recoveries.get(hall)!;
        recovery.differences = [...recovery.differences, difference].slice(-maxComparisons);
        const slowness = Math.exp(-medianOf(recovery.differences));
        if (recovery.differences.length >= minComparisons) {
            this.#noteSlowness(hall, recovery, slowness);
            this.#apply(hall, recovery.isSlow ? slowness : 1);
        }
    }

    #noteSlowness(hall: DataHallName, recovery: Recovery, slowness: number): void {
        const isSlow = slowness >= (recovery.isSlow ? slowUntil : slowFrom);
        if (isSlow !== recovery.isSlow) {
            recovery.isSlow = isSlow;
            this.context.options.log.log(logEvents.reopenedHallSpeed, { hall, slowness: Number(slowness.toFixed(2)) });
        }
    }

    #apply(hall: DataHallName, slowness: number): void {
        for (const worker of this.context.workers.values()) {
            if (worker.entry?.dataHall === hall) {
                worker.hallSlowness = slowness;
            }
        }
    }
}
