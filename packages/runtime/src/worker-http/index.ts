/** Adapter of the workers' protocol: JSON over HTTP, one path per message. */
import {
    type ClaimMessage,
    type HeartbeatMessage,
    type Milliseconds,
    type RunningTask,
    type StartMessage,
    type StopMessage,
    type ThrottleMessage,
    type WorkerAnswer,
    type WorkerClient,
    type WorkerRefusal,
    type WorkerReport,
    WorkerUnreachableError,
} from "@pebbledale/core";
import { JsonClient } from "../http-json/index.js";

/** One connection is held by the long-polled heartbeat, one carries the other messages. */
const connections = 2;
const statusOk = 200;
const statusRefused = 409;

/** Client of one worker. Calls reject with {@link WorkerUnreachableError} if there is no valid response in time. */
export class HttpWorkerClient implements WorkerClient {
    readonly #client: JsonClient;

    constructor(address: string, timeout: Milliseconds) {
        this.#client = new JsonClient(address, { connections, timeout });
    }

    claim(message: ClaimMessage, signal: AbortSignal): Promise<WorkerAnswer<WorkerReport>> {
        return this.#call("claim", message, signal);
    }

    heartbeat(message: HeartbeatMessage, signal: AbortSignal): Promise<WorkerAnswer<WorkerReport>> {
        return this.#call("heartbeat", message, signal, message.wait);
    }

    start(message: StartMessage, signal: AbortSignal): Promise<WorkerAnswer<RunningTask>> {
        return this.#call("start", message, signal);
    }

    stop(message: StopMessage, signal: AbortSignal): Promise<WorkerAnswer<boolean>> {
        return this.#call("stop", message, signal);
    }

    throttle(message: ThrottleMessage, signal: AbortSignal): Promise<WorkerAnswer<boolean>> {
        return this.#call("throttle", message, signal);
    }

    close(): Promise<void> {
        return this.#client.close();
    }

    async #call<Value>(
        name: string,
        message: unknown,
        signal: AbortSignal,
        extraTimeout = 0,
    ): Promise<WorkerAnswer<Value>> {
        try {
            const answer = await this.#client.call("POST", `/tasks/${name}`, message, signal, extraTimeout);
            if (answer.status === statusOk) {
                return { kind: "accepted", value: answer.body as Value };
            }
            if (answer.status === statusRefused) {
                return { kind: "refused", refusal: (answer.body as { refusal: WorkerRefusal; }).refusal };
            }
            throw new Error(`unexpected status ${answer.status}`);
        }
        catch (cause) {
            throw new WorkerUnreachableError(String(cause), { cause });
        }
    }
}
