/**
 * The paces of each step's tasks on several workers. They share the error of the caller's estimate, so what differs is their workers'
 * doing.
 */
import type { WorkerId } from "@pebbledale/core";
import type { Step } from "../state/index.js";
import { estimateVariance, maxPeers, peerVariance } from "./constants.js";
import { medianOf } from "./middle.js";

/** What the pace of a step's tasks is expected to be on a sound worker. */
export interface ExpectedPace {
    /** Natural logarithm of a multiple of what the estimate says. */
    readonly pace: number;
    readonly variance: number;
    /** Other workers that it was learned from. */
    readonly peers: number;
}

/** Later samples of a worker weigh this much against the earlier ones together. */
const newestWeight = 0.4;

/** See the module's comment. */
export class StepPaces {
    readonly #paces = new WeakMap<Step, Map<WorkerId, number>>();

    /** A sample of a step's tasks on a worker. */
    note(step: Step, worker: WorkerId, pace: number): void {
        const paces = this.#paces.get(step) ?? new Map<WorkerId, number>();
        this.#paces.set(step, paces);
        const former = paces.get(worker);
        if (former === undefined && paces.size >= maxPeers) {
            return;
        }
        paces.set(worker, former === undefined ? pace : former + (pace - former) * newestWeight);
    }

    /** From the other workers of a step, and from the estimate as far as these are few. */
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
