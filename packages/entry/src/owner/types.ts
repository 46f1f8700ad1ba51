/** What an owner is made from. */
import type { CellConfiguration, VmService, WaveStatusReporter, WorkerDirectory } from "@pebbledale/cell";
import type { Journal, JournalContents, Milliseconds, SuspensionAwareClock } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { FollowLimits } from "../following/index.js";
import type { EntryMetrics } from "../observation/index.js";

/** What an owner needs. */
export interface OwnerSessionOptions {
    readonly journal: Journal;
    readonly contents: JournalContents;
    readonly directory: WorkerDirectory;
    /** How long the workers' entries may go unheard. */
    readonly followLimits: FollowLimits;
    readonly clock: SuspensionAwareClock;
    readonly logger: EventLogger;
    readonly metrics: EntryMetrics;
    readonly name: string;
    readonly configuration: CellConfiguration | undefined;
    /** How long after a take-over an earlier owner's leases may run at a worker that nobody reaches. */
    readonly formerLeaseLength: Milliseconds;
    /** When the store last confirmed that this VM owns the cell, by the monotonic clock. */
    readonly confirmedAt: () => Milliseconds;
    /**
     * When the store last renewed the owner's key, by the monotonic clock. Other confirmations prove that nobody else had the cell by then;
     * only this keeps others from claiming it for a while.
     */
    readonly keyConfirmedAt: () => Milliseconds;
    /** How long its key outlives the last confirmation: before that nobody else owns the cell. */
    readonly ownerLease: Milliseconds;
    /** Has the store asked whether this VM owns the cell. */
    readonly confirm: () => void;
    /** Fires when the cell is lost to another owner. */
    readonly lost: AbortController;
    /** Told of a VM that gave no sign of life for too long. */
    readonly onSilentVm: (name: string) => void;
    /** Told once when a much larger VM has been connected for a while. */
    readonly onLargerVm: () => void;
    /** Whether this VM has been cut off from most of the others. */
    readonly isIsolated: () => boolean;
    /** Told of a configuration that a VM saw. */
    readonly onConfiguration: (configuration: CellConfiguration) => void;
    /** The platform's service of VMs; undefined where there is none. */
    readonly upkeep: OwnerUpkeep | undefined;
}

/** What an owner needs for waves of upkeep. */
export interface OwnerUpkeep {
    readonly vms: VmService;
    readonly board: WaveStatusReporter;
    readonly upkeepTime: Milliseconds;
    readonly turnLength: Milliseconds;
}

/** What came of handing the cell over. */
export enum HandOverOutcome {
    /** Another VM was asked to claim it. */
    Offered = "offered",
    /** Nobody is there to take it. */
    NoSuccessor = "no-successor",
    /** The store, by which it would be claimed, does not answer. */
    StoreSilent = "store-silent",
}
