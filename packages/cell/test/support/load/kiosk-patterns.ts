/**
 * Load patterns of a cell with two services: workers of three sizes for urgent, deferrable and long-running jobs, and workers with
 * accelerators for wide gangs and small tasks.
 */
import type { LoadPattern, LoadService, QueueLoad } from "./pattern.js";

const accelerated = "accelerated";

/** Urgent jobs of narrow steps with inaccurate estimates. */
const urgent: QueueLoad = {
    name: "urgent",
    priority: 0,
    perSecond: 29,
    extension: 1.5,
    latencyTarget: 250,
    steps: { mean: 1.5, spread: 0.4, max: 4 },
    width: { mean: 9.5, spread: 0.8, max: 57 },
    processorThousandths: { mean: 11_000, spread: 0.45, max: 32_000 },
    memoryMebibytes: { mean: 39_000, spread: 0.6, max: 120_000 },
    work: { mean: 560, spread: 0.5, max: 1_400 },
    unevenness: 0.15,
    estimateError: 0.9,
    gangShare: 0,
    savesShare: 0,
    failingShare: 0.005,
    advice: { decision: 16, eachWorker: 0.22, validity: 2_000, permittedShare: 0.7 },
    value: 0.46,
};

/** Deferrable jobs of many tasks, most of which save progress; by themselves they would fill the service. */
const deferrable: QueueLoad = {
    name: "patient",
    priority: 2,
    perSecond: 2.1,
    extension: 4,
    latencyTarget: 3_000,
    steps: { mean: 2, spread: 0.4, max: 5 },
    width: { mean: 22, spread: 0.6, max: 110 },
    processorThousandths: { mean: 18_000, spread: 0.4, max: 30_000 },
    memoryMebibytes: { mean: 66_000, spread: 0.5, max: 130_000 },
    work: { mean: 4_500, spread: 0.5, max: 11_000 },
    unevenness: 0.3,
    estimateError: 0.9,
    gangShare: 0,
    savesShare: 0.8,
    failingShare: 0.005,
    advice: { decision: 208, eachWorker: 3, validity: 2_000, permittedShare: 0.45 },
    value: 3.9,
};

/** Lasting tasks. */
const lasting: QueueLoad = {
    ...deferrable,
    name: "lasting",
    priority: 1,
    perSecond: 0.22,
    extension: 2.2,
    latencyTarget: 2_500,
    steps: { mean: 1, spread: 0, max: 1 },
    width: { mean: 15, spread: 0.8, max: 90 },
    memoryMebibytes: { mean: 52_000, spread: 0.5, max: 100_000 },
    savesShare: 0,
    lifetime: { mean: 45_000, spread: 0.7, max: 140_000 },
    advice: { decision: 728, eachWorker: 10.4, validity: 2_000, permittedShare: 0.3 },
};

/** Gangs whose members need two, four or all eight accelerators of a worker. */
const gangs: QueueLoad = {
    ...deferrable,
    name: "gangs",
    service: accelerated,
    priority: 1,
    perSecond: 2.3,
    extension: 2.2,
    latencyTarget: 1_000,
    steps: { mean: 1, spread: 0, max: 1 },
    width: { mean: 3.3, spread: 0.6, max: 16 },
    processorThousandths: { mean: 62_000, spread: 0, max: 62_000 },
    memoryMebibytes: { mean: 130_000, spread: 0, max: 130_000 },
    accelerators: [2, 4, 8, 8],
    work: { mean: 5_600, spread: 0.5, max: 14_000 },
    unevenness: 0.15,
    estimateError: 0.5,
    gangShare: 1,
    savesShare: 0.9,
    failingShare: 0.05,
    advice: { decision: 715, eachWorker: 10.3, validity: 2_000, permittedShare: 0.3 },
    value: 3.3,
};

/** Tasks that need one accelerator of the same workers. */
const smallTasks: QueueLoad = {
    ...deferrable,
    name: "small",
    service: accelerated,
    perSecond: 2.6,
    steps: { mean: 1, spread: 0, max: 1 },
    width: { mean: 16, spread: 0.6, max: 80 },
    processorThousandths: { mean: 11_000, spread: 0, max: 11_000 },
    memoryMebibytes: { mean: 16_000, spread: 0, max: 16_000 },
    accelerators: [1],
    work: { mean: 3_000, spread: 0.5, max: 7_500 },
    advice: { decision: 195, eachWorker: 2.7, validity: 2_000, permittedShare: 0.45 },
    value: 1.8,
};

const acceleratedWorkers: LoadService = {
    name: accelerated,
    workers: 70,
    capacity: { processorThousandths: 128_000, memoryMebibytes: 262_144, accelerators: 8 },
    workersPerRack: 12,
    slowness: [1, 1, 1.3],
};

