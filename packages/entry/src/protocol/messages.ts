/** Messages between the owner and the entry VMs. Both sides send them in batches over one connection. */
import type {
    AdviceAnswer,
    CellConfiguration,
    CellJobState,
    EndedRun,
    HallClosures,
    JobDefinition,
    OrderRefusal,
    PollResult,
    WorkerCommand,
} from "@pebbledale/cell";
import type {
    ClockEcho,
    DataHallName,
    Epoch,
    FencingToken,
    JobId,
    OrganisationName,
    QueueName,
    RunNumber,
    TaskAddress,
    WorkerId,
    WorkerIncarnation,
} from "@pebbledale/core";
import type { Milliseconds } from "@pebbledale/core";
import type { OperatorsCopy } from "../configuration/index.js";
import type { StoreOperation } from "../store-relay/index.js";

/** First message of an owner on a connection. */
export interface WelcomeMessage {
    readonly kind: "welcome";
    readonly epoch: Epoch;
    readonly owner: string;
    /** Time on the owner's monotonic clock; omitted by earlier versions. */
    readonly sentAt?: Milliseconds;
}

/** Assigns the link to a worker to the VM. */
export interface AssignMessage {
    readonly kind: "assign";
    readonly worker: WorkerId;
    readonly address: string;
    /** Data hall of the worker; omitted while its entry is unknown. */
    readonly dataHall?: DataHallName;
    /** The incarnation that the link is for; if omitted, the first one that answers. */
    readonly life?: WorkerIncarnation;
    /** Initial fencing token of the link's orders. The link raises it by small steps to resolve unanswered orders. */
    readonly token: FencingToken;
    /** Whether the worker is draining. */
    readonly isLeaving: boolean;
    /** How long orders to an earlier incarnation may still be carried out; omitted when none may. */
    readonly doubtfulFor?: Milliseconds;
    /** Delay of the first poll, after repeated restarts of the worker; omitted when there is none. */
    readonly pause?: Milliseconds;
}

/** The worker has begun to drain: its leases are shortened. */
export interface WorkerDrainingMessage {
    readonly kind: "worker-leaves";
    readonly worker: WorkerId;
}

/** Removes the link to a worker from the VM. */
export interface UnassignMessage {
    readonly kind: "unassign";
    readonly worker: WorkerId;
}

/** An order that the VM forwards to a worker. */
export interface CommandMessage {
    readonly kind: "command";
    readonly command: WorkerCommand;
}

/** Ended runs up to number `through` are committed, and the worker may forget them. */
export interface AcknowledgeMessage {
    readonly kind: "acknowledge";
    readonly worker: WorkerId;
    readonly through: number;
}

/** A request to be sent to the advice service. */
export interface AdviceQuestionMessage {
    readonly kind: "ask";
    readonly question: number;
    readonly step: string;
    readonly workers: readonly WorkerId[];
    /** Expected duration of the call at the service. */
    readonly duration: Milliseconds;
}

/** Reply to a caller's request. */
export interface ReplyMessage {
    readonly kind: "reply";
    readonly request: number;
    readonly reply: OwnerReply;
}

/** Announces the version of the sender's configuration. */
export interface ConfigurationVersionMessage {
    readonly kind: "configuration-version";
    readonly version: number;
}

/** Requests the receiver's configuration. */
export interface ConfigurationRequestMessage {
    readonly kind: "want-configuration";
}

/** The newest configuration known to the sender. */
export interface ConfigurationMessage {
    readonly kind: "configuration";
    readonly configuration: CellConfiguration;
}

/** The data halls that are closed to new runs, as the sender knows them. */
export interface HallClosuresMessage {
    readonly kind: "closed-halls";
    readonly closures: HallClosures;
}

/** Asks for the receiver's copy of the operators' keys. */
export interface CopyQuestionMessage {
    readonly kind: "copy-question";
    readonly question: number;
    /** Revision of the store up to which the sender's copy is complete; omitted by earlier versions. */
    readonly since?: string;
}

