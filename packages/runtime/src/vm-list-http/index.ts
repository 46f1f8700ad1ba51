/** Adapter of the platform's list of VMs: one GET that answers JSON. */
import type { ListedWorker, Milliseconds, VmList } from "@pebbledale/core";
import { JsonClient } from "../http-json/index.js";

const statusOk = 200;

/** Reads the list from one address. */
export class HttpVmList implements VmList {
    readonly #client: JsonClient;

    constructor(address: string, timeout: Milliseconds) {
        this.#client = new JsonClient(address, { connections: 1, timeout });
    }

    /** See {@link VmList.read}. */
    async read(signal?: AbortSignal): Promise<readonly ListedWorker[]> {
        const answer = await this.#client.call("GET", "/vms", undefined, signal);
        if (answer.status !== statusOk) {
            throw new Error(`the list of VMs answered with status ${answer.status}`);
        }
        return (answer.body as { workers: ListedWorker[]; }).workers;
    }

    /** Ends all connections. */
    close(): Promise<void> {
        return this.#client.close();
    }
}
