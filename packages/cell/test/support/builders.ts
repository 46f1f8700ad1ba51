/** Builders of the inputs that tests of the cell use. */
import {
    dataHallName,
    jobId,
    organisationName,
    queueName,
    serviceName,
    type WorkerId,
    workerId,
} from "@pebbledale/core";
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

/** Service that tests use unless they need several. */
export const service = serviceName("pool");

/** Builds a queue without advice. */
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

/** Builds a configuration with the one service of the tests. */
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

/** Builds an organisation whose running tasks may use `cores` cores; its memory and accelerators are not limited. */
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

/** Builds a step of one task that needs 1 core and 1 GiB. */
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

/** Builds a job for the queue `work`. */
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

/** Derives an address that is unique among the workers of a test. */
const workerAddress = (id: string): string => {
    const number = [...id].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) % 16_777_213, 7);
    return `10.${number >> 16}.${(number >> 8) & 0xff}.${number & 0xff}:80`;
};

/** Builds the entry of a worker with 8 cores and 32 GiB. */
export const makeWorker = (id: string, changes: Partial<WorkerEntry> = {}): WorkerEntry => ({
    worker: workerId(id),
    address: workerAddress(id),
    service,
    dataHall: dataHallName("hall-a"),
    vm: vmId(`vm-of-${id}`),
    capacity: { processorThousandths: 8_000, memoryMebibytes: 32_768, accelerators: 0 },
    labels: ["a", "r1"],
    rack: "r1",
    isDraining: false,
    leavesIn: undefined,
    ...changes,
});

/** Shorthand for the id of a worker. */
export const idOf = (name: string): WorkerId => workerId(name);
