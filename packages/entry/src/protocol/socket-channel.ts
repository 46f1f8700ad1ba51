/** Message channel over a WebSocket. */
import type { Milliseconds } from "@pebbledale/core";
import { WebSocket } from "ws";
import type { Channel } from "./channel.js";

/** How long messages are collected into one batch, in milliseconds: a wake-up costs more than a message. */
const bundleDelay: Milliseconds = 2;

/** Sends and receives batches of messages as JSON arrays over a WebSocket. */
export class SocketChannel<Sent, Received> implements Channel<Sent, Received> {
    onClose: () => void = () => undefined;
    #bundle: Sent[] = [];
    #isClosed = false;
    #take: ((message: Received) => void) | undefined;
    /** Messages received before a handler was set: the first batch may arrive with the handshake's response. */
    #early: Received[] = [];

    constructor(private readonly socket: WebSocket) {
        socket.on("message", data => this.#receive(String(data)));
        socket.on("close", () => this.#ended());
        socket.on("error", () => this.close());
    }

    get onMessage(): (message: Received) => void {
        return message => this.#take?.(message);
    }

    set onMessage(take: (message: Received) => void) {
        this.#take = take;
        const early = this.#early;
        this.#early = [];
        early.forEach(message => take(message));
    }

    get isOpen(): boolean {
        return !this.#isClosed;
    }

    send(message: Sent): void {
        this.#bundle.push(message);
        if (this.#bundle.length === 1) {
            setTimeout(() => this.#flush(), bundleDelay);
        }
    }

    close(): void {
        this.socket.terminate();
        this.#ended();
    }

    #flush(): void {
        const bundle = this.#bundle;
        this.#bundle = [];
        if (this.socket.readyState === WebSocket.OPEN) {
            this.socket.send(JSON.stringify(bundle));
        }
    }

    #receive(text: string): void {
        for (const message of JSON.parse(text) as Received[]) {
            if (this.#take === undefined) {
                this.#early.push(message);
            }
            else {
                this.#take(message);
            }
        }
    }

    #ended(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.onClose();
        }
    }
}
