/** What this VM does for the owner: links to workers, questions to the advice service, replies to callers. */
import type { AdviceClient, CellConfiguration, TaskWorkerClients } from "@pebbledale/cell";
import {
    type ChangeFeed,
    type Epoch,
    logEvents,
    type Milliseconds,
    type PlatformStore,
    type SuspensionAwareClock,
} from "@pebbledale/core";
import { createAbortController, type EventLogger } from "@pebbledale/runtime";
import { configurationFetchDelay } from "../configuration/index.js";
import type {
    AdviceQuestionMessage,
    Channel,
    OwnerMessage,
    OwnerReply,
    OwnerRequest,
    VmMessage,
} from "../protocol/index.js";
import { performOperation, type StoreOperation } from "../store-relay/index.js";
import { WorkerLinks } from "./links.js";

/** Added to what a question takes at the service before it has failed, in milliseconds. */
const adviceTimeoutSlack: Milliseconds = 1_500;
/** Time between two beats to the owner when nothing else is sent, in milliseconds. */
const heartbeatInterval: Milliseconds = 250;

/**
 * An owner that was not heard for this long is taken for lost, and its connection is ended: six beats. Callers are then told that
 * there is no owner; over a connection that fell silent they heard nothing until their deadline.
 */
const ownerSilenceTimeout: Milliseconds = 1_500;

/** A longer silence of the owner, also one since ever, is told as this, in milliseconds. */
const maxReportedSilence: Milliseconds = 60_000;

/** What a session needs. */
export interface VmSessionOptions {
    readonly clients: TaskWorkerClients;
    readonly advice: AdviceClient | undefined;
    readonly clock: SuspensionAwareClock;
    readonly logger: EventLogger;
    readonly leaseLength: Milliseconds;
    /** The store as this VM reaches it by itself. */
    readonly store: PlatformStore & ChangeFeed;
    /** The owner stops and asks this VM to take over. */
    readonly onHandOver: () => void;
    /** The newest configuration that this VM knows. */
    readonly configuration: () => CellConfiguration | undefined;
    readonly onConfiguration: (configuration: CellConfiguration) => void;
    /** Told when there is a new owner, or none. */
    readonly onOwnerChange: (hasOwner: boolean) => void;
}

interface PendingRequest {
    readonly resolve: (reply: OwnerReply | undefined) => void;
}

/** See the module's comment. */
export class VmSession {
    readonly #links: WorkerLinks;
    readonly #pendingRequests = new Map<number, PendingRequest>();
    #channel: Channel<VmMessage, OwnerMessage> | undefined;
    #epoch = 0;
    #nextRequest = 1;
    #lastHeardAt = -Infinity;
    /** When the owner was last sent a beat or word of a worker, which says as much. */
    #lastSentAt = -Infinity;
    #isLeaving = false;

