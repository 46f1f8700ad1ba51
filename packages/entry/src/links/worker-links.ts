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
    /** When the latest known message of the current owner was sent. */
    #ownerHeardAt = -Infinity;
    /** When the latest known message was sent by which the owner allows leases. */
    #leasesAllowedAt = -Infinity;

    constructor(private readonly options: WorkerLinksOptions) {
        this.#lossMonitor = new LossMonitor(options.clock, options.logger);
    }

    /** Closes all links for another owner, or another connection of the same one, whose first message was sent at `at` or later. */
    acceptOwner(at: Milliseconds): void {
        this.closeAll();
        this.#ownerHeardAt = at;
        this.#leasesAllowedAt = at;
    }

    /** Records a message that the owner sent at `at`. `mayLease`: whether the store has recently confirmed the owner. */
    recordOwnerHeard(at: Milliseconds, mayLease: boolean): void {
        this.#ownerHeardAt = Math.max(this.#ownerHeardAt, at);
        if (mayLease) {
            this.#leasesAllowedAt = Math.max(this.#leasesAllowedAt, at);
        }
    }

    /**
     * Whether the owner still expects this VM to act at the links that it had assigned at `moment`, the time of its latest known message:
     * the time after which it may regard the links as gone has not passed, and this process cannot have been suspended since.
     */
    #isRecent(moment: Milliseconds): boolean {
        const { clock } = this.options;
        return moment >= clock.uninterruptedSince() + staleMessageWindow
            && clock.monotonic() - moment < ownerSilenceLimit;
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
            mayPoll: () => this.#isRecent(this.#leasesAllowedAt),
            mayForwardOrders: () => this.#isRecent(this.#ownerHeardAt),
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

    /** Closes all links; keeps the clients for the links that are assigned next. */
    closeAll(): void {
        this.#links.forEach(link => link.close());
        this.#links.clear();
    }
}
