/** Replaces payloads that a connection has carried lately by references: all tasks of a job have the same one. */
import type { WorkerCommand } from "@pebbledale/cell";
import type { CommandMessage } from "./messages.js";

/** Payloads of fewer characters are always sent. */
const minPayloadLength = 256;
/** Number of payloads that both ends remember for one connection. The receiver must keep at least as many as the sender. */
const rememberedPayloads = 64;

/** A start whose payload has a number. The payload is omitted where the number was sent before with the same one. */
export type NumberedCommand = Omit<WorkerCommand & { readonly kind: "start"; }, "payload"> & {
    readonly payload?: string;
    readonly payloadNumber: number;
};

const isNumbered = (command: WorkerCommand | NumberedCommand): command is NumberedCommand => "payloadNumber" in command;

/** Numbers the payloads of one direction of a connection. */
export class PayloadSender {
    /** The payloads sent last, oldest first. */
    readonly #numbers = new Map<string, number>();
    #next = 1;

    /** The order as it is to be sent. */
    pack(
        { kind, command }: CommandMessage,
    ): { readonly kind: "command"; readonly command: WorkerCommand | NumberedCommand; } {
        if (command.kind !== "start" || command.payload.length < minPayloadLength) {
            return { kind, command };
        }
        const { payload, ...rest } = command;
        const known = this.#numbers.get(payload);
        if (known !== undefined) {
            return { kind, command: { ...rest, payloadNumber: known } };
        }
        const payloadNumber = this.#next++;
        this.#numbers.set(payload, payloadNumber);
        if (this.#numbers.size > rememberedPayloads) {
            const [oldest] = this.#numbers.keys();
            this.#numbers.delete(oldest);
        }
        return { kind, command: { ...rest, payload, payloadNumber } };
    }
}

/** Restores the payloads of one direction of a connection. */
export class PayloadReceiver {
    readonly #payloads = new Map<number, string>();

    /** The order with its payload; undefined if it refers to one that was never received. */
    unpack({ kind, command }: ReturnType<PayloadSender["pack"]>): CommandMessage | undefined {
        if (!isNumbered(command)) {
            return { kind, command };
        }
        const { payloadNumber, ...rest } = command;
        const payload = command.payload ?? this.#payloads.get(payloadNumber);
        if (payload === undefined) {
            return undefined;
        }
        this.#payloads.set(payloadNumber, payload);
        this.#payloads.delete(payloadNumber - rememberedPayloads);
        return { kind, command: { ...rest, payload } };
    }
}
