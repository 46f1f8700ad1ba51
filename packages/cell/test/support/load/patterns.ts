/** Load patterns of a cell with small urgent jobs, deferrable batches, and wide gangs that few workers are permitted to run. */
import type { LoadPattern, QueueLoad } from "./pattern.js";

/** Urgent jobs of a few tasks, some of them gangs. */
const urgent: QueueLoad = {
    name: "urgent",
    priority: 0,
    perSecond: 62,
    extension: 1.5,
    latencyTarget: 250,
    steps: { mean: 1, spread: 0, max: 1 },
    width: { mean: 3.1, spread: 0.8, max: 19 },
    processorThousandths: { mean: 16_000, spread: 0.45, max: 47_000 },
    memoryMebibytes: { mean: 45_000, spread: 0.6, max: 140_000 },
    work: { mean: 800, spread: 0.5, max: 2_000 },
    unevenness: 0.15,
    estimateError: 0.5,
    gangShare: 0.3,
    savesShare: 0,
    failingShare: 0.005,
    advice: { decision: 16, eachWorker: 0.23, validity: 1_500, permittedShare: 0.7 },
    value: 0.413,
};

/** Deferrable jobs of many small tasks, most of which save progress. */
const deferrable: QueueLoad = {
    name: "patient",
    priority: 2,
    perSecond: 7,
    extension: 4,
    latencyTarget: 3_000,
    steps: { mean: 1.5, spread: 0.4, max: 3.8 },
    width: { mean: 24, spread: 0.8, max: 150 },
    processorThousandths: { mean: 11_000, spread: 0.45, max: 33_000 },
    memoryMebibytes: { mean: 32_000, spread: 0.6, max: 95_000 },
    work: { mean: 2_200, spread: 0.5, max: 5_400 },
    unevenness: 0.3,
    estimateError: 0.2,
    gangShare: 0,
    savesShare: 0.8,
    failingShare: 0.05,
    advice: { decision: 140, eachWorker: 2, validity: 1_500, permittedShare: 0.45 },
    value: 2.62,
};

/** Wide gangs of large tasks; one worker in four is permitted to run a step. */
const wide: QueueLoad = {
    name: "wide",
    priority: 1,
    perSecond: 3.4,
    extension: 2.2,
    latencyTarget: 1_000,
    steps: { mean: 1.2, spread: 0.4, max: 3 },
    width: { mean: 20, spread: 0.8, max: 120 },
    processorThousandths: { mean: 18_000, spread: 0.4, max: 30_000 },
    memoryMebibytes: { mean: 52_000, spread: 0.5, max: 100_000 },
    work: { mean: 6_200, spread: 0.5, max: 16_000 },
    unevenness: 0.15,
    estimateError: 0.5,
    gangShare: 1,
    savesShare: 0.5,
    failingShare: 0.05,
    advice: { decision: 600, eachWorker: 8.6, validity: 1_500, permittedShare: 0.25 },
    value: 8.53,
};

/** Load of about three quarters of the cell's capacity, without bursts. */
export const steadyLoad: LoadPattern = {
    name: "steady",
    seed: 1,
    workers: 380,
    capacity: { processorThousandths: 64_000, memoryMebibytes: 262_144, accelerators: 0 },
    workersPerRack: 20,
    slowness: [1, 1, 1.3],
    advisingVms: 97,
    duration: 24_000,
    drainTime: 40_000,
    queues: [urgent, deferrable, wide],
    bursts: [],
    departures: [],
    slowStores: [],
    pauses: [],
};

/** A burst of urgent jobs, then one of wide gangs, while workers leave at short notice. */
export const worstLoad: LoadPattern = {
    ...steadyLoad,
    name: "worst",
    queues: [{ ...urgent, perSecond: 69 }, { ...deferrable, perSecond: 7.8 }, { ...wide, perSecond: 3.8 }],
    bursts: [
        { queue: "urgent", at: 6_000, duration: 4_000, factor: 1.9 },
        { queue: "wide", at: 14_000, duration: 4_000, factor: 1.7 },
    ],
    departures: [{ at: 7_600, share: 0.075, notice: 3_000 }, { at: 18_700, share: 0.075, notice: 3_000 }],
};

