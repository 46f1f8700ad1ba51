/** Placement policies of the workload classes. */
import { WorkloadClass } from "../jobs/schema.js";
import { Preference } from "./types.js";

/** Settings that affect placement. */
export interface PlacementSettings {
    readonly preference: Preference;
    /** Share of each worker's processors that batch tasks and gangs leave free, from 0 to 1. */
    readonly headroom: number;
}

/** Placement rules of one workload class. */
export interface PlacementPolicy {
    readonly workloadClass: WorkloadClass;
    /** Returns the preference among feasible workers. */
    preference(settings: PlacementSettings): Preference;
    /** Returns the share of a worker's processors that must stay free after the placement. */
    headroom(settings: PlacementSettings): number;
    /** Whether all tasks of a job must be placed together. */
    readonly allOrNothing: boolean;
}

/** Batch tasks follow the configured preference and headroom. */
export class BatchPolicy implements PlacementPolicy {
    readonly workloadClass = WorkloadClass.Batch;
    readonly allOrNothing = false;

    preference(settings: PlacementSettings): Preference {
        return settings.preference;
    }

    headroom(settings: PlacementSettings): number {
        return settings.headroom;
    }
}

/** Gangs are packed, so that each uses few workers, and are placed as a whole or not at all. */
export class GangPolicy implements PlacementPolicy {
    readonly workloadClass = WorkloadClass.Gang;
    readonly allOrNothing = true;

    preference(): Preference {
        return Preference.Pack;
    }

    headroom(settings: PlacementSettings): number {
        return settings.headroom;
    }
}

/** Service instances are spread, so that losing a worker affects few of them, and may use the headroom. */
export class ServicePolicy implements PlacementPolicy {
    readonly workloadClass = WorkloadClass.Service;
    readonly allOrNothing = false;

    preference(): Preference {
        return Preference.Spread;
    }

    headroom(): number {
        return 0;
    }
}

const policies: Readonly<Record<WorkloadClass, PlacementPolicy>> = {
    [WorkloadClass.Batch]: new BatchPolicy(),
    [WorkloadClass.Gang]: new GangPolicy(),
    [WorkloadClass.Service]: new ServicePolicy(),
};

/** Returns the shared policy instance of a workload class. */
export const policyOf = (workloadClass: WorkloadClass): PlacementPolicy => policies[workloadClass];
