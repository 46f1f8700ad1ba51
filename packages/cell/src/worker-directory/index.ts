/** Directory of workers, which publish their entries in the platform's store. */
import type { DataHallName, Milliseconds, ServiceName, WorkerId, WorkerIncarnation } from "@pebbledale/core";
import type { TaskSize } from "../task-size/index.js";
import type { VmId } from "../upkeep/index.js";

/** Entry of one incarnation of a worker, as it last published it. */
export interface WorkerEntry {
    readonly worker: WorkerId;
    /** Absent on platforms that give a restarted worker another id. */
    readonly life?: WorkerIncarnation;
    /** IP address and port. */
    readonly address: string;
    readonly service: ServiceName;
    readonly dataHall: DataHallName;
    /** VM that hosts the worker; empty when the entry names none. */
    readonly vm: VmId;
    readonly capacity: TaskSize;
    /** Labels that a step may require, among them its kind and its rack. */
    readonly labels: readonly string[];
    readonly rack: string | undefined;
    readonly isDraining: boolean;
    /** While it drains: minimum time until it leaves. */
    readonly leavesIn: Milliseconds | undefined;
}

/** Entries of all workers at one moment. */
export interface WorkerListing {
    readonly workers: readonly WorkerEntry[];
    /** Workers whose entries cannot be parsed. */
    readonly unreadable: readonly WorkerId[];
    /** Position from which {@link WorkerDirectory.follow} continues. */
    readonly cursor: string;
}

/** Changes of entries since a cursor. */
export interface WorkerChanges {
    readonly changed: readonly WorkerEntry[];
    /** Workers whose entries can no longer be parsed. */
    readonly unreadable: readonly WorkerId[];
    readonly gone: readonly WorkerId[];
    readonly cursor: string;
}

/** Lists and watches workers' entries. Calls reject with `PlatformUnavailableError` when there is no answer. */
export interface WorkerDirectory {
    list(signal: AbortSignal): Promise<WorkerListing>;
    /** Waits for changes; undefined when the history since `cursor` is no longer available and all entries must be listed again. */
    follow(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<WorkerChanges | undefined>;
}
