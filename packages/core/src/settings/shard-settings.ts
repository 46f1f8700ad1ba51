/** Conversion of the settings tree to the settings of a shard. */
import type { WorkloadClass } from "../jobs/index.js";
import { Preference } from "../placement/index.js";
import type { Resources } from "../resources/index.js";
import type { ShardSettings } from "../shard/settings.js";
import type { SettingsTree, TreePath } from "./tree.js";

type Mutable<Value> = { -readonly [Key in keyof Value]: Value[Key]; };

const quotasOf = (tree: SettingsTree): Map<string, Partial<Resources>> => {
    const quotas = new Map<string, Partial<Resources>>();
    for (const team of tree.teams()) {
        const quota: Partial<Mutable<Resources>> = {};
        const processors = tree.quota(team, "quota.processors");
        quota.processorThousandths = processors === undefined ? undefined : processors * 1000;
        quota.memoryMebibytes = tree.quota(team, "quota.memory");
        quota.accelerators = tree.quota(team, "quota.accelerators");
        quota.slots = tree.quota(team, "quota.slots");
        quotas.set(team, quota);
    }
    return quotas;
};

/** Resolves the settings of a site. With a workload class, keys that classes may override take the class's values. */
export const shardSettingsOf = (tree: SettingsTree, path: TreePath, workloadClass?: WorkloadClass): ShardSettings => {
    const classPath = { ...path, workloadClass };
    return {
        placement: {
            preference: tree.explain("placement.preference", classPath).value as Preference,
            headroom: tree.number("placement.headroom", classPath),
        },
        leaseDuration: tree.number("lease.duration", path),
        leaseMargin: tree.number("lease.margin", path),
        startWithin: tree.number("lease.start_within", path),
        silentAfter: tree.number("worker.silent_after", path),
        horizon: tree.number("owner.horizon", path),
        queueLimit: tree.number("queue.limit", path),
        retryAttempts: tree.number("retry.attempts", classPath),
        retryDelay: tree.number("retry.delay", classPath),
        resultBytes: tree.number("result.bytes", path),
        retention: tree.number("result.retention", path),
        gangReservationDelay: tree.number("placement.gang_patience", classPath),
        slotGrant: tree.number("live.slot_grant", path),
        quarantineShare: tree.number("worker.quarantine_share", path),
        quarantineDuration: tree.number("worker.quarantine_duration", path),
        quotas: quotasOf(tree),
    };
};
