/** Interface to the platform's list of VMs, which may lag behind the actual state. */
import type { WorkerId } from "../ids/index.js";
import type { Resources } from "../resources/index.js";

/** State of a VM as the platform reports it. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** A VM that runs tasks, as the platform lists it. */
export interface ListedWorker {
    readonly worker: WorkerId;
    /** IP address and port of the worker's protocol endpoint. */
    readonly address: string;
    readonly rack: string;
    readonly dataHall: string;
    readonly region: string;
    readonly state: VmState;
    readonly capacity: Resources;
}

/** Reads the platform's list of VMs, which does not contain VMs that are gone for good. */
export interface VmList {
    /** Returns all workers that are live or leaving. Rejects when the list cannot be read. */
    read(signal?: AbortSignal): Promise<readonly ListedWorker[]>;
}
