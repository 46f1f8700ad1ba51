/** Makes what tests of the cell hand in. */
import { jobId, organisationName, queueName, serviceName, type WorkerId, workerId } from "@pebbledale/core";
import {
    type CellConfiguration,
    digestOf,
    type JobDefinition,
    type Organisation,
    type QueueConfiguration,
    type StepDefinition,
    vmId,
    type WorkerEntry,
} from "../../src/index.js";

/** The one service of most tests. */
export const service = serviceName("pool");

/** A queue without advice; `changes` replaces parts. */
export const makeQueue = (name: string, changes: Partial<QueueConfiguration> = {}): QueueConfiguration => ({
    name: queueName(name),
    host: "jobs.example",
    pathPrefix: `/${name}/`,
    service,
    priority: 1,
    attempts: 3,
    extension: 2,
    latencyTarget: 1_000,
    timeout: 3_000,
    advice: undefined,
    needsKey: false,
    ...changes,
});

/** A configuration of these queues. */
export const makeConfiguration = (
    version: number,
    queues: readonly QueueConfiguration[],
    organisations: readonly Organisation[] = [],
): CellConfiguration => ({
    version,
    queues,
    organisations,
    services: [{ name: service, guardsRoom: false, isHeadroom: false, healthPath: "/health" }],
    bodyLimit: 262_144,
});

/** An organisation that may have so many cores at work; `changes` replaces parts. */
export const makeOrganisation = (
    name: string,
    cores: number,
    changes: Partial<Organisation> = {},
): Organisation => ({
    name: organisationName(name),
    keys: [digestOf(`key of ${name}`)],
    weight: 1,
    limit: { processorThousandths: cores * 1_000, memoryMebibytes: 0, accelerators: 0 },
    ...changes,
});

/** A step of tasks that each take 1 core and 1 GB. */
export const makeStep = (changes: Partial<StepDefinition> = {}): StepDefinition => ({
    taskCount: 1,
    size: { processorThousandths: 1_000, memoryMebibytes: 1_024, accelerators: 0 },
    estimate: 1_000,
    after: [],
    savesProgress: false,
    isGang: false,
    wantsOneRack: false,
    requiredLabel: undefined,
    dataRack: undefined,
    mostPerWorker: undefined,
    allowsCopies: false,
    isLasting: false,
    mayBeAway: undefined,
    image: undefined,
    latencyTarget: undefined,
    fills: false,
    ...changes,
});

/** A job of these steps. */
export const makeJob = (
    id: string,
    steps: readonly StepDefinition[],
    changes: Partial<JobDefinition> = {},
): JobDefinition => ({
    job: jobId(id),
    queue: queueName("work"),
    payload: `payload of ${id}`,
    steps,
    timetable: undefined,
    ...changes,
});

/** An address for a worker, which no other of a test has. */
const workerAddress = (id: string): string => {
    const number = [...id].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) % 16_777_213, 7);
    return `10.${number >> 16}.${(number >> 8) & 0xff}.${number & 0xff}:80`;
};

/** A worker of 8 cores and 32 GB. */
export const makeWorker = (id: string, changes: Partial<WorkerEntry> = {}): WorkerEntry => ({
    worker: workerId(id),
    address: workerAddress(id),
    service,
    dataHall: "hall-a",
    vm: vmId(`vm-of-${id}`),
    capacity: { processorThousandths: 8_000, memoryMebibytes: 32_768, accelerators: 0 },
    labels: ["a", "r1"],
    rack: "r1",
    isDraining: false,
    leavesIn: undefined,
    ...changes,
});

/** Names a worker. */
export const idOf = (name: string): WorkerId => workerId(name);
