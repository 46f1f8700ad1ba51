/** A channel over a WebSocket: bundles of messages as JSON arrays. */
import type { Milliseconds } from "@pebbledale/core";
import { WebSocket } from "ws";
import type { Channel } from "./channel.js";

/** Messages of this long are gathered into one bundle, in milliseconds: a wake-up costs more than a message. */
const batchDelay: Milliseconds = 2;

/** See the module's comment. */
export class SocketChannel<Sent, Received> implements Channel<Sent, Received> {
    onClose: () => void = () => undefined;
    #batch: Sent[] = [];
    #isClosed = false;
    #handler: ((message: Received) => void) | undefined;
    /** What arrived before there was anyone to take it: a first bundle may come with the answer to the handshake. */
    #undelivered: Received[] = [];

    constructor(private readonly socket: WebSocket) {
        socket.on("message", data => this.#receive(String(data)));
        socket.on("close", () => this.#markClosed());
        socket.on("error", () => this.close());
    }

    /** See {@link Channel.onMessage}. */
    get onMessage(): (message: Received) => void {
        return message => this.#handler?.(message);
    }

    /** */
    set onMessage(take: (message: Received) => void) {
        this.#handler = take;
        const early = this.#undelivered;
        this.#undelivered = [];
        early.forEach(message => take(message));
    }

    /** See {@link Channel.isOpen}. */
    get isOpen(): boolean {
        return !this.#isClosed;
    }

    /** See {@link Channel.send}. */
    send(message: Sent): void {
        this.#batch.push(message);
        if (this.#batch.length === 1) {
            setTimeout(() => this.#flush(), batchDelay);
        }
    }

    /** See {@link Channel.close}. */
    close(): void {
        this.socket.terminate();
        this.#markClosed();
    }

    #flush(): void {
        const bundle = this.#batch;
        this.#batch = [];
        if (this.socket.readyState === WebSocket.OPEN) {
            this.socket.send(JSON.stringify(bundle));
        }
    }

    #receive(text: string): void {
        for (const message of JSON.parse(text) as Received[]) {
            if (this.#handler === undefined) {
                this.#undelivered.push(message);
            }
            else {
                this.#handler(message);
            }
        }
    }

    #markClosed(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.onClose();
        }
    }
}
