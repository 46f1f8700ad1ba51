/** Takes connections of owners, and dials VMs as an owner. */
import type { Milliseconds } from "@pebbledale/core";
import { once } from "node:events";
import { connect as connectTcp } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { type Channel, type OwnerMessage, SocketChannel, type VmMessage } from "../protocol/index.js";

/** Largest bundle that is taken, in bytes. */
const largestBundle = 16 * 1_048_576;

/** Options of both ends: bundles are small and frequent, so compressing them costs more than it saves. */
const common = { perMessageDeflate: false, maxPayload: largestBundle };

const split = (address: string): { host: string; port: number; } => {
    const [host, port] = address.split(":");
    return { host, port: Number(port) };
};

/** Listens for owners until `signal` fires; resolves once it listens. */
export const listenForOwners = async (
    address: string,
    attach: (channel: Channel<VmMessage, OwnerMessage>) => void,
    signal: AbortSignal,
): Promise<void> => {
    const server = new WebSocketServer({ ...split(address), ...common });
    server.on("connection", socket => attach(new SocketChannel(socket)));
    await once(server, "listening");
    signal.addEventListener("abort", () => {
        server.clients.forEach(socket => socket.terminate());
        server.close();
    });
};

/** Dials a VM; undefined when it does not answer in time. */
export const dialVm = async (
    address: string,
    limit: Milliseconds,
): Promise<Channel<OwnerMessage, VmMessage> | undefined> => {
    const socket = new WebSocket(`ws://${address}`, { ...common, handshakeTimeout: limit });
    try {
        await once(socket, "open");
        return new SocketChannel(socket);
    }
    catch {
        socket.on("error", () => undefined);
        socket.terminate();
        return undefined;
    }
};

/** Whether nothing listens at an address: its VM lives and refuses. Silence is no such sign. */
export const isRefused = (address: string, limit: Milliseconds): Promise<boolean> =>
    new Promise(resolve => {
        const socket = connectTcp(split(address));
        const finish = (refused: boolean) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(refused);
        };
        const timer = setTimeout(() => finish(false), limit);
        socket.on("connect", () => finish(false));
        socket.on("error", cause => finish((cause as { code?: string; }).code === "ECONNREFUSED"));
    });
