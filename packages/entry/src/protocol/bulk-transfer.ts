/** Transfer of large messages in compressed parts, so that other messages on the same connection need not wait for them. */
import { promisify } from "node:util";
import { deflateRaw, inflateRaw } from "node:zlib";

const deflate = promisify(deflateRaw);
const inflate = promisify(inflateRaw);

/** Messages of at least this many characters are sent in parts. */
export const minBulkLength = 16_384;
/** Bytes of one part. */
const partBytes = 8_192;
/** Parts that are sent without their arrival being confirmed: what other messages wait for at most. */
const maxPartsInFlight = 2;
/** The fastest level. */
const compressionLevel = 1;
/** Bytes of one decompressed message at most. */
const maxMessageBytes = 16 * 1_048_576;

/** First byte of a part: whether others follow. */
enum PartKind {
    More = 0,
    Last = 1,
}

/** A serialized message that is compressed at most once, however many connections carry it. */
export class CompressibleText {
    readonly length: number;
    #compressed: Promise<Buffer> | undefined;

    constructor(readonly text: string) {
        this.length = text.length;
    }

    get compressed(): Promise<Buffer> {
        return this.#compressed ??= deflate(Buffer.from(this.text, "utf8"), { level: compressionLevel });
    }
}

/** A large message as it waits to be sent. */
interface BulkMessage {
    readonly kind: string;
    readonly text: CompressibleText;
}

/** Sends large messages one after the other. */
export class BulkSender {
    readonly #waiting: BulkMessage[] = [];
    #inFlight = 0;
    #isSending = false;
    #isClosed = false;
    #wake: () => void = () => undefined;

    /**
     * `send`: sends one part of a message of the given kind on the connection; `fail`: called when a message cannot be compressed or
     * sent.
     */
    constructor(private readonly send: (part: Buffer, kind: string) => void, private readonly fail: () => void) {}

    add(kind: string, text: CompressibleText): void {
        this.#waiting.push({ kind, text });
        if (!this.#isSending) {
            this.#sendAll().catch(() => this.fail());
        }
    }

    /** Records that the other end has received a part. */
    recordArrival(): void {
        this.#inFlight--;
        this.#wake();
    }

    close(): void {
        this.#isClosed = true;
        this.#waiting.length = 0;
        this.#wake();
    }

    async #sendAll(): Promise<void> {
        this.#isSending = true;
        for (let message = this.#waiting.shift(); message !== undefined; message = this.#waiting.shift()) {
            const { kind, text } = message;
            const bytes = await text.compressed;
            for (let next = 0; next < bytes.length && !this.#isClosed; next += partBytes) {
                await this.#untilFree();
                this.#sendPart(kind, bytes.subarray(next, next + partBytes), next + partBytes >= bytes.length);
            }
        }
        this.#isSending = false;
    }

    #sendPart(kind: string, bytes: Buffer, isLast: boolean): void {
        if (!this.#isClosed) {
            this.#inFlight++;
            this.send(Buffer.concat([Buffer.of(isLast ? PartKind.Last : PartKind.More), bytes]), kind);
        }
    }

    async #untilFree(): Promise<void> {
        while (this.#inFlight >= maxPartsInFlight && !this.#isClosed) {
            await new Promise<void>(resolve => this.#wake = resolve);
        }
    }
}

/** Puts messages together again. */
export class BulkReceiver {
    #parts: Buffer[] = [];
    #isClosed = false;

    /** `deliver`: called with the text of each complete message; `fail`: called when a message cannot be read. */
    constructor(private readonly deliver: (text: string) => void, private readonly fail: () => void) {}

    receive(part: Buffer): void {
        if (this.#isClosed) {
            return;
        }
        this.#parts.push(part.subarray(1));
        if (part[0] === PartKind.Last) {
            const bytes = Buffer.concat(this.#parts);
            this.#parts = [];
            inflate(bytes, { maxOutputLength: maxMessageBytes }).then(
                text => this.#isClosed ? undefined : this.deliver(text.toString("utf8")),
                () => this.fail(),
            );
        }
    }

    /** Drops what has arrived and is not delivered. */
    close(): void {
        this.#isClosed = true;
        this.#parts = [];
    }
}
