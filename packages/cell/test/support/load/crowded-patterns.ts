/**
 * Load patterns of a cell that a burst fills: urgent narrow jobs of one to three steps beside deferrable and long-running ones on workers of
 * three sizes and speeds, and gangs of one to eight accelerators beside single-accelerator tasks, all from twenty organisations with limits.
 */
import type { Burst, LoadPattern, QueueLoad } from "./pattern.js";

const accelerated = "accelerated";

/** Urgent jobs of narrow steps whose estimates are good, but whose objective leaves little time. */
const urgent: QueueLoad = {
    name: "urgent",
    priority: 0,
    perSecond: 20,
    extension: 1.5,
    latencyTarget: 250,
    steps: { mean: 1.5, spread: 0.4, max: 3.8 },
    width: { mean: 9.5, spread: 0.8, max: 57 },
    processorThousandths: { mean: 9_900, spread: 0.45, max: 30_000 },
    memoryMebibytes: { mean: 14_000, spread: 0.6, max: 43_000 },
    work: { mean: 700, spread: 0.5, max: 1_800 },
    unevenness: 0.15,
    estimateError: 0.2,
    gangShare: 0,
    savesShare: 0,
    failingShare: 0.005,
    advice: { decision: 16, eachWorker: 0.23, validity: 2_000, permittedShare: 0.7 },
    value: 0.514,
};

/** Deferrable jobs of many tasks, most of which save progress. */
const deferrable: QueueLoad = {
    name: "patient",
    priority: 2,
    perSecond: 1.84,
    extension: 4,
    latencyTarget: 3_000,
    steps: { mean: 2, spread: 0.4, max: 5 },
    width: { mean: 22, spread: 0.6, max: 110 },
    processorThousandths: { mean: 18_000, spread: 0.4, max: 30_000 },
    memoryMebibytes: { mean: 33_000, spread: 0.5, max: 65_000 },
    work: { mean: 4_500, spread: 0.5, max: 11_000 },
    unevenness: 0.3,
    estimateError: 0.9,
    gangShare: 0,
    savesShare: 0.8,
    failingShare: 0.05,
    advice: { decision: 170, eachWorker: 2.4, validity: 2_000, permittedShare: 0.45 },
    value: 3.41,
};

/** Long-running tasks. */
const lasting: QueueLoad = {
    ...deferrable,
    name: "lasting",
    priority: 1,
    perSecond: 0.195,
    extension: 2.2,
    latencyTarget: 2_500,
    steps: { mean: 1, spread: 0, max: 1 },
    width: { mean: 15, spread: 0.8, max: 90 },
    savesShare: 0,
    lifetime: { mean: 45_000, spread: 0.7, max: 140_000 },
    advice: { decision: 560, eachWorker: 8, validity: 2_000, permittedShare: 0.3 },
};

/** Gangs whose members need two, four or all eight accelerators of a worker; two members fit one by processors. */
const gangs: QueueLoad = {
    ...deferrable,
    name: "gangs",
    service: accelerated,
    priority: 1,
    perSecond: 2.5,
    extension: 2.2,
    latencyTarget: 1_000,
    steps: { mean: 1, spread: 0, max: 1 },
    width: { mean: 3.3, spread: 0.6, max: 8 },
    processorThousandths: { mean: 31_000, spread: 0, max: 31_000 },
    memoryMebibytes: { mean: 63_000, spread: 0, max: 63_000 },
    accelerators: [2, 4, 8, 8],
    unevenness: 0.15,
    estimateError: 0.2,
    gangShare: 1,
    savesShare: 0.9,
    failingShare: 0.005,
    advice: { decision: 470, eachWorker: 6.7, validity: 2_000, permittedShare: 0.3 },
    value: 2.32,
};

/** Tasks that need one accelerator of the same workers. */
const smallTasks: QueueLoad = {
    ...deferrable,
    name: "small",
    service: accelerated,
    perSecond: 2.26,
    steps: { mean: 1, spread: 0, max: 1 },
    width: { mean: 13, spread: 0.6, max: 64 },
    processorThousandths: { mean: 5_600, spread: 0, max: 5_600 },
    memoryMebibytes: { mean: 15_000, spread: 0, max: 15_000 },
    accelerators: [1],
    work: { mean: 3_800, spread: 0.5, max: 9_400 },
    unevenness: 0.15,
    estimateError: 0.5,
    advice: { decision: 160, eachWorker: 2.2, validity: 2_000, permittedShare: 0.45 },
    value: 1.6,
};

const queues = [urgent, deferrable, lasting, gangs, smallTasks];

/** Weights of twenty organisations. Their limits are proportional to them, about twice what each usually uses. */
const weights = [14, 8, 6, 5, 4, 4, 3, 3, 3, 3, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2];
const coresPerWeight = 390;
const acceleratorsPerWeight = 8;
/** Enough for the widest gang. */
const minAccelerators = 64;

/** The largest organisation sends seven and a half times its usual to all queues, which is two and a quarter times the usual of all. */
const hotOrganisation = queues.map(({ name }): Burst => ({
    queue: name,
    organisation: "organisation-1",
    at: 1_000,
    duration: 16_000,
    factor: 2.25,
}));

/** A burst of urgent jobs while the largest organisation sends many times its usual for sixteen seconds, then a burst of gangs. */
export const crowdedLoad: LoadPattern = {
    name: "crowded",
    seed: 1,
    workers: 176,
    capacity: { processorThousandths: 64_000, memoryMebibytes: 131_072, accelerators: 0 },
    sizes: [1, 1, 0.5, 2],
    workersPerRack: 8,
    slowness: [1.25, 1, 0.8],
    otherServices: [{
        name: accelerated,
        workers: 70,
        capacity: { processorThousandths: 64_000, memoryMebibytes: 131_072, accelerators: 8 },
        workersPerRack: 12,
        slowness: [1, 1, 0.77],
    }],
    advisingVms: 32,
    duration: 34_000,
    drainTime: 60_000,
    queues,
    organisations: weights.map((weight, index) => ({
        name: `organisation-${index + 1}`,
        weight,
        cores: weight * coresPerWeight,
        accelerators: Math.max(minAccelerators, weight * acceleratorsPerWeight),
    })),
    bursts: [
        { queue: "urgent", at: 7_600, duration: 4_000, factor: 1.6 },
        ...hotOrganisation,
        { queue: "gangs", at: 20_000, duration: 4_000, factor: 1.8 },
    ],
    departures: [],
    slowStores: [],
    pauses: [],
};

/** The same with all VMs gone for a second and, right after the overload, four seconds in which nothing can be committed. */
export const crowdedOutageLoad: LoadPattern = {
    ...crowdedLoad,
    name: "crowded-outage",
    pauses: [{ at: 13_000, duration: 1_300 }, { at: 18_000, duration: 4_300 }],
};
