/** Estimate of workers' speeds from completed runs. */
import type { Milliseconds } from "@pebbledale/core";
import type { HallRecovery } from "../data-halls/index.js";
import { paceOfCompleted } from "../monitoring/index.js";
import type { Step, TaskRun, WorkerState } from "../state/index.js";
import { equalityTolerance, maxDifference, maxPeers, maxWeight, minWeight, priorWeight } from "./constants.js";
import type { WorkerSpeeds } from "./types.js";

/** Accumulated samples of one worker. */
interface SpeedEstimate {
    /** Weighted sum of the samples. */
    sum: number;
    weight: number;
}

/**
 * Estimates workers' speeds by comparing runs of the same step on different workers, which share the error of the caller's estimate.
 * Estimates are not persisted: a new owner learns them again from the next completed runs.
 */
export class SpeedEstimator implements WorkerSpeeds {
    /** By incarnation of a worker: a restarted one starts without an estimate. */
    readonly #estimates = new WeakMap<WorkerState, SpeedEstimate>();
    /** The latest pace of each step's tasks, by worker. */
    readonly #paces = new WeakMap<Step, Map<WorkerState, number>>();

    constructor(private readonly recovery: Pick<HallRecovery, "compare" | "isRecovering">) {}

    recordCompletion(run: TaskRun, now: Milliseconds): void {
        const { worker, task: { step } } = run;
        const pace = paceOfCompleted(run, now);
        if (pace === undefined || worker.slowUntil > now) {
            // A worker that is slow at present does not show its usual speed.
            return;
        }
        const paces = this.#paces.get(step) ?? new Map<WorkerState, number>();
        this.#paces.set(step, paces);
        const others = [...paces].filter(([other]) => other !== worker);
        for (const [other, otherPace] of others) {
            this.recovery.compare(worker, other, pace - otherPace);
            if (this.recovery.isRecovering(worker) || this.recovery.isRecovering(other)) {
                // Nor does one whose data hall was reopened recently.
                continue;
            }
            this.#compare(worker, other, pace - otherPace, 1 / (others.length + 1));
        }
        if (paces.has(worker) || paces.size < maxPeers) {
            paces.set(worker, pace);
        }
    }

    forgetWorker(worker: WorkerState): void {
        this.#estimates.delete(worker);
        worker.slowness = 1;
    }

    /** Updates both workers of a pair, as the first one to complete a task of a step had no peer at the time. */
    #compare(worker: WorkerState, other: WorkerState, difference: number, weight: number): void {
        const speed = this.#speedOf(worker);
        const otherSpeed = this.#speedOf(other);
        this.#learn(worker, otherSpeed + difference, weight);
        this.#learn(other, speed - difference, weight);
    }

    /** Adds a sample: the speed that one comparison suggests, as a natural logarithm relative to the typical worker's. */
    #learn(worker: WorkerState, speed: number, weight: number): void {
        const estimate = this.#estimates.get(worker) ?? { sum: 0, weight: 0 };
        this.#estimates.set(worker, estimate);
        const retained = Math.min(1, maxWeight / (estimate.weight + weight));
        const sample = Math.max(-maxDifference, Math.min(maxDifference, speed));
        estimate.sum = (estimate.sum + sample * weight) * retained;
        estimate.weight = (estimate.weight + weight) * retained;
        worker.slowness = this.#slownessOf(worker, estimate);
    }

    #slownessOf(worker: WorkerState, { weight }: SpeedEstimate): number {
        const speed = this.#speedOf(worker);
        return weight < minWeight || Math.abs(speed) < equalityTolerance ? 1 : Math.exp(-speed);
    }

    #speedOf(worker: WorkerState): number {
        const estimate = this.#estimates.get(worker);
        return estimate === undefined ? 0 : estimate.sum / (estimate.weight + priorWeight);
    }
}