/** A small cell with few VMs that ask the advice service. */
export const smallLoad: LoadPattern = {
    ...steadyLoad,
    name: "small",
    workers: 33,
    capacity: { processorThousandths: 64_000, memoryMebibytes: 131_072, accelerators: 0 },
    workersPerRack: 8,
    advisingVms: 7,
    queues: [
        {
            ...urgent,
            perSecond: 33.8,
            width: { mean: 2, spread: 0.8, max: 12 },
            processorThousandths: { mean: 5_600, spread: 0.45, max: 17_000 },
            memoryMebibytes: { mean: 10_000, spread: 0.6, max: 31_000 },
            work: { mean: 640, spread: 0.5, max: 1_600 },
            advice: { decision: 6.5, eachWorker: 0.093, validity: 1_500, permittedShare: 0.7 },
        },
        {
            ...deferrable,
            perSecond: 4.8,
            width: { mean: 10, spread: 0.8, max: 60 },
            processorThousandths: { mean: 3_900, spread: 0.45, max: 12_000 },
            memoryMebibytes: { mean: 7_200, spread: 0.6, max: 22_000 },
            advice: { decision: 46, eachWorker: 0.66, validity: 1_500, permittedShare: 0.45 },
        },
        {
            ...wide,
            perSecond: 0.85,
            width: { mean: 8, spread: 0.8, max: 48 },
            memoryMebibytes: { mean: 26_000, spread: 0.5, max: 52_000 },
            estimateError: 0.9,
            advice: { decision: 560, eachWorker: 8.1, validity: 1_500, permittedShare: 0.25 },
            value: 20,
        },
    ],
    bursts: [
        { queue: "urgent", at: 6_000, duration: 4_000, factor: 1.9 },
        { queue: "wide", at: 14_000, duration: 4_000, factor: 1.7 },
    ],
};

/** A cell of medium size whose gangs are as wide as those of a larger one. */
export const grownLoad: LoadPattern = {
    ...smallLoad,
    name: "grown",
    workers: 245,
    workersPerRack: 12,
    advisingVms: 43,
    queues: [
        {
            ...urgent,
            perSecond: 87.5,
            processorThousandths: { mean: 9_900, spread: 0.45, max: 30_000 },
            memoryMebibytes: { mean: 18_000, spread: 0.6, max: 55_000 },
            work: { mean: 640, spread: 0.5, max: 1_600 },
            advice: { decision: 7.2, eachWorker: 0.1, validity: 1_500, permittedShare: 0.7 },
        },
        {
            ...deferrable,
            perSecond: 7.8,
            processorThousandths: { mean: 6_900, spread: 0.45, max: 21_000 },
            memoryMebibytes: { mean: 13_000, spread: 0.6, max: 38_000 },
            advice: { decision: 80, eachWorker: 1.1, validity: 1_500, permittedShare: 0.45 },
        },
        {
            ...wide,
            perSecond: 2.4,
            memoryMebibytes: { mean: 26_000, spread: 0.5, max: 51_000 },
            estimateError: 0.9,
            advice: { decision: 540, eachWorker: 7.7, validity: 1_500, permittedShare: 0.25 },
            value: 16.3,
        },
    ],
};

/** A small cell with some tasks that crash their workers, and with crashes of many workers at once. */
export const crashingLoad: LoadPattern = {
    ...smallLoad,
    name: "crashing",
    queues: [
        ...smallLoad.queues,
        {
            ...smallLoad.queues[0],
            name: "faulty",
            perSecond: 0.35,
            width: { mean: 1, spread: 0, max: 1 },
            crashesWorkers: true,
        },
    ],
    bursts: [],
    crashes: [{ at: 6_000, share: 0.2 }, { at: 10_000, share: 0.2 }, { at: 14_000, share: 0.2 }],
};