/** Deferrable work beyond the capacity of a service, with urgent narrow jobs and a burst of them. */
export const fullKioskLoad: LoadPattern = {
    name: "full-kiosk",
    seed: 1,
    workers: 176,
    capacity: { processorThousandths: 64_000, memoryMebibytes: 262_144, accelerators: 0 },
    sizes: [1, 1, 0.5, 2],
    workersPerRack: 8,
    slowness: [1, 1, 1.3],
    otherServices: [acceleratedWorkers],
    advisingVms: 32,
    duration: 34_000,
    drainTime: 60_000,
    queues: [urgent, deferrable, lasting, gangs, smallTasks],
    bursts: [{ queue: "urgent", at: 20_000, duration: 4_000, factor: 2.2 }],
    departures: [],
    slowStores: [],
    pauses: [],
};

/** The same with a burst of urgent jobs that exceeds the capacity even without deferrable work. */
export const floodedKioskLoad: LoadPattern = {
    ...fullKioskLoad,
    name: "flooded-kiosk",
    duration: 20_000,
    bursts: [{ queue: "urgent", at: 5_000, duration: 7_000, factor: 4 }],
};

/** Weights of twenty organisations, whose limits are too high to matter. */
const weights = [22, 14, 11, 9, 8, 7, 6, 6, 5, 5, 4, 4, 4, 4, 3, 3, 3, 3, 2, 2];
const coresPerWeight = 200;

/** The same, shared by twenty organisations, with bursts of urgent jobs from two organisations of middle size. */
export const hotKioskLoad: LoadPattern = {
    ...fullKioskLoad,
    name: "hot-kiosk",
    organisations: weights.map((weight, index) => ({
        name: `organisation-${index + 1}`,
        weight,
        cores: weight * coresPerWeight,
    })),
    bursts: [
        { queue: "urgent", organisation: "organisation-5", at: 8_000, duration: 8_000, factor: 1.45 },
        { queue: "urgent", organisation: "organisation-9", at: 10_000, duration: 5_000, factor: 1.3 },
    ],
};

/** Oscillating demand on small workers of three sizes and two speeds. */
export const wavesLoad: LoadPattern = {
    ...fullKioskLoad,
    name: "waves",
    capacity: { processorThousandths: 16_000, memoryMebibytes: 65_536, accelerators: 0 },
    workersPerRack: 20,
    slowness: [0.55, 1.2, 1.2, 1.2],
    advisingVms: 43,
    swing: { share: 0.55, period: 15_000 },
    queues: [
        {
            ...urgent,
            perSecond: 25,
            latencyTarget: 300,
            processorThousandths: { mean: 2_700, spread: 0.45, max: 8_000 },
            memoryMebibytes: { mean: 7_600, spread: 0.6, max: 23_000 },
            work: { mean: 600, spread: 0.5, max: 6_300 },
            failingShare: 0.02,
        },
        {
            ...deferrable,
            perSecond: 1.45,
            width: { mean: 18, spread: 0.6, max: 88 },
            processorThousandths: { mean: 4_500, spread: 0.4, max: 7_600 },
            memoryMebibytes: { mean: 16_000, spread: 0.5, max: 32_000 },
            work: { mean: 4_800, spread: 0.5, max: 50_000 },
            estimateError: 0.5,
            failingShare: 0.02,
        },
        {
            ...lasting,
            perSecond: 0.15,
            processorThousandths: { mean: 4_500, spread: 0.4, max: 7_600 },
            memoryMebibytes: { mean: 9_500, spread: 0.5, max: 19_000 },
        },
        {
            ...gangs,
            perSecond: 2.8,
            width: { mean: 5.1, spread: 0.6, max: 26 },
            memoryMebibytes: { mean: 250_000, spread: 0, max: 250_000 },
            work: { mean: 3_100, spread: 0.5, max: 32_000 },
            estimateError: 0.2,
            failingShare: 0.02,
        },
        {
            ...smallTasks,
            perSecond: 3.1,
            width: { mean: 20, spread: 0.8, max: 120 },
            memoryMebibytes: { mean: 59_000, spread: 0, max: 59_000 },
            work: { mean: 2_000, spread: 0.5, max: 22_000 },
            estimateError: 0.5,
            failingShare: 0.05,
        },
    ],
    otherServices: [{
        ...acceleratedWorkers,
        workers: 68,
        capacity: { processorThousandths: 128_000, memoryMebibytes: 524_288, accelerators: 8 },
        workersPerRack: 16,
    }],
    bursts: [{ queue: "urgent", at: 18_000, duration: 4_000, factor: 1.6 }],
};
