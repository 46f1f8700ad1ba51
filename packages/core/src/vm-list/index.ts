/** The platform's lagging list of VMs. */
import type { WorkerId } from "../ids/index.js";
import type { Resources } from "../resources/index.js";

/** What the platform says of a VM. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** One VM that runs tasks. */
export interface ListedWorker {
    readonly worker: WorkerId;
    /** IP number and port of the worker's protocol. */
    readonly address: string;
    readonly rack: string;
    readonly dataHall: string;
    readonly region: string;
    readonly state: VmState;
    readonly capacity: Resources;
}

/** Reads the platform's list of VMs. A VM that is gone for good is no longer in it. */
export interface VmList {
    /** All workers that are live or leaving. Rejects when the list cannot be read. */
    read(signal?: AbortSignal): Promise<readonly ListedWorker[]>;
}
