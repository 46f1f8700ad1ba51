/** Chooses workers for the tasks of one step. */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import type { Step, StepPermits, WorkerState } from "../state/index.js";
import { candidateFactor, maxWideTasksPerWorker, minCandidates, servingWorkerCost, slownessCost } from "./constants.js";
import type { CapacityIndex } from "./room-index.js";

/** Some tasks of a step at one worker. */
export interface Allocation {
    readonly worker: WorkerState;
    readonly count: number;
    readonly ticket: string | undefined;
}

/** A worker that may run a step, and how much of it. */
interface Candidate extends Allocation {
    /** Lower is better. */
    readonly cost: number;
    /** Whether something speaks against it. */
    readonly isPenalised: boolean;
}

/** What a choice is made from. */
export interface CandidateQuery {
    readonly step: Step;
    readonly service: ServiceName;
    readonly index: CapacityIndex;
    readonly now: Milliseconds;
    /** How many tasks a worker takes at most, so that room that is kept for others stays kept. */
    readonly limitFor: (worker: WorkerState) => number;
    /** Whether the step's tasks go to the fastest workers, or leave these to others. */
    readonly prefersFast: boolean;
    /** What speaks against a worker, added to its cost. */
    readonly penaltyOf: (worker: WorkerState) => number;
}

/** Added for a worker on another rack than the step's data: that takes longer, so it comes after all near ones. */
const remoteDataCost = 1_000;

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
        if (worker.entry?.service === service && worker.countWhenEmpty(step) > maxWideTasksPerWorker) {
            return false;
        }
    }
    return true;
};

/** Workers that can take tasks of a step now, best first: all of them, or the first that are surely enough. */
export const findCandidates = (input: CandidateQuery, most: number): Allocation[] => {
    const { permits } = input.step;
    const candidates = permits === undefined
        ? unrestrictedCandidates(input, most)
        : ticketedCandidates(input, permits, most);
    return candidates.sort((left, right) => left.cost - right.cost);
};

const unrestrictedCandidates = (input: CandidateQuery, most: number): Candidate[] => {
    const { step, index } = input;
    const { size, fills } = step.definition;
    const enough = prefersFullest(step) ? most * candidateFactor : Infinity;
    const candidates: Candidate[] = [];
    let undoubted = 0;
    for (let at = fills ? 0 : index.firstIndexWith(size.processorThousandths); at < index.fullestFirst.length; at++) {
        if (undoubted >= enough && candidates.length >= minCandidates) {
            break;
        }
        const candidate = candidateAt(index.fullestFirst[at], undefined, input, most);
        if (candidate !== undefined) {
            candidates.push(candidate);
            undoubted += candidate.isPenalised ? 0 : candidate.count;
        }
    }
    return candidates;
};

/** Of a step that is advised on, only the workers whose tickets hold are looked at. */
const ticketedCandidates = (input: CandidateQuery, permits: StepPermits, most: number): Candidate[] => {
    const candidates: Candidate[] = [];
    for (const [id, ticket] of permits.validTickets(input.now)) {
        const worker = input.index.get(id);
        const candidate = worker && candidateAt(worker, ticket, input, most);
        if (candidate !== undefined) {
            candidates.push(candidate);
        }
    }
    return candidates;
};

const candidateAt = (
    worker: WorkerState,
    ticket: string | undefined,
    { step, service, now, limitFor: limit, prefersFast, penaltyOf: doubt }: CandidateQuery,
    most: number,
): Candidate | undefined => {
    // Room first: of the checks it is the cheapest, and under load the one that most workers fail.
    const fitting = worker.countFitting(step, most);
    if (fitting === 0 || !isEligible(worker, step, service, now)) {
        return undefined;
    }
    const count = Math.min(fitting, limit(worker));
    if (count <= 0) {
        return undefined;
    }
    const doubted = doubt(worker);
    const cost = costOf(worker, step, count) + slownessCostOf(worker, step, prefersFast) + doubted;
    return { worker, count, ticket, cost, isPenalised: doubted > 0 };
};

/** Whether what a step's tasks want most of a worker is that little stays free there. */
const prefersFullest = ({ definition: { fills, size, dataRack, wantsOneRack } }: Step): boolean =>
    !fills && size.accelerators === 0 && dataRack === undefined && !wantsOneRack;

/** Best fit: the less stays free the better, so that room for wide tasks stays whole elsewhere. */
const costOf = (worker: WorkerState, step: Step, count: number): number => {
    const { size, dataRack, fills } = step.definition;
    const isFar = dataRack !== undefined && !worker.labels.includes(dataRack);
    if (fills) {
        // They get what the others leave unused: the emptiest worker without tasks that serve is best.
        return (isFar ? remoteDataCost : 0) + (worker.hasServingRun ? servingWorkerCost : 0)
            - worker.freeProcessor / 1_000;
    }
    const processorsLeft = (worker.freeProcessor - count * size.processorThousandths) / 1_000;
    const acceleratorsLeft = size.accelerators === 0 ? 0 : worker.freeAccelerators - count * size.accelerators;
    return (isFar ? remoteDataCost : 0) + processorsLeft + acceleratorsLeft * acceleratorCost;
};

/** Room for urgent tasks on fast workers is worth more than a good fit. A gang is as fast as its slowest member wherever the others are. */
const slownessCostOf = ({ slowness }: WorkerState, { definition }: Step, prefersFast: boolean): number =>
    slowness === 1 || definition.isGang || definition.fills
        ? 0
        : (prefersFast ? 1 : -1) * Math.log(slowness) * slownessCost;

/** Deals `count` tasks to candidates in their order; undefined when they do not all fit. */
export const allocate = (candidates: readonly Allocation[], count: number): Allocation[] | undefined => {
    const shares: Allocation[] = [];
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
export const allocateInOneRack = (candidates: readonly Allocation[], count: number): Allocation[] | undefined => {
    const racks = new Map<string, Allocation[]>();
    for (const candidate of candidates) {
        const rack = candidate.worker.entry?.rack ?? "";
        racks.set(rack, [...racks.get(rack) ?? [], candidate]);
    }
    const roomOf = (shares: readonly Allocation[]): number => shares.reduce((sum, share) => sum + share.count, 0);
    const large = [...racks.values()].filter(shares => roomOf(shares) >= count);
    large.sort((left, right) => roomOf(left) - roomOf(right));
    return large.length === 0 ? undefined : allocate(large[0], count);
};
