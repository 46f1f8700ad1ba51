/** Selects workers for the tasks of one step. */
import type { DataHallName, Milliseconds, ServiceName } from "@pebbledale/core";
import type { Step, StepPermits, WorkerState } from "../state/index.js";
import type { CapacityIndex } from "./capacity-index.js";
import {
    candidateFactor,
    maxWideTasksPerWorker,
    minCandidates,
    sameHallCost,
    servingWorkerCost,
    slownessCost,
} from "./constants.js";

/** A number of a step's tasks at one worker, with the advice service's ticket where one is needed. */
export interface Allocation {
    readonly worker: WorkerState;
    readonly count: number;
    readonly ticket: string | undefined;
}

/** A worker that can take tasks of a step now, and how many. */
export interface Candidate extends Allocation {
    /** Lower is better. */
    readonly cost: number;
    /** Whether its cost contains a penalty. */
    readonly isPenalised: boolean;
}

/** Parameters of a search for candidate workers. */
export interface CandidateQuery {
    readonly step: Step;
    readonly service: ServiceName;
    readonly index: CapacityIndex;
    readonly now: Milliseconds;
    /** Upper bound of tasks on a worker, so that reservations and headroom are respected. */
    readonly limitFor: (worker: WorkerState) => number;
    /** Whether the step prefers fast workers, or leaves these to others. */
    readonly prefersFast: boolean;
    /** Added to a worker's cost. */
    readonly penaltyOf: (worker: WorkerState) => number;
    /** Whether the tasks may share workers with trials, being trials themselves. */
    readonly isTrial?: boolean;
}

/** Cost of a worker on another rack than the step's data: it exceeds all other costs, as remote access slows the tasks down. */
const remoteDataCost = 1_000;

/** Cost of an accelerator that stays free, in processors. High, so that whole workers stay free for tasks that need all accelerators. */
const acceleratorCost = 10;

/** Whether a worker may run a step, regardless of its free resources and of tickets. */
export const isEligible = (worker: WorkerState, step: Step, service: ServiceName, now: Milliseconds): boolean => {
    const { requiredLabel } = step.definition;
    return worker.isOpen(now)
        && worker.entry?.service === service
        && (requiredLabel === undefined || worker.labels.includes(requiredLabel));
};

/** Whether a step's tasks are so large that resources for one seldom come free by chance. */
export const isWide = (step: Step, workers: Iterable<WorkerState>): boolean => {
    const { service } = step.job.terms;
    for (const worker of workers) {
        if (worker.entry?.service === service && worker.countWhenEmpty(step) > maxWideTasksPerWorker) {
            return false;
        }
    }
    return true;
};

/** Workers that can take tasks of a step now, lowest cost first. May leave out others once enough are found for `maxTasks` tasks. */
export const findCandidates = (query: CandidateQuery, maxTasks: number): Candidate[] => {
    const { permits } = query.step;
    const candidates = permits === undefined
        ? unrestrictedCandidates(query, maxTasks)
        : ticketedCandidates(query, permits, maxTasks);
    return candidates.sort((left, right) => left.cost - right.cost);
};

const unrestrictedCandidates = (query: CandidateQuery, maxTasks: number): Candidate[] => {
    const { step, index } = query;
    const { size, fills } = step.definition;
    const enough = prefersFullest(step) ? maxTasks * candidateFactor : Infinity;
    const candidates: Candidate[] = [];
    let unpenalised = 0;
    for (let at = fills ? 0 : index.firstIndexWith(size.processorThousandths); at < index.fullestFirst.length; at++) {
        if (unpenalised >= enough && candidates.length >= minCandidates) {
            break;
        }
        const candidate = candidateAt(index.fullestFirst[at], undefined, query, maxTasks);
        if (candidate !== undefined) {
            candidates.push(candidate);
            unpenalised += candidate.isPenalised ? 0 : candidate.count;
        }
    }
    return candidates;
};

/** For steps that need advice: only workers with a valid ticket. */
const ticketedCandidates = (query: CandidateQuery, permits: StepPermits, maxTasks: number): Candidate[] => {
    const candidates: Candidate[] = [];
    for (const [id, ticket] of permits.validTickets(query.now)) {
        const worker = query.index.get(id);
        const candidate = worker && candidateAt(worker, ticket, query, maxTasks);
        if (candidate !== undefined) {
            candidates.push(candidate);
        }
    }
    return candidates;
};

const candidateAt = (
    worker: WorkerState,
    ticket: string | undefined,
    { step, service, now, limitFor, prefersFast, penaltyOf, isTrial }: CandidateQuery,
    maxTasks: number,
): Candidate | undefined => {
    // The cheapest check, and under load the one that most workers fail, comes first.
    const fitting = worker.countFitting(step, maxTasks, isTrial);
    if (fitting === 0 || !isEligible(worker, step, service, now)) {
        return undefined;
    }
    const count = Math.min(fitting, limitFor(worker));
    if (count <= 0) {
        return undefined;
    }
    const penalty = penaltyOf(worker);
    const cost = costOf(worker, step, count) + slownessCostOf(worker, step, prefersFast) + penalty;
    return { worker, count, ticket, cost, isPenalised: penalty > 0 };
};

/** Whether best fit decides among workers for a step, so that the fullest come first. */
const prefersFullest = ({ definition: { fills, size, dataRack, wantsOneRack } }: Step): boolean =>
    !fills && size.accelerators === 0 && dataRack === undefined && !wantsOneRack;

