/** WebSocket connections between owners and entry VMs. */
import type { Milliseconds } from "@pebbledale/core";
import { once } from "node:events";
import { connect as connectTcp } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import {
    type Channel,
    type OwnerMessage,
    SocketChannel,
    type SocketChannelOptions,
    type VmMessage,
} from "../protocol/index.js";

/** Maximum size of a batch of messages, in bytes. */
const maxBatchBytes = 16 * 1_048_576;

/** Options of both ends. Compression is off: batches are small and frequent, so it would cost more than it saves. */
const socketOptions = { perMessageDeflate: false, maxPayload: maxBatchBytes };

const parseAddress = (address: string): { host: string; port: number; } => {
    const [host, port] = address.split(":");
    return { host, port: Number(port) };
};

/** Listens for connections of owners until `signal` fires; resolves once the server is listening. */
export const listenForOwners = async (
    address: string,
    attach: (channel: Channel<VmMessage, OwnerMessage>) => void,
    signal: AbortSignal,
    options?: SocketChannelOptions,
): Promise<void> => {
    const server = new WebSocketServer({ ...parseAddress(address), ...socketOptions });
    server.on("connection", socket => attach(new SocketChannel(socket, options)));
    await once(server, "listening");
    signal.addEventListener("abort", () => {
        server.clients.forEach(socket => socket.terminate());
        server.close();
    });
};

/** Outcome of dialling a VM. */
export type DialOutcome =
    | { readonly kind: "open"; readonly channel: Channel<OwnerMessage, VmMessage>; }
    /** The VM is up and reachable, but nothing listens at the address: its process is gone. */
    | { readonly kind: "refused"; }
    /** No answer within the timeout: the VM is down or unreachable. */
    | { readonly kind: "silent"; };

/** Opens a connection to a VM's address, waiting at most `timeout`. */
export const dialVm = async (
    address: string,
    timeout: Milliseconds,
    options?: SocketChannelOptions,
): Promise<DialOutcome> => {
    const socket = new WebSocket(`ws://${address}`, { ...socketOptions, handshakeTimeout: timeout });
    // Created before the socket opens: the first message may arrive with the handshake's response.
    const channel = new SocketChannel<OwnerMessage, VmMessage>(socket, options);
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

/**
 * Whether the host actively refuses connections at an address, which shows that the process is gone; a timeout does
 * not.
 */
export const refusesConnections = (address: string, timeout: Milliseconds): Promise<boolean> =>
    new Promise(resolve => {
        const socket = connectTcp(parseAddress(address));
        const finish = (refused: boolean) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(refused);
        };
        const timer = setTimeout(() => finish(false), timeout);
        socket.on("connect", () => finish(false));
        socket.on("error", cause => finish(isRefusal(cause)));
    });
