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
const keepAliveWait = 2_000;

/** Serves the router until `close` of the returned handle. */
export const serveProtocol = (server: FastifyInstance, service: SchedulerService): { close(): void; } => {
    const sockets = new WebSocketServer({ server: server.server, path: protocolPath });
    const handler = applyWSSHandler({
        wss: sockets,
        router: createSchedulerRouter(service),
        keepAlive: { enabled: true, pingMs: keepAliveInterval, pongWaitMs: keepAliveWait },
    });
    return {
        close: () => {
            handler.broadcastReconnectNotification();
            sockets.clients.forEach(client => client.terminate());
            sockets.close();
        },
    };
};
