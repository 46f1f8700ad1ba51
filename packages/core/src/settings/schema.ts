/** Schema of the settings tree, with the default and a description of each key. */
import { ChoiceKind, CountKind, defineSetting, DurationKind, ShareKind } from "./definitions.js";

/** Keys that an organisation, region, site or class may set. */
export const treeSchema = {
    "placement.preference": defineSetting(
        new ChoiceKind(["spread", "pack"]),
        "spread",
        "Preferred worker for batch tasks: spread keeps waits short, pack keeps whole workers free.",
    ),
    "placement.headroom": defineSetting(
        new ShareKind(0, 90),
        "10%",
        "Share of each worker's processors that batch tasks and gangs leave free for live requests.",
    ),
    "placement.gang_patience": defineSetting(
        new DurationKind("0s", "24h"),
        "30s",
        "How long a gang waits before workers are reserved for it.",
    ),
    "lease.duration": defineSetting(
        new DurationKind("500ms", "1h"),
        "15s",
        "How long a worker continues a task after the owner's last renewal.",
    ),
    "lease.margin": defineSetting(
        new DurationKind("100ms", "10m"),
        "2s",
        "Safety margin after a lease's expiry, for clocks that run at different rates.",
    ),
    "lease.start_within": defineSetting(
        new DurationKind("200ms", "1m"),
        "5s",
        "Workers refuse a start request that arrives later than this.",
    ),
    "owner.horizon": defineSetting(
        new DurationKind("1s", "24h"),
        "15m",
        "How long an owner continues without the platform. Must exceed the outages that tasks have to survive; "
            + "tasks of a partitioned owner are run elsewhere only after this time.",
    ),
    "worker.heartbeat": defineSetting(
        new DurationKind("50ms", "1m"),
        "1s",
        "How long a worker delays its answer to a heartbeat while no task ends.",
    ),
    "worker.silent_after": defineSetting(
        new DurationKind("200ms", "10m"),
        "3s",
        "A worker that has not answered for this long gets no new tasks.",
    ),
    "worker.quarantine_share": defineSetting(
        new ShareKind(0, 100),
        "20%",
        "Maximum share of workers in quarantine at a time.",
    ),
    "worker.quarantine_duration": defineSetting(
        new DurationKind("1s", "24h"),
        "1m",
        "Duration of a worker's first quarantine, doubled for each further one.",
    ),
    "queue.limit": defineSetting(
        new CountKind(1, 10_000_000),
        "100000",
        "Maximum number of tasks and gangs queued in a shard; normal work is refused above 90% of it, patient work above 70%.",
    ),
    "retry.attempts": defineSetting(
        new CountKind(0, 100),
        "3",
        "How many times a repeatable task is retried after it failed or was lost.",
    ),
    "retry.delay": defineSetting(
        new DurationKind("1ms", "1h"),
        "500ms",
        "Delay before the first retry, doubled for each further one, with jitter.",
    ),
    "result.bytes": defineSetting(
        new CountKind(0, 262_144, "bytes"),
        "16384",
        "Maximum size of a task's output; a task with a larger one fails, as outputs are never truncated.",
    ),
    "result.retention": defineSetting(
        new DurationKind("1s", "30d"),
        "1h",
        "How long a finished job, its key and its result are kept, and the key of an unrepeatable live request.",
    ),
    "live.slot_grant": defineSetting(
        new DurationKind("500ms", "10m"),
        "10s",
        "How long a gateway may use granted slots after its last renewal; must cover a change of owner.",
    ),
    "live.wait_limit": defineSetting(
        new DurationKind("0ms", "1m"),
        "200ms",
        "Maximum expected wait for a slot; live requests that would wait longer are refused at once.",
    ),
    "live.retry_share": defineSetting(
        new ShareKind(0, 100),
        "10%",
        "Maximum number of retries of repeatable live requests, as a share of first sends.",
    ),
    "objective.waiting": defineSetting(
        new DurationKind("1ms", "24h"),
        "250ms",
        "Requests that wait longer than this count against the objective.",
    ),
    "objective.share": defineSetting(
        new ShareKind(1, 99.999),
        "99%",
        "Share of requests that must be answered completely and in time.",
    ),
} as const;

/** A key of {@link treeSchema}, as it is written in the INI text. */
export type TreeKey = keyof typeof treeSchema;

/** Keys of a team's section: limits on the resources that the team holds at a time. */
export const teamSchema = {
    "quota.processors": defineSetting(
        new CountKind(0, 1_000_000),
        undefined,
        "Maximum number of processors that a team holds at a time.",
    ),
    "quota.memory": defineSetting(
        new CountKind(0, 1_000_000_000, "MiB"),
        undefined,
        "Maximum memory that a team holds at a time.",
    ),
    "quota.accelerators": defineSetting(
        new CountKind(0, 1_000_000),
        undefined,
        "Maximum number of accelerators that a team holds at a time.",
    ),
    "quota.slots": defineSetting(
        new CountKind(0, 1_000_000),
        undefined,
        "Maximum number of slots that a team holds at a time.",
    ),
} as const;

/** A key of {@link teamSchema}, as it is written in the INI text. */
export type TeamKey = keyof typeof teamSchema;
