/** Session of an entry VM with the owner. */
import type { AdviceClient, CellConfiguration, HallClosures, TaskWorkerClients } from "@pebbledale/cell";
import {
    type ChangeFeed,
    type DataHallName,
    logEvents,
    type Milliseconds,
    type PlatformStore,
    RemoteClock,
    type SuspensionAwareClock,
} from "@pebbledale/core";
import { createAbortController, type EventLogger } from "@pebbledale/runtime";
import { configurationFetchDelay, type OperatorsCopy } from "../configuration/index.js";
import type {
    AdviceQuestionMessage,
    AssignMessage,
    Channel,
    OwnerHeartbeatMessage,
    OwnerMessage,
    OwnerReply,
    OwnerRequest,
    VmMessage,
    WelcomeMessage,
} from "../protocol/index.js";
import { performOperation, type StoreOperation } from "../store-relay/index.js";
import { WorkerLinks } from "./worker-links.js";

/** Added to the expected duration of an advice request to give its timeout, in milliseconds. */
const adviceTimeoutSlack: Milliseconds = 1_500;
/** Maximum time between two heartbeats or worker reports to the owner, in milliseconds. */
const heartbeatInterval: Milliseconds = 250;

/**
 * An owner that was not heard for this long is considered lost and its connection is closed, so that callers are told
 * at once instead of at their deadline. Six heartbeats; in milliseconds.
 */
const ownerSilenceTimeout: Milliseconds = 1_500;

/** Maximum time between two heartbeats that the owner echoes, in milliseconds: often enough to follow the drift of two clocks. */
const echoInterval: Milliseconds = 1_000;

/** Maximum reported silence of the owner, also when none was ever heard, in milliseconds. */
const maxReportedSilence: Milliseconds = 60_000;

/** Dependencies and callbacks of a VM's session. */
export interface VmSessionOptions {
    readonly clients: TaskWorkerClients;
    readonly advice: AdviceClient | undefined;
    readonly clock: SuspensionAwareClock;
    readonly logger: EventLogger;
    readonly leaseLength: Milliseconds;
    /** The store as reached directly by this VM. */
    readonly store: PlatformStore & ChangeFeed;
    /** Called when the owner asks this VM to take over. */
    readonly onHandOver: () => void;
    /** The newest configuration known to this VM; undefined while there is none. */
    readonly configuration: () => CellConfiguration | undefined;
    readonly onConfiguration: (configuration: CellConfiguration) => void;
    /** The closed data halls as this VM knows them. */
    readonly closures: () => HallClosures;
    /** Called with the owner's closed data halls; returns this VM's if they are newer and differ. */
    readonly onClosures: (closures: HallClosures) => HallClosures | undefined;
    /** Called with each worker link that the owner assigns to this VM. */
    readonly onAssign?: (assignment: AssignMessage) => void;
    readonly isHallClosed: (hall: DataHallName) => boolean;
    /** Called when an owner connects or is lost. */
    readonly onOwnerChange: (hasOwner: boolean) => void;
}

interface PendingCopy {
    readonly question: number;
    readonly resolve: (copy: OperatorsCopy | undefined) => void;
}

interface PendingRequest {
    readonly resolve: (reply: OwnerReply | undefined) => void;
}

/**
 * Serves the current owner at this VM: holds worker links, asks the advice service, makes store calls for the owner and
 * passes on callers' requests.
 */
export class VmSession {
    readonly #links: WorkerLinks;
    readonly #pendingRequests = new Map<number, PendingRequest>();
    /** The last question for the owner's copy, until it is answered. */
    #pendingCopy: PendingCopy | undefined;
    #channel: Channel<VmMessage, OwnerMessage> | undefined;
    #epoch = 0;
    #nextRequest = 1;
    #lastHeardAt = -Infinity;
    /** When the owner was last sent a heartbeat or a worker's message, which serves as one. */
    #lastSentAt = -Infinity;
    #lastBeatAt = -Infinity;
    #ownerClock: RemoteClock;
    #isLeaving = false;

