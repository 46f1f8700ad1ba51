/** Workers as they record themselves in the platform's store. */
import type { Milliseconds, ServiceName, WorkerId, WorkerIncarnation } from "@pebbledale/core";
import type { TaskSize } from "../task-size/index.js";
import type { VmId } from "../upkeep/index.js";

/** One life of a worker, as it last described itself. */
export interface WorkerEntry {
    readonly worker: WorkerId;
    /** Left out where the platform gives a restarted worker another id. */
    readonly life?: WorkerIncarnation;
    /** IP number and port. */
    readonly address: string;
    readonly service: ServiceName;
    readonly dataHall: string;
    /** The VM that it lives on; its rack and room are the VM's. Empty when it names none. */
    readonly vm: VmId;
    readonly capacity: TaskSize;
    /** Its kind and its rack, among what a step may require. */
    readonly labels: readonly string[];
    readonly rack: string | undefined;
    readonly isDraining: boolean;
    /** While it drains: the least time before it leaves. */
    readonly leavesIn: Milliseconds | undefined;
}

/** All workers at a moment. */
export interface WorkerListing {
    readonly workers: readonly WorkerEntry[];
    /** Workers whose entries cannot be read. */
    readonly unreadable: readonly WorkerId[];
    /** Where {@link WorkerDirectory.follow} goes on. */
    readonly cursor: string;
}

/** What changed since a cursor. */
export interface WorkerChanges {
    readonly changed: readonly WorkerEntry[];
    /** Workers whose entries can no longer be read. */
    readonly unreadable: readonly WorkerId[];
    readonly gone: readonly WorkerId[];
    readonly cursor: string;
}

/** Reads and follows the workers' entries. Calls reject with `PlatformUnavailableError` when no answer came. */
export interface WorkerDirectory {
    /** Reads all entries. */
    list(signal: AbortSignal): Promise<WorkerListing>;
    /** Waits for changes; undefined when the history since `cursor` is gone and all must be read again. */
    follow(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<WorkerChanges | undefined>;
}
