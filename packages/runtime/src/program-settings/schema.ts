/** Schemas of the programs' settings files, with the default and the description of each key. */
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

/** Keys of every program except the command line. */
export const commonSchema = {
    "process.name": defineSetting(
        new NameKind(false),
        undefined,
        "Name of this process, unique among the running processes.",
    ),
    "process.region": defineSetting(
        new NameKind(false),
        undefined,
        "Region of the settings tree that applies to this process.",
    ),
    "process.site": defineSetting(
        new NameKind(false),
        undefined,
        "Site of the settings tree that applies to this process.",
    ),
    "process.data_hall": defineSetting(new NameKind(false), undefined, "Data hall of this VM."),
    "process.log_level": defineSetting(logLevels, "info", "Minimum level of the events that are logged."),
    "process.stop_within": defineSetting(
        new DurationKind("1s", "1h"),
        "20s",
        "Maximum time between SIGTERM and the end of the process.",
    ),
    "platform.address": defineSetting(new AddressKind(), undefined, "Address of the platform's key-value service."),
    "platform.timeout": defineSetting(
        new DurationKind("50ms", "1m"),
        "1s",
        "Timeout of a call to the platform.",
    ),
    "peers.schedulers": defineSetting(new AddressListKind(), undefined, "Addresses of all schedulers of the cell."),
    "cell.shards": defineSetting(
        new CountKind(1, 4096),
        "1",
        "Number of shards; the same in every process of the cell.",
    ),
} as const;

/** Keys of a gateway's settings file. */
export const gatewaySchema = {
    ...commonSchema,
    "listen.callers": defineSetting(new AddressKind(), undefined, "Address at which callers are served."),
    "listen.administration": defineSetting(
        new AddressKind(),
        undefined,
        "Address of the paths for health, readiness, metrics and the burn report.",
    ),
    "listen.body_limit": defineSetting(
        new CountKind(1, 16_777_216, "bytes"),
        "262144",
        "Maximum size of a request body.",
    ),
    "listen.drain": defineSetting(
        new DurationKind("0ms", "5m"),
        "500ms",
        "Time between reporting not ready and refusing new requests, so that the load balancer notices.",
    ),
} as const;

/** Keys of a scheduler's settings file. */
export const schedulerSchema = {
    ...commonSchema,
    "listen.peers": defineSetting(
        new AddressKind(),
        undefined,
        "Address at which gateways, peers and operators reach this scheduler.",
    ),
    "platform.vm_list": defineSetting(new AddressKind(), undefined, "Address of the platform's list of VMs."),
    "platform.list_interval": defineSetting(
        new DurationKind("50ms", "10m"),
        "2s",
        "Time between two reads of the list of VMs.",
    ),
    "owner.lease": defineSetting(
        new DurationKind("500ms", "10m"),
        "3s",
        "Duration of the platform's lease on a shard; a dead owner is replaced once it has expired.",
    ),
    "owner.commit_interval": defineSetting(
        new DurationKind("0ms", "10s"),
        "20ms",
        "Minimum time between two writes of a shard's journal; bounds the write rate of the cell.",
    ),
    "worker.timeout": defineSetting(
        new DurationKind("50ms", "1m"),
        "1s",
        "Timeout of a message to a worker, after which it is sent again.",
    ),
} as const;

/** Keys of the command line's settings file. */
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

/** Definitions of the keys of a settings file, by `section.key`. */
export type ProgramSchema = Readonly<Record<string, SettingDefinition<unknown>>>;

/** The parsed values of a settings file, by `section.key`. */
export type ProgramValues<Schema extends ProgramSchema> = {
    readonly [Key in keyof Schema]: Schema[Key] extends SettingDefinition<infer Value> ? Value : never;
};
