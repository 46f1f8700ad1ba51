/** Serves a scheduler's router on the HTTP server of its administration. */
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import type { FastifyInstance } from "fastify";
import { WebSocketServer } from "ws";
import { createSchedulerRouter } from "./router.js";
import type { SchedulerService } from "./types.js";

/** The path of the WebSocket. */
export const protocolPath = "/trpc";
/** A connection on which nothing was heard for this long is checked, in milliseconds. */
const keepAliveInterval = 5_000;
const keepAliveTimeout = 2_000;

/** Serves the router until `close` of the returned handle. */
export const serveProtocol = (server: FastifyInstance, service: SchedulerService): { close(): void; } => {
    const webSocketServer = new WebSocketServer({ server: server.server, path: protocolPath });
    const handler = applyWSSHandler({
        wss: webSocketServer,
        router: createSchedulerRouter(service),
        keepAlive: { enabled: true, pingMs: keepAliveInterval, pongWaitMs: keepAliveTimeout },
    });
    return {
        close: () => {
            handler.broadcastReconnectNotification();
            webSocketServer.clients.forEach(client => client.terminate());
            webSocketServer.close();
        },
    };
};
