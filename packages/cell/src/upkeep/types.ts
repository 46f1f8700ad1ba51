/** Waves of upkeep, and the platform's service of VMs. */
import type { Branded, FencingToken, Milliseconds, WorkerId } from "@pebbledale/core";

/** Names one VM that workers live on, one after the other. */
export type VmId = Branded<string, "VmId">;

/** Makes a VM's name from text that is known to be one. */
export const vmId = (text: string): VmId => text as VmId;

/** Operators ask for each of these VMs to have its upkeep. */
export interface UpkeepWave {
    readonly wave: number;
    readonly vms: readonly VmId[];
    /** All of them are to have had it within this time. */
    readonly within: Milliseconds;
    /** Most of them that are down at once. */
    readonly mostDown: number;
}

/** What the system says of a wave. */
export enum WaveState {
    Running = "running",
    Completed = "completed",
}

/** Where a VM is in its life. */
export enum VmCondition {
    Up = "up",
    Moving = "moving",
    Upkeep = "upkeep",
    Down = "down",
}

/** One VM as the platform's service lists it. */
export interface VmEntry {
    readonly vm: VmId;
    readonly state: VmCondition;
    /** The worker that lives there; undefined while there is none. */
    readonly worker: WorkerId | undefined;
}

/** Who orders, and with which fencing token: both count for each VM. */
export interface VmOrderIssuer {
    readonly holder: string;
    readonly token: FencingToken;
}

/** Answer to an order to a VM. */
export type VmOrderAnswer =
    /** It is done, or was before. */
    | { readonly kind: "done"; }
    /** It is not up, or about to leave: nothing was done. */
    | { readonly kind: "busy"; }
    /** The VM is not of this wave, or not known. */
    | { readonly kind: "not-of-wave"; }
    /** Another holder with a higher token has ordered. */
    | { readonly kind: "fenced"; }
    /** Too many calls; nothing was done. */
    | { readonly kind: "not-now"; };

/** The platform's service of VMs. Calls reject when no answer came: an order may then have been carried out. */
export interface VmService {
    /** All VMs. */
    list(signal: AbortSignal): Promise<readonly VmEntry[]>;
    /** Begins a VM's upkeep: everything that runs there dies at once, and a new worker comes after a while. */
    beginUpkeep(vm: VmId, wave: number, orderer: VmOrderIssuer, signal: AbortSignal): Promise<VmOrderAnswer>;
}

/** Where the system tells operators how their waves stand. Calls reject when no answer came. */
export interface WaveStatusReporter {
    /** Waves that were told to be completed. */
    completed(signal: AbortSignal): Promise<readonly number[]>;
    /** Tells a wave's state. */
    report(wave: number, state: WaveState): Promise<void>;
}
