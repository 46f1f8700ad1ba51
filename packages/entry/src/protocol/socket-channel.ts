/** Message channel over a WebSocket. */
import type { Milliseconds } from "@pebbledale/core";
import { WebSocket } from "ws";
import type { Channel } from "./channel.js";

/** How long messages are collected into one batch, in milliseconds: a wake-up costs more than a message. */
const batchDelay: Milliseconds = 2;

/** Called with the kind and the length of each message that is sent. */
export type MessageMeter = (kind: string, bytes: number) => void;

/** Sends and receives batches of messages as JSON arrays over a WebSocket. */
export class SocketChannel<Sent extends { readonly kind: string; }, Received> implements Channel<Sent, Received> {
    onClose: () => void = () => undefined;
    #batch: Sent[] = [];
    #isClosed = false;
    #handler: ((message: Received) => void) | undefined;
    /** Messages received before a handler was set: the first batch may arrive with the handshake's response. */
    #undelivered: Received[] = [];

    constructor(private readonly socket: WebSocket, private readonly meter?: MessageMeter) {
        socket.on("message", data => this.#receive(String(data)));
        socket.on("close", () => this.#markClosed());
        socket.on("error", () => this.close());
    }

    get onMessage(): (message: Received) => void {
        return message => this.#handler?.(message);
    }

    set onMessage(handler: (message: Received) => void) {
        this.#handler = handler;
        const undelivered = this.#undelivered;
        this.#undelivered = [];
        undelivered.forEach(message => handler(message));
    }

    get isOpen(): boolean {
        return !this.#isClosed;
    }

    send(message: Sent): void {
        this.#batch.push(message);
        if (this.#batch.length === 1) {
            setTimeout(() => this.#flush(), batchDelay);
        }
    }

    close(): void {
        this.socket.terminate();
        this.#markClosed();
    }

    #flush(): void {
        const batch = this.#batch;
        this.#batch = [];
        if (this.socket.readyState === WebSocket.OPEN) {
            this.socket.send(this.#serialize(batch));
        }
    }

    /** Serializes each message by itself where lengths are to be known; the text is the same. */
    #serialize(batch: readonly Sent[]): string {
        const { meter } = this;
        if (meter === undefined) {
            return JSON.stringify(batch);
        }
        const texts = batch.map(message => {
            const text = JSON.stringify(message);
            meter(message.kind, text.length);
            return text;
        });
        return `[${texts.join(",")}]`;
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
