/** Message channel over a WebSocket. */
import type { CellConfiguration } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import { WebSocket } from "ws";
import { BulkReceiver, BulkSender, CompressibleText, minBulkLength } from "./bulk-transfer.js";
import type { Channel } from "./channel.js";
import type { CommandMessage, ConfigurationMessage } from "./messages.js";
import { PayloadReceiver, PayloadSender } from "./payload-references.js";

/** How long messages are collected into one batch, in milliseconds: a wake-up costs more than a message. */
const batchDelay: Milliseconds = 2;

/** Messages that may be large and need not arrive in order with others. */
const bulkKinds: ReadonlySet<string> = new Set(["configuration", "store-answer", "store-call"]);

/** Entry of a batch that is for the channel itself. Channels of earlier versions pass it on as a message without a kind, which is ignored. */
type ControlEntry = readonly [ControlKind];

enum ControlKind {
    /** The sender takes messages in parts, and references to payloads. First entry of the first batch. */
    TakesCompactForms = "takes-compact-forms",
    /** One part has arrived. */
    PartArrived = "part-arrived",
}

/** Entries of kinds that this version does not know are ignored. */
const isControl = (entry: unknown): entry is ControlEntry => Array.isArray(entry);

/** Configuration messages by their content: one is sent to many VMs at about the same time. */
const configurationTexts = new WeakMap<CellConfiguration, CompressibleText>();

const isConfiguration = (message: unknown): message is ConfigurationMessage =>
    (message as { kind?: unknown; }).kind === "configuration";

const isCommand = (message: unknown): message is CommandMessage => (message as { kind?: unknown; }).kind === "command";

/** Called with the kind and the length of each message that is sent. */
export type MessageMeter = (kind: string, bytes: number) => void;

/** Options of a {@link SocketChannel}. */
export interface SocketChannelOptions {
    /** Undefined where messages are not measured. */
    readonly meter?: MessageMeter | undefined;
    /**
     * Whether, if the other end takes them, large messages are sent in parts, so that others need not wait for them, and repeated payloads as
     * references.
     */
    readonly usesCompactForms?: boolean;
}

/** Sends and receives batches of messages as JSON arrays over a WebSocket. */
export class SocketChannel<Sent extends { readonly kind: string; }, Received> implements Channel<Sent, Received> {
    onClose: () => void = () => undefined;
    #batch: (Sent | ControlEntry)[] = [];
    #isClosed = false;
    #handler: ((message: Received) => void) | undefined;
    /** Messages received before a handler was set: the first batch may arrive with the handshake's response. */
    #undelivered: Received[] = [];
    readonly #bulkSender = new BulkSender((part, kind) => this.#sendPart(part, kind), () => this.close());
    readonly #bulkReceiver = new BulkReceiver(text => this.#deliver(JSON.parse(text) as Received), () => this.close());
    readonly #payloadSender = new PayloadSender();
    readonly #payloadReceiver = new PayloadReceiver();
    #takesCompactForms = false;
    #hasAnnounced: boolean;

    constructor(private readonly socket: WebSocket, private readonly options: SocketChannelOptions = {}) {
        this.#hasAnnounced = options.usesCompactForms !== true;
        socket.on(
            "message",
            (data, isBinary) => isBinary ? this.#receivePart(data as Buffer) : this.#receive(String(data)),
        );
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
        this.#add(message);
    }

    close(): void {
        this.socket.terminate();
        this.#markClosed();
    }

    #add(entry: Sent | ControlEntry): void {
        this.#batch.push(entry);
        if (this.#batch.length === 1) {
            setTimeout(() => this.#flush(), batchDelay);
        }
    }

    #flush(): void {
        const batch = this.#batch;
        this.#batch = [];
        if (this.socket.readyState !== WebSocket.OPEN) {
            return;
        }
        if (!this.#hasAnnounced) {
            this.#hasAnnounced = true;
            batch.unshift([ControlKind.TakesCompactForms]);
        }
        const { meter, usesCompactForms } = this.options;
        const text = meter === undefined && usesCompactForms !== true
            ? JSON.stringify(batch)
            : this.#serializeEach(batch);
        if (text !== undefined) {
            this.socket.send(text);
        }
    }

    /** Serializes each message by itself, so that its length is known; undefined when all of them are sent in parts. */
    #serializeEach(batch: readonly (Sent | ControlEntry)[]): string | undefined {
        const texts: string[] = [];
        for (const entry of batch) {
            if (isControl(entry)) {
                texts.push(JSON.stringify(entry));
                continue;
            }
            const text = this.#serialize(entry);
            if (this.#takesCompactForms && text.length >= minBulkLength && bulkKinds.has(entry.kind)) {
                this.#bulkSender.add(entry.kind, text);
            }
            else {
                this.options.meter?.(entry.kind, text.length);
                texts.push(text.text);
            }
        }
        return texts.length === 0 ? undefined : `[${texts.join(",")}]`;
    }

    #serialize(message: Sent): CompressibleText {
        if (isConfiguration(message)) {
            const { configuration } = message;
            const known = configurationTexts.get(configuration) ?? new CompressibleText(JSON.stringify(message));
            configurationTexts.set(configuration, known);
            return known;
        }
        const isPacked = this.#takesCompactForms && isCommand(message);
        return new CompressibleText(JSON.stringify(isPacked ? this.#payloadSender.pack(message) : message));
    }

    #sendPart(part: Buffer, kind: string): void {
        if (this.socket.readyState === WebSocket.OPEN) {
            this.options.meter?.(kind, part.length);
            this.socket.send(part);
        }
    }

    #receive(text: string): void {
        for (const entry of JSON.parse(text) as (Received | ControlEntry)[]) {
            if (isControl(entry)) {
                this.#handleControl(entry);
            }
            else {
                this.#deliverRestored(entry);
            }
        }
    }

    /** Closes the connection rather than pass on an order without its payload. */
    #deliverRestored(message: Received): void {
        const restored = isCommand(message) ? this.#payloadReceiver.unpack(message) as Received | undefined : message;
        if (restored === undefined) {
            this.close();
        }
        else {
            this.#deliver(restored);
        }
    }

    #handleControl([kind]: ControlEntry): void {
        if (kind === ControlKind.TakesCompactForms) {
            this.#takesCompactForms = this.options.usesCompactForms === true;
        }
        else if (kind === ControlKind.PartArrived) {
            this.#bulkSender.recordArrival();
        }
    }

    #receivePart(part: Buffer): void {
        this.#add([ControlKind.PartArrived]);
        this.#bulkReceiver.receive(part);
    }

    #deliver(message: Received): void {
        if (this.#handler === undefined) {
            this.#undelivered.push(message);
        }
        else {
            this.#handler(message);
        }
    }

    #markClosed(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#bulkSender.close();
            this.#bulkReceiver.close();
            this.onClose();
        }
    }
}
