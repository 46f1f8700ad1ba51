/** Settings that a shard's owner reads at each decision. */
import type { PlacementSettings } from "../placement/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";

/** Resolved settings of a shard or workload class; `treeSchema` documents each value. */
export interface ShardSettings {
    readonly placement: PlacementSettings;
    readonly leaseDuration: Milliseconds;
    readonly leaseMargin: Milliseconds;
    readonly startWithin: Milliseconds;
    readonly silentAfter: Milliseconds;
    readonly horizon: Milliseconds;
    readonly queueLimit: number;
    readonly retryAttempts: number;
    readonly retryDelay: Milliseconds;
    readonly resultBytes: number;
    readonly retention: Milliseconds;
    readonly gangReservationDelay: Milliseconds;
    readonly slotGrant: Milliseconds;
    readonly quarantineShare: number;
    readonly quarantineDuration: Milliseconds;
    /** Resources that each team may hold at once; a team without an entry is unlimited. */
    readonly quotas: ReadonlyMap<string, Partial<Resources>>;
}
