/** Messages between the owner and the entry VMs. Both sides send them in bundles over one connection. */
import type {
    AdviceAnswer,
    CellConfiguration,
    CellJobState,
    EndedRun,
    JobDefinition,
    OrderRefusal,
    PollResult,
    WorkerCommand,
} from "@pebbledale/cell";
import type {
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
import type { StoreOperation } from "../store-relay/index.js";

/** Begins a connection: which owner speaks. */
export interface WelcomeMessage {
    readonly kind: "welcome";
    readonly epoch: Epoch;
    readonly owner: string;
}

/** Gives the VM the link to a worker. */
export interface AssignMessage {
    readonly kind: "assign";
    readonly worker: WorkerId;
    readonly address: string;
    /** The life that the link is for; left out while it is not known, which is then the first that answers. */
    readonly life?: WorkerIncarnation;
    /** Orders of this link carry this token or one a little higher, as it settles what got no answer. */
    readonly token: FencingToken;
    /** Whether the worker has said that it leaves. */
    readonly isLeaving: boolean;
    /** For so long an order to a former life may still be carried out by whoever answers; left out when none may. */
    readonly doubtfulFor?: Milliseconds;
    /** The first look waits for so long: the worker was started again many times of late. Left out when it waits for nothing. */
    readonly pause?: Milliseconds;
}

/** A worker says that it leaves: its leases are short from now on. */
export interface WorkerLeavingMessage {
    readonly kind: "worker-leaves";
    readonly worker: WorkerId;
}

/** Takes the link to a worker away. */
export interface UnassignMessage {
    readonly kind: "unassign";
    readonly worker: WorkerId;
}

/** An order to pass on to a worker. */
export interface CommandMessage {
    readonly kind: "command";
    readonly command: WorkerCommand;
}

/** Ends up to `through` are kept: the worker may forget them. */
export interface AcknowledgeMessage {
    readonly kind: "acknowledge";
    readonly worker: WorkerId;
    readonly through: number;
}

/** A question to put to the advice service. */
export interface AdviceQuestionMessage {
    readonly kind: "ask";
    readonly question: number;
    readonly step: string;
    readonly workers: readonly WorkerId[];
    /** What the call takes at the service. */
    readonly duration: Milliseconds;
}

/** Answer to a caller's request. */
export interface ReplyMessage {
    readonly kind: "reply";
    readonly request: number;
    readonly reply: OwnerReply;
}

/** Tells that there is a configuration of this version. */
export interface ConfigurationVersionMessage {
    readonly kind: "configuration-version";
    readonly version: number;
}

/** Asks for the newest configuration. */
export interface ConfigurationRequestMessage {
    readonly kind: "want-configuration";
}

/** The newest configuration. */
export interface ConfigurationMessage {
    readonly kind: "configuration";
    readonly configuration: CellConfiguration;
}

/** Asks the VM to make a call of the store for the owner, which cannot reach it. */
export interface StoreCallMessage {
    readonly kind: "store-call";
    readonly call: number;
    readonly operation: StoreOperation;
}

/** The owner stops: this VM is to take the cell over at once. */
export interface HandOverMessage {
    readonly kind: "hand-over";
}

/** A worker that was silent answers again, and the owner knows: leases may be given there. */
export interface ResumeMessage {
    readonly kind: "resume";
    readonly worker: WorkerId;
}

/** Says that the owner lives. */
export interface OwnerHeartbeatMessage {
    readonly kind: "beat";
    /** Whether leases may be given in its name: the store confirmed lately that it owns the cell. */
    readonly mayLease: boolean;
}

/** Says that the VM lives. */
export interface HeartbeatMessage {
    readonly kind: "beat";
}

/** What the owner says. */
export type OwnerMessage =
    | WelcomeMessage
    | AssignMessage
    | UnassignMessage
    | WorkerLeavingMessage
    | CommandMessage
    | AcknowledgeMessage
    | AdviceQuestionMessage
    | ReplyMessage
    | ConfigurationVersionMessage
    | ConfigurationRequestMessage
    | ConfigurationMessage
    | StoreCallMessage
    | HandOverMessage
    | ResumeMessage
    | OwnerHeartbeatMessage;

/** First message to whoever dials the VM: what it knows of the owner. Candidates dial all VMs before they claim. */
export interface OwnerHeardMessage {
    readonly kind: "owner-heard";
    /** The highest epoch that spoke to the VM; 0 when none did. */
    readonly epoch: number;
    /** How long ago an owner was heard. */
    readonly silence: Milliseconds;
}

/** A whole look at a worker. */
export interface PollResultMessage {
    readonly kind: "looked";
    readonly worker: WorkerId;
    readonly look: PollResult;
    /** How long ago the look was sent. */
    readonly age: Milliseconds;
}

/** Ends that a worker lists and that were not reported on this link yet. */
export interface EndedRunsMessage {
    readonly kind: "ends";
    readonly worker: WorkerId;
    readonly ended: readonly EndedRun[];
}

/** What became of a start. */
export interface StartResultMessage {
    readonly kind: "started";
    readonly worker: WorkerId;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** Left out when the worker took it; "not-delivered" when it never reached the worker and never will. */
    readonly refusal?: OrderRefusal | "not-delivered";
}

/** A worker does not answer. */
export interface WorkerSilentMessage {
    readonly kind: "silent";
    readonly worker: WorkerId;
    /** Time until every lease given on this link is over. */
    readonly lapsesIn: Milliseconds;
    readonly cause: string;
    /** How long ago this link last had an answer of it; left out when it had none. */
    readonly heardAgo?: Milliseconds;
}

/** The worker was started again under its id: another life of it has answered, and the link has ended. */
export interface WorkerRestartedMessage {
    readonly kind: "restarted";
    readonly worker: WorkerId;
    /** Left out where lives have no names. */
    readonly life?: WorkerIncarnation;
    /** See {@link AssignMessage}; for the next link. */
    readonly doubtfulFor?: Milliseconds;
}

/** A worker of another id answers at its address. */
export interface WrongWorkerMessage {
    readonly kind: "other-life";
    readonly worker: WorkerId;
}

/** A worker has seen a higher fencing token than this owner's. */
export interface WorkerFencedMessage {
    readonly kind: "fenced";
    readonly worker: WorkerId;
}

/** Answer of the advice service; left out when there was none. */
export interface AdviceAnswerMessage {
    readonly kind: "advised";
    readonly question: number;
    readonly answer?: AdviceAnswer;
    /** Why there was none. */
    readonly cause?: string;
}

/** Answer to a call of the store; `isAnswered` is false when the store gave none. */
export interface StoreAnswerMessage {
    readonly kind: "store-answer";
    readonly call: number;
    readonly isAnswered: boolean;
    readonly answer?: unknown;
    /** Why there was none. */
    readonly cause?: string;
}

/** The VM is about to stop: its links and questions go to others. */
export interface VmLeavingMessage {
    readonly kind: "leaving";
}

/** A caller's request. */
export interface RequestMessage {
    readonly kind: "request";
    readonly request: number;
    readonly body: OwnerRequest;
}

/** What a link to a worker reports. */
export type WorkerReport =
    | PollResultMessage
    | EndedRunsMessage
    | StartResultMessage
    | WorkerSilentMessage
    | WorkerRestartedMessage
    | WrongWorkerMessage
    | WorkerFencedMessage;

/** A report, and under which assignment of the link it was made: the token that came with it. */
export type WorkerMessage = WorkerReport & { readonly assignment: FencingToken; };

/** What an entry VM says. */
export type VmMessage =
    | WorkerMessage
    | AdviceAnswerMessage
    | RequestMessage
    | StoreAnswerMessage
    | VmLeavingMessage
    | ConfigurationVersionMessage
    | ConfigurationRequestMessage
    | ConfigurationMessage
    | OwnerHeardMessage
    | HeartbeatMessage;

/** What a front asks of the owner for a caller. */
export type OwnerRequest =
    | { readonly kind: "submit"; readonly definition: JobDefinition; }
    | { readonly kind: "state"; readonly job: JobId; readonly organisation?: OrganisationName | undefined; }
    | { readonly kind: "cancel"; readonly job: JobId; readonly organisation?: OrganisationName | undefined; }
    | { readonly kind: "pending"; readonly queue: QueueName; };

/** Why an owner does nothing for a request now. */
export enum RetryLaterReason {
    /** The store has not confirmed the journal's last write for too long. */
    JournalStalled = "journal-stalled",
    /** The front knows a newer configuration than the owner. */
    QueueUnknown = "queue-unknown",
    /** The job was handed in and its record is on its way. */
    NotCommittedYet = "not-kept-yet",
    /** The owner does not know the job, and the store has not confirmed lately that it owns the cell. */
    OwnerUnconfirmed = "owner-unconfirmed",
}

/** What the owner answers to a front. */
export type OwnerReply =
    | { readonly kind: "accepted"; }
    | { readonly kind: "cancelled"; }
    | { readonly kind: "state"; readonly state: CellJobState; }
    | { readonly kind: "pending"; readonly count: number; }
    | { readonly kind: "unknown-job"; }
    /** Another organisation has a job of this id. */
    | { readonly kind: "id-taken"; }
    /** Its organisation's limit can never hold one of its steps; nothing was taken. */
    | { readonly kind: "beyond-limit"; }
    /** Nothing was done; come back after a while. */
    | { readonly kind: "not-now"; readonly retryAfter: Milliseconds; readonly reason: RetryLaterReason; }
    /** Nothing was done: the cell is handed over, and the next owner is to be asked. */
    | { readonly kind: "handing-over"; }
    /** Whether it was done is not known. */
    | { readonly kind: "uncertain"; };
