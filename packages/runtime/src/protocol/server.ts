/** WebSocket endpoint of a scheduler's router. */
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import type { FastifyInstance } from "fastify";
import { WebSocketServer } from "ws";
import { createSchedulerRouter } from "./router.js";
import type { SchedulerService } from "./types.js";

/** HTTP path of the WebSocket endpoint. */
export const protocolPath = "/trpc";
/** Time after which an idle connection is pinged, in milliseconds. */
const keepAliveInterval = 5_000;
/** Time after which a connection without a pong is closed, in milliseconds. */
const keepAliveTimeout = 2_000;

/** Serves the router on the scheduler's HTTP server until `close` is called, which asks clients to reconnect. */
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
