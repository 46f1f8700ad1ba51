/** The catalogue of numbered log events. `docs/EVENTS.md` lists them all. */

/** Severity of an event, as pino names it. */
export type EventLevel = "debug" | "info" | "warn" | "error" | "fatal";

/** One kind of log event. */
export interface LogEvent {
    readonly number: number;
    readonly level: EventLevel;
    readonly message: string;
    /** What an operator does about it. */
    readonly action: string;
}

const define = (number: number, level: EventLevel, message: string, action: string): LogEvent => ({
    number,
    level,
    message,
    action,
});
const nothing = "Nothing.";

/** All events. Numbers are never used twice: 1xxx every program, 2xxx gateway, 3xxx scheduler. */
export const logEvents = {
    processStarted: define(1001, "info", "process started", nothing),
    processStopping: define(1002, "info", "process stopping", nothing),
    processStopped: define(1003, "info", "process stopped", nothing),
    processFailed: define(1004, "fatal", "process failed", "Read the error; the process does not go on."),
    settingsApplied: define(1101, "info", "settings revision applied", nothing),
    settingsRefused: define(
        1102,
        "error",
        "settings revision cannot be read; the former stays in force",
        "Accept a corrected tree.",
    ),
    settingsFromPeer: define(1103, "info", "settings revision learnt from a peer", nothing),
    settingsUnavailable: define(
        1104,
        "warn",
        "settings could not be read from the platform",
        "Look at the platform's service.",
    ),
    platformUnavailable: define(
        1201,
        "warn",
        "the platform's service does not answer",
        "Look at the platform's service.",
    ),
    platformAnswers: define(1202, "info", "the platform's service answers again", nothing),
    requestFailed: define(2001, "warn", "a live request failed", "Look at the worker it names."),
    requestRetried: define(2002, "debug", "a live request was sent again", nothing),
    requestRefused: define(2003, "debug", "a request was refused", nothing),
    unexpectedFailure: define(2004, "error", "a request met an unexpected failure", "Report it."),
    ownerChanged: define(2101, "info", "the owner of a shard changed", nothing),
    shardClaimed: define(3001, "info", "a shard was claimed", nothing),
    shardReleased: define(3002, "info", "a shard was handed over", nothing),
    shardFenced: define(
        3003,
        "warn",
        "another owner has taken the shard",
        "Nothing, unless it happens often: then look for pauses of this VM.",
    ),
    claimFailed: define(3004, "warn", "a shard could not be claimed", "Look at the platform's service."),
    workerClaimed: define(3101, "info", "a worker accepted this owner", nothing),
    workerUnreachable: define(3102, "warn", "a worker does not answer", "Look at the VM if it lasts."),
    workerRefused: define(3103, "warn", "a worker refused a message", nothing),
    workerListUnavailable: define(3104, "warn", "the list of VMs could not be read", "Look at the platform."),
    journalStalled: define(
        3201,
        "warn",
        "the journal takes no records",
        "Look at the platform's service; nothing new is accepted meanwhile.",
    ),
    journalDamaged: define(
        3202,
        "fatal",
        "the journal's keys do not fit together",
        "Keep the keys and report it; the shard is not served.",
    ),
} as const;
