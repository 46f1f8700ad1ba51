/** Adapter of the platform's list of VMs: JSON over HTTP. */
import type { ListedWorker, Milliseconds, VmList } from "@pebbledale/core";
import { JsonClient } from "../http-json/index.js";

const statusOk = 200;

/** Reads the list of VMs from one address; `read` rejects if there is no valid response in time. */
export class HttpVmList implements VmList {
    readonly #client: JsonClient;

    constructor(address: string, timeout: Milliseconds) {
        this.#client = new JsonClient(address, { connections: 1, timeout });
    }

    async read(signal?: AbortSignal): Promise<readonly ListedWorker[]> {
        const answer = await this.#client.call("GET", "/vms", undefined, signal);
        if (answer.status !== statusOk) {
            throw new Error(`list of VMs: unexpected status ${answer.status}`);
        }
        return (answer.body as { workers: ListedWorker[]; }).workers;
    }

    close(): Promise<void> {
        return this.#client.close();
    }
}
