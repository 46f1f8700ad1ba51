/** Configuration of a cell with one queue and one service. */
import type { CellConfiguration } from "@pebbledale/cell";
import { queueName, serviceName } from "@pebbledale/core";

/** Name of the service. */
export const service = serviceName("pool");
/** Name of the queue. */
export const queue = queueName("work");

/** A configuration without organisations, in its first version. */
export const configuration: CellConfiguration = {
    version: 1,
    queues: [{
        name: queue,
        host: "jobs.example",
        pathPrefix: "/work/",
        service,
        priority: 1,
        attempts: 3,
        extension: 2,
        latencyTarget: 1_000,
        timeout: 3_000,
        advice: undefined,
        needsKey: false,
    }],
    organisations: [],
    services: [{ name: service, guardsRoom: false, isHeadroom: false, healthPath: "/health" }],
    bodyLimit: 262_144,
};
