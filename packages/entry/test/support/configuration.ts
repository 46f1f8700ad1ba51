/** A cell of one queue and one service. */
import type { CellConfiguration } from "@pebbledale/cell";
import { queueName, serviceName } from "@pebbledale/core";

/** The one service. */
export const service = serviceName("pool");
/** The one queue. */
export const queue = queueName("work");

/** See the module's comment. */
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