/** The sender's copy of the operators' keys without their content; omitted when it has none. */
export interface CopyAnswerMessage {
    readonly kind: "copy-answer";
    readonly question: number;
    readonly copy?: OperatorsCopy;
}

/** Asks the VM to call the store for the owner, which cannot reach it. */
export interface StoreCallMessage {
    readonly kind: "store-call";
    readonly call: number;
    readonly operation: StoreOperation;
}

/** Asks the VM to take over the cell at once. */
export interface HandOverMessage {
    readonly kind: "hand-over";
}

/** Allows leases again at a worker that answered after a silence. */
export interface ResumeMessage {
    readonly kind: "resume";
    readonly worker: WorkerId;
}

/** Shows that the owner is alive, and whether VMs may grant leases on its behalf. */
export interface OwnerHeartbeatMessage {
    readonly kind: "beat";
    /** Whether leases may be granted: the store has recently confirmed that the sender owns the cell. */
    readonly mayLease: boolean;
    /** Time on the owner's monotonic clock; omitted by earlier versions. */
    readonly sentAt?: Milliseconds;
    /** The receiver's last heartbeat, by which it relates its clock to the owner's; omitted when there was none since the last echo. */
    readonly echo?: ClockEcho;
}

/** Shows that a VM is alive when it has nothing else to send. */
export interface HeartbeatMessage {
    readonly kind: "beat";
    /** Time on the VM's monotonic clock, which the owner echoes; omitted by earlier versions. */
    readonly sentAt?: Milliseconds;
}

/** Any message from an owner to a VM. */
export type OwnerMessage =
    | WelcomeMessage
    | AssignMessage
    | UnassignMessage
    | WorkerDrainingMessage
    | CommandMessage
    | AcknowledgeMessage
    | AdviceQuestionMessage
    | ReplyMessage
    | ConfigurationVersionMessage
    | ConfigurationRequestMessage
    | ConfigurationMessage
    | HallClosuresMessage
    | CopyAnswerMessage
    | StoreCallMessage
    | HandOverMessage
    | ResumeMessage
    | OwnerHeartbeatMessage;

/**
 * First message of a VM on a connection: when it last heard an owner. Candidates dial all VMs before they claim the
 * cell.
 */
export interface OwnerHeardMessage {
    readonly kind: "owner-heard";
    /** The highest epoch of any owner that has connected to the VM; 0 when none has. */
    readonly epoch: number;
    /** Time since an owner was last heard. */
    readonly silence: Milliseconds;
}

/** Full result of polling a worker. */
export interface PollResultMessage {
    readonly kind: "looked";
    readonly worker: WorkerId;
    readonly look: PollResult;
    /** Time since the poll was sent. */
    readonly age: Milliseconds;
}

/** Ended runs of a worker that were not reported on this link before. */
export interface EndedRunsMessage {
    readonly kind: "ends";
    readonly worker: WorkerId;
    readonly ended: readonly EndedRun[];
}

/** Result of a start order. */
export interface StartResultMessage {
    readonly kind: "started";
    readonly worker: WorkerId;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** Omitted when the worker has accepted the start; "not-delivered" when it has not arrived and never will. */
    readonly refusal?: OrderRefusal | "not-delivered";
}

/** The worker has stopped answering. */
export interface WorkerSilentMessage {
    readonly kind: "silent";
    readonly worker: WorkerId;
    /** Time until all leases granted on this link have expired. */
    readonly lapsesIn: Milliseconds;
    readonly cause: string;
    /** Time since the worker's last answer on this link; omitted when there was none. */
    readonly heardAgo?: Milliseconds;
}

/** Another incarnation of the worker has answered, and the link is closed. */
export interface WorkerRestartedMessage {
    readonly kind: "restarted";
    readonly worker: WorkerId;
    /** Omitted where workers do not report their incarnation. */
    readonly life?: WorkerIncarnation;
    /** How long orders sent on the closed link may still be carried out; to be passed to the next link. */
    readonly doubtfulFor?: Milliseconds;
}

