/** Upkeep waves and the platform's VM service. */
import type { Branded, FencingToken, Milliseconds, WorkerId } from "@pebbledale/core";

/** Identifies a VM. A VM hosts one worker at a time. */
export type VmId = Branded<string, "VmId">;

/** Brands text that is known to be a VM's name. */
export const vmId = (text: string): VmId => text as VmId;

/** An operators' request for the upkeep of some VMs. */
export interface UpkeepWave {
    readonly wave: number;
    readonly vms: readonly VmId[];
    /** Time within which the upkeep of all of them is to be completed. */
    readonly within: Milliseconds;
    /** How many of them may be down at once. */
    readonly mostDown: number;
}

/** Status of a wave as reported to operators. */
export enum WaveState {
    Running = "running",
    Completed = "completed",
}

/** State of a VM. */
export enum VmCondition {
    Up = "up",
    Moving = "moving",
    Upkeep = "upkeep",
    Down = "down",
}

/** A VM as listed by the platform. */
export interface VmEntry {
    readonly vm: VmId;
    readonly state: VmCondition;
    /** The worker that it hosts; undefined while there is none. */
    readonly worker: WorkerId | undefined;
}

/** The issuer of an order to a VM. The platform checks the fencing token separately for each VM. */
export interface VmOrderIssuer {
    readonly holder: string;
    readonly token: FencingToken;
}

/** The platform's answer to an order to a VM. */
export type VmOrderAnswer =
    /** It is carried out, now or by an earlier order. */
    | { readonly kind: "done"; }
    /** The VM is not up or is about to leave; nothing was done. */
    | { readonly kind: "busy"; }
    /** The VM is not part of the wave, or is unknown. */
    | { readonly kind: "not-of-wave"; }
    /** Another holder has used a higher token. */
    | { readonly kind: "fenced"; }
    /** The rate limit is exceeded; nothing was done. */
    | { readonly kind: "not-now"; };

/** The platform's VM service. Calls reject when no answer arrives; an order may have been carried out nevertheless. */
export interface VmService {
    /** Lists all VMs. */
    list(signal: AbortSignal): Promise<readonly VmEntry[]>;
    /** Begins a VM's upkeep: its runs are killed at once and it returns with a new worker. */
    beginUpkeep(vm: VmId, wave: number, issuer: VmOrderIssuer, signal: AbortSignal): Promise<VmOrderAnswer>;
}

/** Reports the status of waves to operators. Calls reject when no answer arrives. */
export interface WaveStatusReporter {
    /** Waves that have been reported as completed. */
    completed(signal: AbortSignal): Promise<readonly number[]>;
    report(wave: number, state: WaveState): Promise<void>;
}
