/** Chooses workers for the tasks of one step. */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import type { Step, WorkerState } from "../state/index.js";
import { servingCost, wideTasksPerWorker } from "./constants.js";

/** Some tasks of a step at one worker. */
export interface Share {
    readonly worker: WorkerState;
    readonly count: number;
    readonly ticket: string | undefined;
}

/** A worker that may run a step, and how much of it. */
interface Candidate extends Share {
    /** Lower is better. */
    readonly cost: number;
}

/** What a choice is made from. */
export interface ChoiceInput {
    readonly step: Step;
    readonly service: ServiceName;
    readonly workers: Iterable<WorkerState>;
    readonly now: Milliseconds;
    /** How many tasks a worker takes at most, so that room that is kept for others stays kept. */
    readonly limit: (worker: WorkerState) => number;
    /** What speaks against a worker, added to its cost. */
    readonly doubt: (worker: WorkerState) => number;
}

/** Added for a worker on another rack than the step's data: that takes longer, so it comes after all near ones. */
const farCost = 1_000;

/**
 * Cost of an accelerator that stays free, as processors: a worker has few of them, and those of one worker have to be free
 * together for the tasks that need all.
 */
const acceleratorCost = 10;

/** Whether a worker may run a step, whatever its room and tickets. */
export const isEligible = (worker: WorkerState, step: Step, service: ServiceName, now: Milliseconds): boolean => {
    const { requiredLabel } = step.definition;
    return worker.isOpen(now)
        && worker.entry?.service === service
        && (requiredLabel === undefined || worker.labels.includes(requiredLabel));
};

/** Whether a step's tasks are so wide that room for one seldom opens by itself. */
export const isWide = (step: Step, workers: Iterable<WorkerState>): boolean => {
    const { service } = step.job.terms;
    for (const worker of workers) {
        if (worker.entry?.service === service && worker.countWhenEmpty(step) > wideTasksPerWorker) {
            return false;
        }
    }
    return true;
};

/** Workers that can take tasks of a step now, best first. */
export const candidatesFor = ({ step, service, workers, now, limit, doubt }: ChoiceInput, most: number): Share[] => {
    const candidates: Candidate[] = [];
    for (const worker of workers) {
        // Room first: of the checks it is the cheapest, and under load the one that most workers fail.
        const fitting = worker.countFitting(step, most);
        if (fitting === 0 || !isEligible(worker, step, service, now)) {
            continue;
        }
        const ticket = step.permits?.ticketOf(worker.id, now);
        if (step.permits !== undefined && ticket === undefined) {
            continue;
        }
        const count = Math.min(fitting, limit(worker));
        if (count > 0) {
            candidates.push({ worker, count, ticket, cost: costOf(worker, step, count) + doubt(worker) });
        }
    }
    return candidates.sort((left, right) => left.cost - right.cost);
};

/** Best fit: the less stays free the better, so that room for wide tasks stays whole elsewhere. */
const costOf = (worker: WorkerState, step: Step, count: number): number => {
    const { size, dataRack, fills } = step.definition;
    const isFar = dataRack !== undefined && !worker.labels.includes(dataRack);
    if (fills) {
        // They get what the others leave unused: the emptiest worker without tasks that serve is best.
        return (isFar ? farCost : 0) + (worker.hasServingRun ? servingCost : 0) - worker.freeProcessor / 1_000;
    }
    const processorsLeft = (worker.freeProcessor - count * size.processorThousandths) / 1_000;
    const acceleratorsLeft = size.accelerators === 0 ? 0 : worker.freeAccelerators - count * size.accelerators;
    return (isFar ? farCost : 0) + processorsLeft + acceleratorsLeft * acceleratorCost;
};

/** Deals `count` tasks to candidates in their order; undefined when they do not all fit. */
export const dealAll = (candidates: readonly Share[], count: number): Share[] | undefined => {
    const shares: Share[] = [];
    let left = count;
    for (const candidate of candidates) {
        if (left === 0) {
            break;
        }
        const taken = Math.min(left, candidate.count);
        shares.push({ ...candidate, count: taken });
        left -= taken;
    }
    return left === 0 ? shares : undefined;
};

/** Deals `count` tasks to candidates of one rack, the one that is left with the least; undefined when none holds all. */
export const dealInOneRack = (candidates: readonly Share[], count: number): Share[] | undefined => {
    const racks = new Map<string, Share[]>();
    for (const candidate of candidates) {
        const rack = candidate.worker.entry?.rack ?? "";
        racks.set(rack, [...racks.get(rack) ?? [], candidate]);
    }
    const roomOf = (shares: readonly Share[]): number => shares.reduce((sum, share) => sum + share.count, 0);
    const large = [...racks.values()].filter(shares => roomOf(shares) >= count);
    large.sort((left, right) => roomOf(left) - roomOf(right));
    return large.length === 0 ? undefined : dealAll(large[0], count);
};
