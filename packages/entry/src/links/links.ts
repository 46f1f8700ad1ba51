/** All links of this VM to workers, for the owner that speaks at the moment. */
import type { TaskWorkerClient, TaskWorkerClients } from "@pebbledale/cell";
import type { Milliseconds, SuspensionAwareClock, WorkerId, WorkerIncarnation } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { AssignMessage, CommandMessage, WorkerMessage } from "../protocol/index.js";
import { ownerSilenceLimit, staleMessageWindow } from "./constants.js";
import { LossMonitor } from "./loss-watch.js";
import { WorkerLink } from "./worker-link.js";

/** What links need. */
export interface WorkerLinksOptions {
    readonly clients: TaskWorkerClients;
    readonly clock: SuspensionAwareClock;
    readonly logger: EventLogger;
    readonly leaseLength: Milliseconds;
    readonly send: (message: WorkerMessage) => void;
}

/** Connections to one life of a worker. */
interface IncarnationClient {
    readonly client: TaskWorkerClient;
    readonly address: string;
    readonly incarnation: WorkerIncarnation | undefined;
}

/** See the module's comment. */
export class WorkerLinks {
    readonly #links = new Map<WorkerId, WorkerLink>();
    readonly #clients = new Map<WorkerId, IncarnationClient>();
    readonly #losses: LossMonitor;
    #heardAt = -Infinity;

    constructor(private readonly options: WorkerLinksOptions) {
        this.#losses = new LossMonitor(options.clock, options.logger);
    }

    /** The owner, which owns the cell as far as it knows, was heard. */
    noteOwnerHeard(): void {
        this.#heardAt = this.options.clock.monotonic();
    }

    /**
     * Whether the owner was heard since this process may last have been suspended. What it said before may be long out of date, and
     * so may messages that lay in the socket meanwhile: they are read within the first moments.
     */
    get #mayForwardOrders(): boolean {
        return this.#heardAt >= this.options.clock.uninterruptedSince() + staleMessageWindow;
    }

    /** Takes a link over. */
    assign(assignment: AssignMessage): void {
        const { worker } = assignment;
        this.#links.get(worker)?.close();
        const client = this.#clientOf(assignment);
        const link = new WorkerLink({
            assignment,
            client,
            clock: this.options.clock,
            logger: this.options.logger,
            leaseLength: this.options.leaseLength,
            mayPoll: () => this.#mayForwardOrders && this.options.clock.monotonic() - this.#heardAt < ownerSilenceLimit,
            mayForwardOrders: () => this.#mayForwardOrders,
            lossMonitor: this.#losses,
            send: report => this.options.send({ ...report, assignment: assignment.token }),
        });
        this.#links.set(worker, link);
        if (assignment.isLeaving) {
            link.noteLeaving();
        }
    }

    /** A worker says that it leaves. */
    noteLeaving(worker: WorkerId): void {
        this.#links.get(worker)?.noteLeaving();
    }

    /** Gives a link up. */
    unassign(worker: WorkerId): void {
        this.#links.get(worker)?.close();
        this.#links.delete(worker);
        const known = this.#clients.get(worker);
        this.#clients.delete(worker);
        void known?.client.close();
    }

    /** Connections are those of one life at one address: those to a life that is over may stay silent without an end. */
    #clientOf({ worker, address, life }: AssignMessage): TaskWorkerClient {
        const known = this.#clients.get(worker);
        if (known?.address === address && known.incarnation === life) {
            return known.client;
        }
        void known?.client.close();
        const client = this.options.clients.clientOf(worker, address);
        this.#clients.set(worker, { client, address, incarnation: life });
        return client;
    }

    /** Passes an order on. */
    command({ command }: CommandMessage): void {
        this.#links.get(command.worker)?.order(command);
    }

    /** The owner knows that a worker answers again. */
    resume(worker: WorkerId): void {
        this.#links.get(worker)?.resumeLeases();
    }

    /** Ends up to `through` are kept. */
    acknowledge(worker: WorkerId, through: number): void {
        this.#links.get(worker)?.acknowledge(through);
    }

    /** Ends all links: another owner speaks. Connections stay for the links it assigns. */
    closeAll(): void {
        this.#links.forEach(link => link.close());
        this.#links.clear();
    }
}
