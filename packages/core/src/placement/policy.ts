/** The policy of each workload class: which workers it prefers and which it must leave alone. */
import { WorkloadClass } from "../jobs/schema.js";
import { Preference } from "./types.js";

/** Values of a site's settings that placement reads. */
export interface PlacementSettings {
    readonly preference: Preference;
    /** Share of each worker's processors kept free of batch work, from 0 to 1. */
    readonly headroom: number;
}

/** How one workload class is placed. */
export interface PlacementPolicy {
    readonly workloadClass: WorkloadClass;
    /** The preference among workers that fit. */
    preference(settings: PlacementSettings): Preference;
    /** Share of a worker that must stay free after placing. */
    headroom(settings: PlacementSettings): number;
    /** Whether all tasks of a job must be placed in one decision. */
    readonly allOrNothing: boolean;
}

/** Batch tasks follow the site's preference and leave its headroom. */
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

/** Gangs pack, so that one gang touches few workers, and are placed whole or not at all. */
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

/** Instances of a long-lived service spread, so that one worker's end takes few of them, and may use the headroom. */
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

/** The policy of a workload class. */
export const policyOf = (workloadClass: WorkloadClass): PlacementPolicy => policies[workloadClass];