    constructor(private readonly options: VmSessionOptions) {
        this.#links = new WorkerLinks({
            clients: options.clients,
            clock: options.clock,
            logger: options.logger,
            leaseLength: options.leaseLength,
            send: message => this.#send(message),
        });
    }

    /** The highest epoch that spoke here. */
    get epoch(): number {
        return this.#epoch;
    }

    /** Whether an owner is connected. */
    get hasOwner(): boolean {
        return this.#channel !== undefined;
    }

    /** How long ago the owner was last heard. */
    get ownerSilence(): Milliseconds {
        return this.options.clock.monotonic() - this.#lastHeardAt;
    }

    /** Takes a connection on which an owner may speak; the one with the highest epoch counts. */
    attach(channel: Channel<VmMessage, OwnerMessage>): void {
        channel.onMessage = message => {
            if (message.kind === "welcome") {
                this.#acceptOwner(channel, message.epoch);
            }
            else if (channel === this.#channel) {
                this.#handle(message);
            }
        };
        channel.onClose = () => this.#dropOwner(channel);
        const silence = Math.min(this.ownerSilence, maxReportedSilence);
        channel.send({ kind: "owner-heard", epoch: this.#epoch, silence });
    }

    /** Asks the owner; resolves to undefined when the connection ends before there is an answer. */
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

    /** Tells the owner that this VM knows a configuration of this version. */
    announceConfiguration(version: number): void {
        this.#channel?.send({ kind: "configuration-version", version });
    }

    /** Tells the owner, and each that follows, that this VM is about to stop. */
    announceLeaving(): void {
        this.#isLeaving = true;
        this.#channel?.send({ kind: "leaving" });
    }

    /** Sends beats until `signal` fires. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            const sleptAt = clock.monotonic();
            const countedSince = clock.uninterruptedSince();
            await clock.sleep(heartbeatInterval, signal);
            if (clock.uninterruptedSince() !== countedSince) {
                this.options.logger.log(logEvents.timeMissed, { epoch: this.#epoch });
            }
            if (clock.monotonic() - this.#lastSentAt >= heartbeatInterval) {
                this.#send({ kind: "beat" });
            }
            // Where this process stood still, the owner's beats may be waiting to be read.
            if (clock.monotonic() - sleptAt < 2 * heartbeatInterval) {
                this.#dropSilentOwner();
            }
        }
        this.#links.closeAll();
    }

    #dropSilentOwner(): void {
        const channel = this.#channel;
        if (channel !== undefined && this.ownerSilence > ownerSilenceTimeout) {
            this.#dropOwner(channel);
            channel.close();
        }
    }

    #acceptOwner(channel: Channel<VmMessage, OwnerMessage>, epoch: Epoch): void {
        if (epoch < this.#epoch) {
            channel.close();
            return;
        }
        const former = this.#channel;
        // An owner that speaks anew, also the same one, gives out all links anew; former ones would ask workers that refuse them.
        this.#links.closeAll();
        this.#epoch = epoch;
        this.#channel = channel;
        this.#noteHeard();
        this.#links.noteOwnerHeard();
        if (former !== undefined && former !== channel) {
            former.close();
        }
        this.#dropRequests();
        if (this.#isLeaving) {
            channel.send({ kind: "leaving" });
        }
        this.options.onOwnerChange(true);
    }

    #handle(message: OwnerMessage): void {
        this.#noteHeard();
        switch (message.kind) {
            case "assign":
                this.#links.assign(message);
                break;
            case "unassign":
                this.#links.unassign(message.worker);
                break;
            case "command":
                this.#links.command(message);
                break;
            case "worker-leaves":
                this.#links.noteLeaving(message.worker);
                break;
            case "resume":
                this.#links.resume(message.worker);
                break;
            case "acknowledge":
                this.#links.acknowledge(message.worker, message.through);
                break;
            case "ask":
                void this.#ask(message);
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
            case "store-call":
                void this.#callStore(message.call, message.operation);
                break;
            case "hand-over":
                this.options.onHandOver();
                break;
            case "beat":
                if (message.mayLease) {
                    this.#links.noteOwnerHeard();
                }
                break;
            case "welcome":
                break;
        }
    }

    #send(message: VmMessage): void {
        this.#lastSentAt = this.options.clock.monotonic();
        this.#channel?.send(message);
    }

    #noteHeard(): void {
        this.#lastHeardAt = this.options.clock.monotonic();
    }

    /** The owner knows a newer configuration: it is asked for it, unless the store shows it meanwhile. */
    async #requestNewerConfiguration(version: number): Promise<void> {
        await this.options.clock.sleep(configurationFetchDelay);
        if (version > (this.options.configuration()?.version ?? 0)) {
            this.#channel?.send({ kind: "want-configuration" });
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

    async #ask({ question, step, workers, duration }: AdviceQuestionMessage): Promise<void> {
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

    /** What was asked of an owner that is gone has no answer; whether it was done is not known. */
    #dropRequests(): void {
        const dropped = [...this.#pendingRequests.values()];
        this.#pendingRequests.clear();
        dropped.forEach(request => request.resolve(undefined));
    }
}
