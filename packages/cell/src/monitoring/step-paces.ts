/** Paces of steps' tasks by worker. */
import type { WorkerId } from "@pebbledale/core";
import type { Step } from "../state/index.js";
import { estimateVariance, maxPeers, peerVariance } from "./constants.js";
import { medianOf } from "./median.js";

/** The pace expected of a step's tasks on a healthy worker. */
export interface ExpectedPace {
    /** Natural logarithm of the speed relative to the estimate. */
    readonly pace: number;
    readonly variance: number;
    /** Number of other workers from which it was learned. */
    readonly peers: number;
}

/** Weight of a new sample in the moving average of a worker. */
const newestWeight = 0.4;

/**
 * Learns the paces of each step's tasks on several workers. The tasks share the error of the caller's estimate, so differences are due to
 * the workers.
 */
export class StepPaces {
    readonly #paces = new WeakMap<Step, Map<WorkerId, number>>();

    /** Adds a sample of a step's tasks on a worker. */
    recordPace(step: Step, worker: WorkerId, pace: number): void {
        const paces = this.#paces.get(step) ?? new Map<WorkerId, number>();
        this.#paces.set(step, paces);
        const average = paces.get(worker);
        if (average === undefined && paces.size >= maxPeers) {
            return;
        }
        paces.set(worker, average === undefined ? pace : average + (pace - average) * newestWeight);
    }

    /** Combines the paces on other workers with the caller's estimate, whose weight is higher the fewer of them there are. */
    expectedPaceOf(step: Step, worker: WorkerId): ExpectedPace {
        const others = [...this.#paces.get(step) ?? []].filter(([id]) => id !== worker).map(([, pace]) => pace);
        const peers = others.length;
        if (peers === 0) {
            return { pace: 0, variance: estimateVariance, peers };
        }
        const precisionOfPeers = peers / peerVariance;
        const precision = precisionOfPeers + 1 / estimateVariance;
        return { pace: medianOf(others) * precisionOfPeers / precision, variance: 1 / precision, peers };
    }
}