/** A burst of urgent jobs, during which the cell has no owner for a while. */
export const backlogLoad: LoadPattern = {
    ...worstLoad,
    name: "backlog",
    bursts: [{ queue: "urgent", at: 4_000, duration: 4_000, factor: 2 }],
    departures: [],
    pauses: [{ at: 5_000, duration: 3_000 }],
};

/** Small workers that hold three gang members each, slow answers about gangs, and bursts of urgent jobs and of gangs. */
export const narrowLoad: LoadPattern = {
    ...worstLoad,
    name: "narrow",
    workers: 245,
    capacity: { processorThousandths: 16_000, memoryMebibytes: 32_768, accelerators: 0 },
    workersPerRack: 12,
    advisingVms: 30,
    queues: [
        {
            ...urgent,
            perSecond: 72,
            width: { mean: 3.2, spread: 0.8, max: 19 },
            processorThousandths: { mean: 2_500, spread: 0.45, max: 7_400 },
            memoryMebibytes: { mean: 2_500, spread: 0.6, max: 7_600 },
            work: { mean: 640, spread: 0.5, max: 1_600 },
            advice: { decision: 9.4, eachWorker: 0.13, validity: 1_500, permittedShare: 0.7 },
            value: 0.39,
        },
        {
            ...deferrable,
            perSecond: 7.2,
            width: { mean: 25, spread: 0.8, max: 150 },
            processorThousandths: { mean: 1_700, spread: 0.45, max: 5_200 },
            memoryMebibytes: { mean: 2_500, spread: 0.6, max: 7_500 },
            work: { mean: 3_400, spread: 0.5, max: 8_400 },
            estimateError: 0.9,
            advice: { decision: 156, eachWorker: 2.34, validity: 1_500, permittedShare: 0.45 },
            value: 4.86,
        },
        {
            ...wide,
            perSecond: 3.1,
            processorThousandths: { mean: 4_500, spread: 0.4, max: 7_600 },
            memoryMebibytes: { mean: 4_500, spread: 0.5, max: 9_100 },
            work: { mean: 4_000, spread: 0.5, max: 10_000 },
            failingShare: 0.005,
            advice: { decision: 455, eachWorker: 6.5, validity: 1_500, permittedShare: 0.25 },
            value: 10.4,
        },
    ],
    departures: [],
};

/** The same with six seconds without an owner, after which all jobs submitted meanwhile are waiting. */
export const narrowBacklogLoad: LoadPattern = {
    ...narrowLoad,
    name: "narrow-backlog",
    pauses: [{ at: 12_000, duration: 6_000 }],
};

/** Weights of twenty organisations, to which their limits are proportional. */
const weights = [33, 19, 14, 11, 9, 8, 7, 7, 6, 6, 5, 5, 5, 4, 4, 4, 4, 4, 4, 3];
const coresPerWeight = 39.6;

/**
 * Small workers shared by twenty organisations with limits of about twice their usual load. A small organisation sends a burst of urgent
 * jobs, and a large one a burst of deferrable jobs.
 */
export const sharedLoad: LoadPattern = {
    ...narrowLoad,
    name: "shared",
    organisations: weights.map((weight, index) => ({
        name: `organisation-${index + 1}`,
        weight,
        cores: weight * coresPerWeight,
    })),
    bursts: [
        ...narrowLoad.bursts,
        { queue: "urgent", organisation: "organisation-10", at: 2_000, duration: 10_000, factor: 1.3 },
        { queue: "patient", organisation: "organisation-2", at: 12_000, duration: 8_000, factor: 1.3 },
    ],
};

/** The largest organisation multiplies its load on all queues. */
export const hotLoad: LoadPattern = {
    ...sharedLoad,
    name: "hot",
    bursts: ["urgent", "patient", "wide"].map(queue => ({
        queue,
        organisation: "organisation-1",
        at: 2_000,
        duration: 16_000,
        factor: 1.5,
    })),
};

/** A quarter of a full cell is closed for eight seconds, and its workers are slow for some seconds after that. */
export const closedHallLoad: LoadPattern = {
    ...grownLoad,
    name: "closed-hall",
    bursts: [],
    closures: [{ at: 6_000, duration: 8_000, coldFor: 5_000, coldFactor: 2 }],
};
