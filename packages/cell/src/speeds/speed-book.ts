/**
 * Learns workers' speeds from how long their tasks take beside others of the same step elsewhere, which share the error of their caller's
 * estimate.
 *
 * Bounded by the workers; a new owner has it again once each worker has ended a few tasks.
 */
import type { Milliseconds } from "@pebbledale/core";
import type { Step, TaskRun, WorkerState } from "../state/index.js";
import { paceOfDone } from "../watching/index.js";
import { equalityTolerance, maxDifference, maxPeers, maxWeight, minWeight, priorWeight } from "./constants.js";
import type { WorkerSpeeds } from "./types.js";

/** What is known of one worker. */
interface SpeedEstimate {
    /** Sum of the samples by weight. */
    sum: number;
    weight: number;
}

/** See the module's comment. */
export class SpeedEstimator implements WorkerSpeeds {
    /** By worker's life: of the next one nothing is known. */
    readonly #estimates = new WeakMap<WorkerState, SpeedEstimate>();
    /** By step, the latest pace of its tasks on each worker. */
    readonly #paces = new WeakMap<Step, Map<WorkerState, number>>();

    /** See {@link WorkerSpeeds.noteDone}. */
    noteDone(run: TaskRun, now: Milliseconds): void {
        const { worker, task: { step } } = run;
        const pace = paceOfDone(run, now);
        if (pace === undefined || worker.slowUntil > now) {
            // A worker that is taken for slow at present says nothing of its usual speed.
            return;
        }
        const paces = this.#paces.get(step) ?? new Map<WorkerState, number>();
        this.#paces.set(step, paces);
        const others = [...paces].filter(([other]) => other !== worker);
        for (const [other, otherPace] of others) {
            this.#compare(worker, other, pace - otherPace, 1 / (others.length + 1));
        }
        if (paces.has(worker) || paces.size < maxPeers) {
            paces.set(worker, pace);
        }
    }

    /** See {@link WorkerSpeeds.forgetWorker}. */
    forgetWorker(worker: WorkerState): void {
        this.#estimates.delete(worker);
        worker.slowness = 1;
    }

    /** Both workers of a pair learn from it: the first of a step to end has nobody to be compared with before. */
    #compare(worker: WorkerState, other: WorkerState, difference: number, weight: number): void {
        const speed = this.#speedOf(worker);
        const otherSpeed = this.#speedOf(other);
        this.#learn(worker, otherSpeed + difference, weight);
        this.#learn(other, speed - difference, weight);
    }

    #learn(worker: WorkerState, difference: number, weight: number): void {
        const known = this.#estimates.get(worker) ?? { sum: 0, weight: 0 };
        this.#estimates.set(worker, known);
        const kept = Math.min(1, maxWeight / (known.weight + weight));
        const sample = Math.max(-maxDifference, Math.min(maxDifference, difference));
        known.sum = (known.sum + sample * weight) * kept;
        known.weight = (known.weight + weight) * kept;
        worker.slowness = this.#slownessOf(worker, known);
    }

    #slownessOf(worker: WorkerState, { weight }: SpeedEstimate): number {
        const speed = this.#speedOf(worker);
        return weight < minWeight || Math.abs(speed) < equalityTolerance ? 1 : Math.exp(-speed);
    }

    #speedOf(worker: WorkerState): number {
        const known = this.#estimates.get(worker);
        return known === undefined ? 0 : known.sum / (known.weight + priorWeight);
    }
}
