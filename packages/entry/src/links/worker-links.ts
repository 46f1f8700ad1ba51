/** The worker links of this VM. */
import type { TaskWorkerClient, TaskWorkerClients } from "@pebbledale/cell";
import type { DataHallName, Milliseconds, SuspensionAwareClock, WorkerId, WorkerIncarnation } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { AssignMessage, CommandMessage, WorkerMessage } from "../protocol/index.js";
import { ownerSilenceLimit, staleMessageWindow } from "./constants.js";
import { LossMonitor } from "./loss-monitor.js";
import { WorkerLink } from "./worker-link.js";

/** Dependencies of the worker links. */
export interface WorkerLinksOptions {
    readonly clients: TaskWorkerClients;
    readonly clock: SuspensionAwareClock;
    readonly logger: EventLogger;
    readonly leaseLength: Milliseconds;
    readonly isHallClosed: (hall: DataHallName) => boolean;
    readonly send: (message: WorkerMessage) => void;
}

/** A client connected to one incarnation of a worker. */
interface IncarnationClient {
    readonly client: TaskWorkerClient;
    readonly address: string;
    readonly incarnation: WorkerIncarnation | undefined;
}

/** Holds the links to workers that the current owner has assigned to this VM, and passes its messages to them. */
export class WorkerLinks {
    readonly #links = new Map<WorkerId, WorkerLink>();
    readonly #clients = new Map<WorkerId, IncarnationClient>();
    readonly #lossMonitor: LossMonitor;
    #ownerHeardAt = -Infinity;

    constructor(private readonly options: WorkerLinksOptions) {
        this.#lossMonitor = new LossMonitor(options.clock, options.logger);
    }

    /** Records a message of an owner that the store has recently confirmed. */
    recordOwnerHeard(): void {
        this.#ownerHeardAt = this.options.clock.monotonic();
    }

    /**
     * Whether the owner was heard since this process may last have been suspended. Earlier messages may be out of date,
     * as may those that were buffered in the socket and are read shortly afterwards.
     */
    get #mayForwardOrders(): boolean {
        return this.#ownerHeardAt >= this.options.clock.uninterruptedSince() + staleMessageWindow;
    }

    /** Creates the link to a worker, replacing a former one. */
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
            mayPoll: () =>
                this.#mayForwardOrders && this.options.clock.monotonic() - this.#ownerHeardAt < ownerSilenceLimit,
            mayForwardOrders: () => this.#mayForwardOrders,
            isHallClosed: hall => this.options.isHallClosed(hall),
            lossMonitor: this.#lossMonitor,
            send: report => this.options.send({ ...report, assignment: assignment.token }),
        });
        this.#links.set(worker, link);
        if (assignment.isLeaving) {
            link.noteDraining();
        }
    }

    /** Shortens the leases of a draining worker. */
    noteDraining(worker: WorkerId): void {
        this.#links.get(worker)?.noteDraining();
    }

    /** Closes the link to a worker and its connections. */
    unassign(worker: WorkerId): void {
        this.#links.get(worker)?.close();
        this.#links.delete(worker);
        const known = this.#clients.get(worker);
        this.#clients.delete(worker);
        void known?.client.close();
    }

    /**
     * Reuses the client for the same incarnation and address only: connections to an earlier incarnation may hang
     * without an error.
     */
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

    forwardOrder({ command }: CommandMessage): void {
        this.#links.get(command.worker)?.forward(command);
    }

    /** Allows leases again at a worker that has answered after a silence. */
    resume(worker: WorkerId): void {
        this.#links.get(worker)?.resumeLeases();
    }

    /** Marks ended runs of a worker up to `through` as committed. */
    acknowledge(worker: WorkerId, through: number): void {
        this.#links.get(worker)?.acknowledge(through);
    }

    /** Closes all links because another owner has appeared; keeps the clients for the links that it assigns. */
    closeAll(): void {
        this.#links.forEach(link => link.close());
        this.#links.clear();
    }
}
