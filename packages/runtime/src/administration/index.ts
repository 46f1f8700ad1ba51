/** The paths every program has for operators: health, readiness, metrics. */
import { errorBody, statusOf } from "@pebbledale/core";
import fastify, { type FastifyInstance } from "fastify";
import type { AddressInfo } from "node:net";
import type { Metrics } from "../metrics/index.js";

/** What the paths answer with. */
export interface AdministrationOptions {
    readonly metrics: Metrics;
    /** Why the process is not ready, or undefined when it is. */
    readonly notReady: () => string | undefined;
}

const statusOk = 200;
const statusNotReady = 503;

/** Makes the server; the caller adds what is its own and listens. */
export const createAdministration = (options: AdministrationOptions): FastifyInstance => {
    const server = fastify({ logger: false, forceCloseConnections: true });
    server.get("/healthz", async () => ({ healthy: true }));
    server.get("/readyz", async (_request, reply) => {
        const reason = options.notReady();
        return reply.status(reason === undefined ? statusOk : statusNotReady).send({
            ready: reason === undefined,
            reason,
        });
    });
    server.get("/metrics", async (_request, reply) => {
        const text = await options.metrics.registry.metrics();
        return reply.type(options.metrics.registry.contentType).send(text);
    });
    server.setNotFoundHandler(async (_request, reply) =>
        reply.status(statusOf("no-such-path")).send(errorBody("no-such-path"))
    );
    return server;
};

/** Listens at an IP number and port; resolves to the address in use. Port 0 takes any that is free. */
export const listenAt = async (server: FastifyInstance, address: string): Promise<string> => {
    const [host, port] = address.split(":");
    await server.listen({ host, port: Number(port) });
    const bound = server.server.address() as AddressInfo;
    return `${bound.address}:${bound.port}`;
};

/** Whether listening failed because the address is in use. */
export const isAddressInUse = (cause: unknown): boolean => (cause as { code?: string; }).code === "EADDRINUSE";
