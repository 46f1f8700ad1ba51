/** The one schema of the programs' files, with the default and a comment at each key. */
import {
    AddressKind,
    AddressListKind,
    ChoiceKind,
    CountKind,
    defineSetting,
    DurationKind,
    NameKind,
    type SettingDefinition,
} from "@pebbledale/core";

const logLevels = new ChoiceKind(["debug", "info", "warn", "error", "fatal"]);

/** Keys that every program reads. */
export const commonSchema = {
    "process.name": defineSetting(
        new NameKind(false),
        undefined,
        "Names this process; no other running one has the name.",
    ),
    "process.region": defineSetting(
        new NameKind(false),
        undefined,
        "The region of the settings tree that governs this process.",
    ),
    "process.site": defineSetting(
        new NameKind(false),
        undefined,
        "The site of the settings tree that governs this process.",
    ),
    "process.data_hall": defineSetting(new NameKind(false), undefined, "The data hall that this VM stands in."),
    "process.log_level": defineSetting(logLevels, "info", "The least severe events that are logged."),
    "process.stop_within": defineSetting(
        new DurationKind("1s", "1h"),
        "20s",
        "The process leaves within this time after SIGTERM.",
    ),
    "platform.address": defineSetting(new AddressKind(), undefined, "The platform's key-value service."),
    "platform.timeout": defineSetting(
        new DurationKind("50ms", "1m"),
        "1s",
        "A call without an answer by then has failed.",
    ),
    "peers.schedulers": defineSetting(new AddressListKind(), undefined, "All schedulers of the cell."),
    "cell.shards": defineSetting(
        new CountKind(1, 4096),
        "1",
        "Number of shards; the same in every process of the cell.",
    ),
} as const;

/** Keys of a gateway's file. */
export const gatewaySchema = {
    ...commonSchema,
    "listen.callers": defineSetting(new AddressKind(), undefined, "Where callers are served."),
    "listen.administration": defineSetting(
        new AddressKind(),
        undefined,
        "Health, readiness, metrics and the burn report.",
    ),
    "listen.body_limit": defineSetting(new CountKind(1, 16_777_216, "bytes"), "262144", "Largest body of a request."),
    "listen.drain": defineSetting(
        new DurationKind("0ms", "5m"),
        "500ms",
        "Time between saying not ready and refusing new requests, so that the balancer notices.",
    ),
} as const;

/** Keys of a scheduler's file. */
export const schedulerSchema = {
    ...commonSchema,
    "listen.peers": defineSetting(
        new AddressKind(),
        undefined,
        "Where gateways, peers and operators reach this scheduler.",
    ),
    "platform.vm_list": defineSetting(new AddressKind(), undefined, "The platform's list of VMs."),
    "platform.list_interval": defineSetting(
        new DurationKind("50ms", "10m"),
        "2s",
        "Time between two readings of the list of VMs.",
    ),
    "owner.lease": defineSetting(
        new DurationKind("500ms", "10m"),
        "3s",
        "The platform's lease on a shard; how long a dead owner is not replaced.",
    ),
    "owner.commit_interval": defineSetting(
        new DurationKind("0ms", "10s"),
        "20ms",
        "Least time between two writes of a shard's journal; bounds the writes of the cell.",
    ),
    "worker.timeout": defineSetting(
        new DurationKind("50ms", "1m"),
        "1s",
        "A message to a worker without an answer by then is sent again.",
    ),
} as const;

/** Keys of the command line's file. */
export const operatorSchema = {
    "platform.address": commonSchema["platform.address"],
    "platform.timeout": commonSchema["platform.timeout"],
    "peers.schedulers": commonSchema["peers.schedulers"],
    "peers.gateways": defineSetting(
        new AddressListKind(),
        "",
        "Administration addresses of all gateways, for the burn report.",
    ),
    "cell.shards": commonSchema["cell.shards"],
} as const;

/** A schema of a file: definitions by section and key. */
export type ProgramSchema = Readonly<Record<string, SettingDefinition<unknown>>>;

/** The values that a schema reads. */
export type ProgramValues<Schema extends ProgramSchema> = {
    readonly [Key in keyof Schema]: Schema[Key] extends SettingDefinition<infer Value> ? Value : never;
};
