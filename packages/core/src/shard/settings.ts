/** Values of the settings tree that a shard's owner reads at each decision. */
import type { PlacementSettings } from "../placement/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";

/** See the settings schema for the meaning and unit of each value. */
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
    readonly gangPatience: Milliseconds;
    readonly slotGrant: Milliseconds;
    readonly quarantineShare: number;
    readonly quarantineDuration: Milliseconds;
    /** Most that a team may hold at once; a team that is not named has no limit. */
    readonly quotas: ReadonlyMap<string, Partial<Resources>>;
}
