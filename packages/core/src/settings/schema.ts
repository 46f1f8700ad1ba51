/** The one schema of the settings tree, with the default and a comment at each key. */
import { ChoiceKind, CountKind, defineSetting, DurationKind, ShareKind } from "./definitions.js";

/** Every key that an organisation, region, site or class may set. */
export const treeSchema = {
    "placement.preference": defineSetting(
        new ChoiceKind(["spread", "pack"]),
        "spread",
        "Which worker batch tasks prefer: spread keeps waiting short, pack keeps whole workers free.",
    ),
    "placement.headroom": defineSetting(
        new ShareKind(0, 90),
        "10%",
        "Share of each worker's processors that batch tasks and gangs leave free for live work.",
    ),
    "placement.gang_patience": defineSetting(
        new DurationKind("0s", "24h"),
        "30s",
        "How long a gang waits before room is saved for it.",
    ),
    "lease.duration": defineSetting(
        new DurationKind("500ms", "1h"),
        "15s",
        "How long a worker goes on with a task after the owner's last renewal.",
    ),
    "lease.margin": defineSetting(
        new DurationKind("100ms", "10m"),
        "2s",
        "Added to a lease before its end is relied on; covers clocks that run at different rates.",
    ),
    "lease.start_within": defineSetting(
        new DurationKind("200ms", "1m"),
        "5s",
        "A start that reaches its worker later than this is refused there.",
    ),
    "owner.horizon": defineSetting(
        new DurationKind("1s", "24h"),
        "15m",
        "How long an owner goes on without the platform. Longer than the outages that tasks must live through; "
            + "a cut owner's tasks are run elsewhere only after it.",
    ),
    "worker.heartbeat": defineSetting(
        new DurationKind("50ms", "1m"),
        "1s",
        "How long a worker holds a heartbeat's answer while nothing ends there.",
    ),
    "worker.silent_after": defineSetting(
        new DurationKind("200ms", "10m"),
        "3s",
        "A worker that has not answered for this long gets nothing new.",
    ),
    "worker.quarantine_share": defineSetting(
        new ShareKind(0, 100),
        "20%",
        "Most workers that may be in quarantine at once.",
    ),
    "worker.quarantine_duration": defineSetting(
        new DurationKind("1s", "24h"),
        "1m",
        "Length of a worker's first quarantine; doubled with each further one.",
    ),
    "queue.limit": defineSetting(
        new CountKind(1, 10_000_000),
        "100000",
        "Most tasks and gangs that wait in a shard; normal work is refused at 90% of it, patient work at 70%.",
    ),
    "retry.attempts": defineSetting(
        new CountKind(0, 100),
        "3",
        "How often a repeatable task that failed or was lost is tried again.",
    ),
    "retry.delay": defineSetting(
        new DurationKind("1ms", "1h"),
        "500ms",
        "Wait before the first further try; doubled each time, with jitter.",
    ),
    "result.bytes": defineSetting(
        new CountKind(0, 262_144, "bytes"),
        "16384",
        "Largest output of a task; a larger one is a failure, never cut short.",
    ),
    "result.retention": defineSetting(
        new DurationKind("1s", "30d"),
        "1h",
        "How long a finished job, its key and its result are kept.",
    ),
    "live.slot_grant": defineSetting(
        new DurationKind("500ms", "10m"),
        "10s",
        "How long a gateway may use a bundle of slots after its last renewal; covers an owner's replacement.",
    ),
    "live.wait_limit": defineSetting(
        new DurationKind("0ms", "1m"),
        "200ms",
        "Longest expected wait for a slot; a live request that would wait longer is refused at once.",
    ),
    "live.retry_share": defineSetting(
        new ShareKind(0, 100),
        "10%",
        "Most repeated sends of repeatable live requests, as a share of first sends.",
    ),
    "objective.waiting": defineSetting(
        new DurationKind("1ms", "24h"),
        "250ms",
        "A request that waits longer than this counts against the objective.",
    ),
    "objective.share": defineSetting(
        new ShareKind(1, 99.999),
        "99%",
        "Share of requests that must be answered whole and in time.",
    ),
} as const;

/** A key of the tree. */
export type TreeKey = keyof typeof treeSchema;

/** Keys of a team's section: the most that the team may hold at once. */
export const teamSchema = {
    "quota.processors": defineSetting(
        new CountKind(0, 1_000_000),
        undefined,
        "Most processors that a team holds at once.",
    ),
    "quota.memory": defineSetting(
        new CountKind(0, 1_000_000_000, "MiB"),
        undefined,
        "Most memory that a team holds at once.",
    ),
    "quota.accelerators": defineSetting(
        new CountKind(0, 1_000_000),
        undefined,
        "Most accelerators that a team holds at once.",
    ),
    "quota.slots": defineSetting(new CountKind(0, 1_000_000), undefined, "Most slots that a team holds at once."),
} as const;

/** A key of a team's section. */
export type TeamKey = keyof typeof teamSchema;