/** A worker with another id answers at the address. */
export interface WrongWorkerMessage {
    readonly kind: "other-life";
    readonly worker: WorkerId;
}

/** The worker has seen a higher fencing token than this owner's. */
export interface WorkerFencedMessage {
    readonly kind: "fenced";
    readonly worker: WorkerId;
}

/** Answer of the advice service; without `answer` when there was none. */
export interface AdviceAnswerMessage {
    readonly kind: "advised";
    readonly question: number;
    readonly answer?: AdviceAnswer;
    /** Reason for the missing answer. */
    readonly cause?: string;
}

/** Answer to a store call; `isAnswered` is false when the call failed. */
export interface StoreAnswerMessage {
    readonly kind: "store-answer";
    readonly call: number;
    readonly isAnswered: boolean;
    readonly answer?: unknown;
    /** Reason for the failure. */
    readonly cause?: string;
}

/** The VM is about to stop, and its links and questions should be reassigned. */
export interface VmLeavingMessage {
    readonly kind: "leaving";
}

/** A caller's request to the owner. */
export interface RequestMessage {
    readonly kind: "request";
    readonly request: number;
    readonly body: OwnerRequest;
}

/** Any report of a worker link. */
export type WorkerReport =
    | PollResultMessage
    | EndedRunsMessage
    | StartResultMessage
    | WorkerSilentMessage
    | WorkerRestartedMessage
    | WrongWorkerMessage
    | WorkerFencedMessage;

/**
 * A report together with the initial token of the link's assignment, so that reports of replaced links can be ignored.
 */
export type WorkerMessage = WorkerReport & { readonly assignment: FencingToken; };

/** Any message from a VM to an owner. */
export type VmMessage =
    | WorkerMessage
    | AdviceAnswerMessage
    | RequestMessage
    | StoreAnswerMessage
    | VmLeavingMessage
    | ConfigurationVersionMessage
    | ConfigurationRequestMessage
    | ConfigurationMessage
    | HallClosuresMessage
    | CopyQuestionMessage
    | OwnerHeardMessage
    | HeartbeatMessage;

/** A caller's request as a front end forwards it to the owner. */
export type OwnerRequest =
    | { readonly kind: "submit"; readonly definition: JobDefinition; }
    | { readonly kind: "state"; readonly job: JobId; readonly organisation?: OrganisationName | undefined; }
    | { readonly kind: "cancel"; readonly job: JobId; readonly organisation?: OrganisationName | undefined; }
    | { readonly kind: "pending"; readonly queue: QueueName; };

/** Why the owner cannot serve a request yet. */
export enum RetryLaterReason {
    /** The store has not confirmed the journal's last write for too long. */
    JournalStalled = "journal-stalled",
    /** The front end has a newer configuration than the owner. */
    QueueUnknown = "queue-unknown",
    /** All workers that could run the job are in data halls that operators have closed. */
    DataHallsClosed = "data-halls-closed",
    /** The job was submitted, and its record is not committed yet. */
    NotCommittedYet = "not-kept-yet",
    /** The owner does not know the job, and the store has not recently confirmed its ownership. */
    OwnerUnconfirmed = "owner-unconfirmed",
}

/** Reply of the owner to a request of a front end. */
export type OwnerReply =
    | { readonly kind: "accepted"; }
    | { readonly kind: "cancelled"; }
    | { readonly kind: "state"; readonly state: CellJobState; }
    | { readonly kind: "pending"; readonly count: number; }
    | { readonly kind: "unknown-job"; }
    /** Another organisation has a job with this id. */
    | { readonly kind: "id-taken"; }
    /** A step of the job exceeds the organisation's limit; the job was not accepted. */
    | { readonly kind: "beyond-limit"; }
    /** Nothing was done; the request may be repeated after a delay. */
    | { readonly kind: "not-now"; readonly retryAfter: Milliseconds; readonly reason: RetryLaterReason; }
    /** Nothing was done: the cell is being handed over, and the next owner should be asked. */
    | { readonly kind: "handing-over"; }
    /** It is not known whether the request was carried out. */
    | { readonly kind: "uncertain"; };