    constructor(private readonly options: VmSessionOptions) {
        this.#ownerClock = new RemoteClock(options.clock);
        this.#links = new WorkerLinks({
            clients: options.clients,
            clock: options.clock,
            logger: options.logger,
            leaseLength: options.leaseLength,
            isHallClosed: options.isHallClosed,
            send: message => this.#send(message),
        });
    }

    /** The highest epoch of any owner that has connected; 0 when none has. */
    get epoch(): number {
        return this.#epoch;
    }

    get hasOwner(): boolean {
        return this.#channel !== undefined;
    }

    /** Time since the owner's last message; infinite when none was heard. */
    get ownerSilence(): Milliseconds {
        return this.options.clock.monotonic() - this.#lastHeardAt;
    }

    /** Adds a connection from a potential owner; the owner with the highest epoch prevails. */
    attach(channel: Channel<VmMessage, OwnerMessage>): void {
        const attachedAt = this.options.clock.monotonic();
        channel.onMessage = message => {
            if (message.kind === "welcome") {
                this.#acceptOwner(channel, message, attachedAt);
            }
            else if (channel === this.#channel) {
                this.#handle(message);
            }
        };
        channel.onClose = () => this.#dropOwner(channel);
        const silence = Math.min(this.ownerSilence, maxReportedSilence);
        channel.send({ kind: "owner-heard", epoch: this.#epoch, silence });
    }

    /** Sends a request to the owner; resolves to undefined when the connection ends before the reply. */
    ask(body: OwnerRequest): Promise<OwnerReply | undefined> {
        const channel = this.#channel;
        if (channel === undefined) {
            return Promise.resolve(undefined);
        }
        const request = this.#nextRequest++;
        return new Promise(resolve => {
            this.#pendingRequests.set(request, { resolve });
            channel.send({ kind: "request", request, body });
        });
    }

    /**
     * Asks the owner for its copy of the operators' keys; resolves to undefined when it has none or the connection ends. `since`: revision
     * up to which this VM's copy is complete.
     */
    askCopy(since: string): Promise<OperatorsCopy | undefined> {
        const channel = this.#channel;
        if (channel === undefined) {
            return Promise.resolve(undefined);
        }
        const question = this.#nextRequest++;
        return new Promise(resolve => {
            this.#pendingCopy?.resolve(undefined);
            this.#pendingCopy = { question, resolve };
            channel.send({ kind: "copy-question", question, since });
        });
    }

    announceConfiguration(version: number): void {
        this.#channel?.send({ kind: "configuration-version", version });
    }

    /** Tells the owner which data halls are closed. */
    announceClosures(closures: HallClosures): void {
        this.#channel?.send({ kind: "closed-halls", closures });
    }

    /** Announces to this owner and its successors that this VM is about to stop. */
    announceLeaving(): void {
        this.#isLeaving = true;
        this.#channel?.send({ kind: "leaving" });
    }

    /** Sends heartbeats and monitors the owner until `signal` fires. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            const sleptAt = clock.monotonic();
            const uninterruptedSince = clock.uninterruptedSince();
            await clock.sleep(heartbeatInterval, signal);
            if (clock.uninterruptedSince() !== uninterruptedSince) {
                this.options.logger.log(logEvents.wallClockJumped, { epoch: this.#epoch });
            }
            if (this.#isHeartbeatDue) {
                this.#sendHeartbeat();
            }
            // After a pause of this process, the owner's heartbeats may still be waiting to be read.
            if (clock.monotonic() - sleptAt < 2 * heartbeatInterval) {
                this.#dropSilentOwner();
            }
        }
        this.#links.closeAll();
    }

    /** Heartbeats are also sent beside other messages, as only they are echoed. */
    get #isHeartbeatDue(): boolean {
        const now = this.options.clock.monotonic();
        return now - this.#lastSentAt >= heartbeatInterval
            || now - this.#lastBeatAt >= echoInterval
            || !this.#ownerClock.isKnown;
    }

    #sendHeartbeat(): void {
        this.#lastBeatAt = this.options.clock.monotonic();
        this.#send({ kind: "beat", sentAt: Math.floor(this.#lastBeatAt) });
    }

    #dropSilentOwner(): void {
        const channel = this.#channel;
        if (channel !== undefined && this.ownerSilence > ownerSilenceTimeout) {
            this.#dropOwner(channel);
            channel.close();
        }
    }

    /** `attachedAt`: when the connection was opened. The owner's messages on it were sent later, however late they are read. */
    #acceptOwner(
        channel: Channel<VmMessage, OwnerMessage>,
        { epoch, sentAt }: WelcomeMessage,
        attachedAt: Milliseconds,
    ): void {
        if (epoch < this.#epoch) {
            channel.close();
            return;
        }
        const former = this.#channel;
        this.#epoch = epoch;
        this.#channel = channel;
        this.#recordHeard();
        this.#ownerClock = new RemoteClock(this.options.clock);
        if (sentAt !== undefined) {
            this.#ownerClock.addEcho({ sentAt: attachedAt, receivedAt: sentAt });
        }
        // An owner that connects assigns all links anew, even if it is the same one; workers would refuse the former
        // links.
        this.#links.acceptOwner(attachedAt);
        this.#sendHeartbeat();
        if (former !== undefined && former !== channel) {
            former.close();
        }
        this.#dropRequests();
        if (this.#isLeaving) {
            channel.send({ kind: "leaving" });
        }
        const closures = this.options.closures();
        if (closures.halls.length > 0) {
            this.announceClosures(closures);
        }
        this.options.onOwnerChange(true);
    }

    #handle(message: OwnerMessage): void {
        this.#recordHeard();
        switch (message.kind) {
            case "assign":
                this.options.onAssign?.(message);
                this.#links.assign(message);
                break;
            case "unassign":
                this.#links.unassign(message.worker);
                break;
            case "command":
                this.#links.forwardOrder(message);
                break;
            case "worker-leaves":
                this.#links.noteDraining(message.worker);
                break;
            case "resume":
                this.#links.resume(message.worker);
                break;
            case "acknowledge":
                this.#links.acknowledge(message.worker, message.through);
                break;
            case "ask":
                void this.#askAdviceService(message);
                break;
            case "reply":
                this.#pendingRequests.get(message.request)?.resolve(message.reply);
                this.#pendingRequests.delete(message.request);
                break;
            case "configuration":
                this.options.onConfiguration(message.configuration);
                break;
            case "configuration-version":
                void this.#requestNewerConfiguration(message.version);
                break;
            case "want-configuration":
                this.#sendConfiguration();
                break;
            case "closed-halls":
                this.#handleClosures(message.closures);
                break;
            case "copy-answer":
                if (message.question === this.#pendingCopy?.question) {
                    this.#pendingCopy.resolve(message.copy);
                }
                break;
            case "store-call":
                void this.#callStore(message.call, message.operation);
                break;
            case "hand-over":
                this.options.onHandOver();
                break;
            case "beat":
                this.#handleHeartbeat(message);
                break;
            case "welcome":
                break;
        }
    }

    #send(message: VmMessage): void {
        this.#lastSentAt = this.options.clock.monotonic();
        this.#channel?.send(message);
    }

    /** Dates the owner's heartbeat by when it was sent: it may have waited in the connection while this process was stopped. */
    #handleHeartbeat({ mayLease, sentAt, echo }: OwnerHeartbeatMessage): void {
        if (echo !== undefined) {
            this.#ownerClock.addEcho(echo);
        }
        const heardAt = sentAt === undefined
            ? this.options.clock.monotonic()
            : this.#ownerClock.earliestTimeOf(sentAt);
        if (heardAt !== undefined) {
            this.#links.recordOwnerHeard(heardAt, mayLease);
        }
    }

    #recordHeard(): void {
        this.#lastHeardAt = this.options.clock.monotonic();
    }

    /** Requests the owner's newer configuration unless the store delivers it within the grace period. */
    async #requestNewerConfiguration(version: number): Promise<void> {
        await this.options.clock.sleep(configurationFetchDelay);
        if (version > (this.options.configuration()?.version ?? 0)) {
            this.#channel?.send({ kind: "want-configuration" });
        }
    }

    #handleClosures(closures: HallClosures): void {
        const newer = this.options.onClosures(closures);
        if (newer !== undefined) {
            this.announceClosures(newer);
        }
    }

    #sendConfiguration(): void {
        const configuration = this.options.configuration();
        if (configuration !== undefined) {
            this.#channel?.send({ kind: "configuration", configuration });
        }
    }

    async #callStore(call: number, operation: StoreOperation): Promise<void> {
        const channel = this.#channel;
        try {
            const answer = await performOperation(this.options.store, operation, createAbortController().signal);
            channel?.send({ kind: "store-answer", call, isAnswered: true, answer });
        }
        catch (cause) {
            channel?.send({ kind: "store-answer", call, isAnswered: false, cause: String(cause) });
        }
    }

    async #askAdviceService({ question, step, workers, duration }: AdviceQuestionMessage): Promise<void> {
        const channel = this.#channel;
        const { signal } = createAbortController();
        try {
            const answer = await this.options.advice?.ask({ step, workers }, duration + adviceTimeoutSlack, signal);
            channel?.send({ kind: "advised", question, answer });
        }
        catch (cause) {
            channel?.send({ kind: "advised", question, cause: String(cause) });
        }
    }

    #dropOwner(channel: Channel<VmMessage, OwnerMessage>): void {
        if (channel !== this.#channel) {
            return;
        }
        this.#channel = undefined;
        this.#dropRequests();
        this.options.onOwnerChange(false);
    }

    /** Resolves open requests without a reply, as it is not known whether the lost owner has carried them out. */
    #dropRequests(): void {
        const dropped = [...this.#pendingRequests.values()];
        this.#pendingRequests.clear();
        dropped.forEach(request => request.resolve(undefined));
        this.#pendingCopy?.resolve(undefined);
    }
}