/** Best fit: the less stays free the better, so that large free blocks remain elsewhere for wide tasks. */
const costOf = (worker: WorkerState, step: Step, count: number): number => {
    const { size, dataRack, fills } = step.definition;
    const isRemote = dataRack !== undefined && !worker.labels.includes(dataRack);
    if (fills) {
        // Filler tasks use what others leave: the emptiest worker without latency-sensitive tasks is best.
        return (isRemote ? remoteDataCost : 0) + (worker.hasServingRun ? servingWorkerCost : 0)
            - worker.freeProcessor / 1_000;
    }
    const processorsLeft = (worker.freeProcessor - count * size.processorThousandths) / 1_000;
    const acceleratorsLeft = size.accelerators === 0 ? 0 : worker.freeAccelerators - count * size.accelerators;
    return (isRemote ? remoteDataCost : 0) + processorsLeft + acceleratorsLeft * acceleratorCost;
};

/** Zero for gangs, which are as fast as their slowest member, and for filler tasks. */
const slownessCostOf = (worker: WorkerState, { definition }: Step, prefersFast: boolean): number => {
    const slowness = worker.hallSlowness > 1 ? Math.max(worker.slowness, worker.hallSlowness) : worker.slowness;
    return slowness === 1 || definition.isGang || definition.fills
        ? 0
        : (prefersFast ? 1 : -1) * Math.log(slowness) * slownessCost;
};

/** Allocates `count` tasks to candidates in their order; undefined when they do not all fit. */
export const allocate = (candidates: readonly Allocation[], count: number): Allocation[] | undefined => {
    const allocations: Allocation[] = [];
    let left = count;
    for (const candidate of candidates) {
        if (left === 0) {
            break;
        }
        const taken = Math.min(left, candidate.count);
        allocations.push({ ...candidate, count: taken });
        left -= taken;
    }
    return left === 0 ? allocations : undefined;
};

/** Allocates `count` tasks within the rack that fits them most tightly; undefined when none holds all. */
export const allocateInOneRack = (candidates: readonly Allocation[], count: number): Allocation[] | undefined => {
    const racks = new Map<string, Allocation[]>();
    for (const candidate of candidates) {
        const rack = candidate.worker.entry?.rack ?? "";
        racks.set(rack, [...racks.get(rack) ?? [], candidate]);
    }
    const capacityOf = (allocations: readonly Allocation[]): number =>
        allocations.reduce((sum, allocation) => sum + allocation.count, 0);
    const fitting = [...racks.values()].filter(allocations => capacityOf(allocations) >= count);
    fitting.sort((left, right) => capacityOf(left) - capacityOf(right));
    return fitting.length === 0 ? undefined : allocate(fitting[0], count);
};

/**
 * Distributes the tasks of a step over data halls: each further task in a hall adds a cost, so that the loss of one hall leaves others at
 * work. Capacity that is not needed for `count` tasks comes last, so that no task waits for the sake of the distribution.
 */
export const spreadOverHalls = (step: Step, candidates: readonly Candidate[], count: number): Allocation[] => {
    const tasksByHall = countRunsByHall(step);
    const taken = new Map<Candidate, number>();
    const halls = groupByHall(candidates);
    for (let placed = 0; placed < count && halls.length > 0; placed++) {
        const best = cheapestHall(halls, tasksByHall);
        const candidate = best.candidates[best.next];
        const tasks = (taken.get(candidate) ?? 0) + 1;
        taken.set(candidate, tasks);
        tasksByHall.set(best.hall, (tasksByHall.get(best.hall) ?? 0) + 1);
        best.next += tasks >= candidate.count ? 1 : 0;
        if (best.next === best.candidates.length) {
            halls.splice(halls.indexOf(best), 1);
        }
    }
    const chosen = [...taken].map(([candidate, tasks]) => ({ ...candidate, count: tasks }));
    const spare = candidates.map(candidate => ({ ...candidate, count: candidate.count - (taken.get(candidate) ?? 0) }));
    return [...chosen, ...spare.filter(allocation => allocation.count > 0)];
};

/** The candidates of a data hall, lowest cost first; those before `next` are used up. */
interface HallCandidates {
    readonly hall: DataHallName | undefined;
    readonly candidates: readonly Candidate[];
    next: number;
}

const groupByHall = (candidates: readonly Candidate[]): HallCandidates[] => {
    const groups = new Map<DataHallName | undefined, Candidate[]>();
    for (const candidate of candidates.filter(({ count }) => count > 0)) {
        const group = groups.get(hallOf(candidate));
        if (group === undefined) {
            groups.set(hallOf(candidate), [candidate]);
        }
        else {
            group.push(candidate);
        }
    }
    return [...groups].map(([hall, group]) => ({
        hall,
        candidates: group.sort((left, right) => left.cost - right.cost),
        next: 0,
    }));
};

/** The data hall whose next candidate costs least with the cost of the hall's tasks. */
const cheapestHall = (
    halls: readonly HallCandidates[],
    tasksByHall: ReadonlyMap<DataHallName | undefined, number>,
): HallCandidates => {
    const costOfNext = ({ hall, candidates, next }: HallCandidates): number =>
        candidates[next].cost + sameHallCost * (tasksByHall.get(hall) ?? 0);
    return halls.reduce((least, other) => costOfNext(other) < costOfNext(least) ? other : least);
};

const hallOf = ({ worker }: Allocation): DataHallName | undefined => worker.entry?.dataHall;

const countRunsByHall = ({ tasks }: Step): Map<DataHallName | undefined, number> => {
    const counts = new Map<DataHallName | undefined, number>();
    for (const run of tasks.flatMap(({ runs }) => runs)) {
        const hall = run.worker.entry?.dataHall;
        counts.set(hall, (counts.get(hall) ?? 0) + 1);
    }
    return counts;
};
