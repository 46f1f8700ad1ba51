/** Options and results of an owner's session. */
import type {
    CellConfiguration,
    HallClosures,
    UpkeepWave,
    VmService,
    WaveStatusReporter,
    WorkerDirectory,
} from "@pebbledale/cell";
import type { Journal, JournalContents, Milliseconds, SuspensionAwareClock } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { OperatorsCopy } from "../configuration/index.js";
import type { FollowLimits } from "../following/index.js";
import type { EntryMetrics } from "../observability/index.js";
import type { RegionMap } from "../settings/index.js";
import type { PreferredOwners } from "./successor.js";

/** Dependencies and callbacks of an owner's session. */
export interface OwnerSessionOptions {
    readonly journal: Journal;
    readonly contents: JournalContents;
    readonly directory: WorkerDirectory;
    /** Limits on the age of the workers' entries. */
    readonly followLimits: FollowLimits;
    readonly clock: SuspensionAwareClock;
    readonly logger: EventLogger;
    readonly metrics: EntryMetrics;
    readonly name: string;
    /** Region of each data hall. */
    readonly regions: RegionMap;
    /** The newest configuration known to this VM; undefined while there is none. */
    readonly configuration: () => CellConfiguration | undefined;
    /** The known waves of upkeep. */
    readonly waves: () => readonly UpkeepWave[];
    /** How long after a takeover leases granted by earlier owners may be in force at an unreachable worker. */
    readonly formerLeaseLength: Milliseconds;
    /** Time of the store's last confirmation that this VM owns the cell, on the monotonic clock. */
    readonly confirmedAt: () => Milliseconds;
    /**
     * Time of the last renewal of the owner's key, on the monotonic clock. Other confirmations only prove that no other
     * VM owned the cell at the time; a renewal also prevents a claim until the key expires.
     */
    readonly keyConfirmedAt: () => Milliseconds;
    /** Lifetime of the owner's key after its last renewal; no other VM can own the cell before it has passed. */
    readonly ownerLeaseLength: Milliseconds;
    /** Asks the store to confirm that this VM owns the cell. */
    readonly confirm: () => void;
    /** Aborted when the cell is lost to another owner. */
    readonly lost: AbortController;
    /** Called when a VM has timed out. */
    readonly onSilentVm: (name: string) => void;
    /** VMs that should own the cell because they are near the store; undefined where that makes no difference. */
    readonly preferred: () => PreferredOwners;
    /** Called while a VM that would own the cell much better is connected and no handover is in progress. */
    readonly onBetterVm: () => void;
    /** Whether this VM has lost the connection to most of the others. */
    readonly isIsolated: () => boolean;
    /** Called with a configuration received from a VM. */
    readonly onConfiguration: (configuration: CellConfiguration) => void;
    /** Number of data halls that the cell may lose at once. */
    readonly toleratedHallLosses: number;
    /** The closed data halls as this VM knows them. */
    readonly closures: () => HallClosures;
    /** What this VM has read of the operators' keys, for a VM whose copy is complete up to `since`; undefined before its first reading. */
    readonly operatorsCopy: (since: string | undefined) => OperatorsCopy | undefined;
    /** Called with a VM's closed data halls; returns this VM's if they are newer and differ. */
    readonly onClosures: (closures: HallClosures) => HallClosures | undefined;
    /** Access to the platform's upkeep service; undefined where there is none. */
    readonly upkeep: OwnerUpkeep | undefined;
}

/** Dependencies for waves of upkeep. */
export interface OwnerUpkeep {
    readonly vms: VmService;
    readonly waveReporter: WaveStatusReporter;
    readonly upkeepTime: Milliseconds;
    readonly takeoverDelay: Milliseconds;
}

/** Outcome of a handover. */
export enum HandOverOutcome {
    /** Another VM was asked to claim the cell. */
    Offered = "offered",
    /** No VM is available to take over. */
    NoSuccessor = "no-successor",
    /** The store, which is needed for a claim, does not answer. */
    StoreSilent = "store-silent",
}
