/** Contents of the settings files of a test cell. */

/** A settings tree with leases, heartbeats and timeouts short enough for runs of seconds. */
export const shortTimeoutSettings = `[organisation]
lease.duration = 2s
lease.margin = 300ms
lease.start_within = 2s
owner.horizon = 4s
worker.heartbeat = 300ms
worker.silent_after = 1s
placement.gang_patience = 500ms
live.slot_grant = 4s
retry.delay = 100ms

[site luzon/pasig]
placement.preference = spread

[site quebec/retrouve]
placement.preference = pack
placement.headroom = 0%
`;

/**
 * Location of a cell and addresses of its processes. `platform` is the address of the platform itself, without a relay.
 */
export interface CellTopology {
    readonly region: string;
    readonly site: string;
    readonly platform: string;
    readonly schedulers: readonly string[];
    readonly shards: number;
}

const renderCommonSections = (topology: CellTopology, name: string, platform: string): string =>
    `[process]
name = ${name}
region = ${topology.region}
site = ${topology.site}
data_hall = hall-0
log_level = info
stop_within = 10s
[peers]
schedulers = ${topology.schedulers.join(", ")}
[cell]
shards = ${topology.shards}
[platform]
address = ${platform}
timeout = 500ms
`;

/** Renders a gateway's settings file. `callers` and `administration` are the addresses it listens on. */
export const renderGatewaySettings = (
    topology: CellTopology,
    name: string,
    callers: string,
    administration: string,
): string =>
    `${renderCommonSections(topology, name, topology.platform)}[listen]
callers = ${callers}
administration = ${administration}
drain = 300ms
`;

/**
 * Renders a scheduler's settings file. `platform` is the address of its relay to the platform, `lease` the duration of its
 * lease on a shard.
 */
export const renderSchedulerSettings = (
    topology: CellTopology,
    name: string,
    peers: string,
    platform: string,
    lease: string,
): string =>
    `${renderCommonSections(topology, name, platform)}vm_list = ${platform}
list_interval = 200ms
[listen]
peers = ${peers}
[owner]
lease = ${lease}
commit_interval = 5ms
[worker]
timeout = 500ms
`;

/** Renders the settings file of the operator's command line. */
export const renderOperatorSettings = (topology: CellTopology, gateways: readonly string[]): string =>
    `[platform]
address = ${topology.platform}
timeout = 500ms
[peers]
schedulers = ${topology.schedulers.join(", ")}
gateways = ${gateways.join(", ")}
[cell]
shards = ${topology.shards}
`;
