/** HTTP paths for operators that every program serves: health, readiness, metrics. */
import { errorBody, statusOf } from "@pebbledale/core";
import fastify, { type FastifyInstance, type FastifyServerOptions } from "fastify";
import type { AddressInfo } from "node:net";
import type { Metrics } from "../metrics/index.js";

/** Sources of what the administration server reports. */
export interface AdministrationOptions {
    readonly metrics: Metrics;
    /** Returns why the process is not ready, or undefined if it is. */
    readonly unreadyReason: () => string | undefined;
}

const statusOk = 200;
const statusNotReady = 503;

/** Fastify loads its schema compilers at the creation of a server unless others are given, which takes memory and start time. */
export const withoutSchemaCompilers: FastifyServerOptions["schemaController"] = {
    compilersFactory: {
        buildValidator: () => rejectCompilation,
        buildSerializer: () => rejectCompilation,
    },
};

const rejectCompilation = (): never => {
    throw new Error("routes with schemas need a server with schema compilers");
};

/** Creates the administration server; the caller adds its own routes, then calls {@link listenAt}. */
export const createAdministrationServer = (options: AdministrationOptions): FastifyInstance => {
    const server = fastify({
        logger: false,
        forceCloseConnections: true,
        schemaController: withoutSchemaCompilers,
    });
    server.get("/healthz", async () => ({ healthy: true }));
    server.get("/readyz", async (_request, reply) => {
        const reason = options.unreadyReason();
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

/** Listens at `IP:PORT` and resolves to the bound address; port 0 selects a free port. */
export const listenAt = async (server: FastifyInstance, address: string): Promise<string> => {
    const [host, port] = address.split(":");
    await server.listen({ host, port: Number(port) });
    const bound = server.server.address() as AddressInfo;
    return `${bound.address}:${bound.port}`;
};

/** Tells whether an error of {@link listenAt} means that the address is in use. */
export const isAddressInUse = (cause: unknown): boolean => (cause as { code?: string; }).code === "EADDRINUSE";
