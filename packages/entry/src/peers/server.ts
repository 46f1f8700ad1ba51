/** Takes connections of owners, and dials VMs as an owner. */
import type { Milliseconds } from "@pebbledale/core";
import { once } from "node:events";
import { connect as connectTcp } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { type Channel, type OwnerMessage, SocketChannel, type VmMessage } from "../protocol/index.js";

/** Largest bundle that is taken, in bytes. */
const maxBatchBytes = 16 * 1_048_576;

/** Options of both ends: bundles are small and frequent, so compressing them costs more than it saves. */
const socketOptions = { perMessageDeflate: false, maxPayload: maxBatchBytes };

const parseAddress = (address: string): { host: string; port: number; } => {
    const [host, port] = address.split(":");
    return { host, port: Number(port) };
};

/** Listens for owners until `signal` fires; resolves once it listens. */
export const listenForOwners = async (
    address: string,
    attach: (channel: Channel<VmMessage, OwnerMessage>) => void,
    signal: AbortSignal,
): Promise<void> => {
    const server = new WebSocketServer({ ...parseAddress(address), ...socketOptions });
    server.on("connection", socket => attach(new SocketChannel(socket)));
    await once(server, "listening");
    signal.addEventListener("abort", () => {
        server.clients.forEach(socket => socket.terminate());
        server.close();
    });
};

/** What came of dialling a VM. */
export type DialOutcome =
    | { readonly kind: "open"; readonly channel: Channel<OwnerMessage, VmMessage>; }
    /** The VM lives and nothing listens there: its process is gone, the way to it is not. */
    | { readonly kind: "refused"; }
    /** No answer in time: the VM has no power, or the way to it is cut. */
    | { readonly kind: "silent"; };

/** Dials a VM. */
export const dialVm = async (address: string, limit: Milliseconds): Promise<DialOutcome> => {
    const socket = new WebSocket(`ws://${address}`, { ...socketOptions, handshakeTimeout: limit });
    // Made before it opens: a first message may come with the answer to the handshake.
    const channel = new SocketChannel<OwnerMessage, VmMessage>(socket);
    try {
        await once(socket, "open");
        return { kind: "open", channel };
    }
    catch (cause) {
        socket.on("error", () => undefined);
        socket.terminate();
        return { kind: isRefusal(cause) ? "refused" : "silent" };
    }
};

const isRefusal = (cause: unknown): boolean => {
    const { code } = cause as { code?: string; };
    return code === "ECONNREFUSED" || code === "ECONNRESET";
};

/** Whether nothing listens at an address: its VM lives and refuses. Silence is no such sign. */
export const refusesConnections = (address: string, limit: Milliseconds): Promise<boolean> =>
    new Promise(resolve => {
        const socket = connectTcp(parseAddress(address));
        const finish = (refused: boolean) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(refused);
        };
        const timer = setTimeout(() => finish(false), limit);
        socket.on("connect", () => finish(false));
        socket.on("error", cause => finish(isRefusal(cause)));
    });
