/** The workers of a cell in one process, with control endpoints for tests. */
import { type ListedWorker, type Resources, workerId } from "@pebbledale/core";
import fastify, { type FastifyInstance } from "fastify";
import type { AddressInfo } from "node:net";
import type { AuditLog } from "../audit/index.js";
import { type WorkerFaults, WorkerStandIn } from "./worker-stand-in.js";

/** Number and size of the workers, and how they are spread over racks and data halls. */
export interface FleetShape {
    readonly count: number;
    readonly rackSize: number;
    readonly dataHalls: number;
    readonly region: string;
    readonly capacity: Resources;
}

/** The body of `POST /control`. `faults` applies to the action `faults` only; omitted faults keep their values. */
export interface FleetControl {
    readonly worker: string;
    readonly action: "kill" | "restart" | "leave" | "faults";
    readonly faults?: Partial<WorkerFaults>;
}

/** Default fleet of the organisation Bayanihan. */
export const bayanihanShape: FleetShape = {
    count: 30,
    rackSize: 8,
    dataHalls: 3,
    region: "luzon",
    capacity: { processorThousandths: 64_000, memoryMebibytes: 131_072, accelerators: 0, slots: 8, connections: 64 },
};

/** Default fleet of the organisation Retrouve: more memory, smaller racks. */
export const retrouveShape: FleetShape = {
    count: 30,
    rackSize: 6,
    dataHalls: 4,
    region: "quebec",
    capacity: { processorThousandths: 64_000, memoryMebibytes: 262_144, accelerators: 0, slots: 8, connections: 64 },
};

/**
 * Runs one {@link WorkerStandIn} per worker. `GET /workers` lists them as the platform does, `POST /control` injects
 * faults.
 */
export class FleetStandIn {
    readonly workers: readonly WorkerStandIn[];
    readonly #server: FastifyInstance = fastify({ logger: false, forceCloseConnections: true });

    constructor(shape: FleetShape, audit?: AuditLog) {
        this.workers = Array.from({ length: shape.count }, (_, index) => {
            const rack = Math.floor(index / shape.rackSize);
            return new WorkerStandIn({
                worker: workerId(`worker-${index}`),
                rack: `rack-${rack}`,
                dataHall: `hall-${rack % shape.dataHalls}`,
                region: shape.region,
                capacity: shape.capacity,
                audit,
            });
        });
        this.#server.get("/workers", async () => ({ workers: this.listWorkers() }));
        this.#server.post("/control", async request => {
            await this.control(request.body as FleetControl);
            return {};
        });
    }

    /** The workers in the form of the platform's VM list. */
    listWorkers(): ListedWorker[] {
        return this.workers.map(worker => worker.toListedWorker());
    }

    /** Applies a control action to a worker; unknown workers are ignored. */
    async control(control: FleetControl): Promise<void> {
        const worker = this.workers.find(entry => entry.options.worker === control.worker);
        switch (control.action) {
            case "kill":
                return worker?.kill();
            case "restart":
                return worker?.restart();
            case "leave":
                return worker?.leave();
            case "faults":
                return worker?.setFaults(control.faults ?? {});
        }
    }

    /** Starts all workers and the control server; resolves to the control server's address. */
    async listen(): Promise<string> {
        await Promise.all(this.workers.map(worker => worker.listen()));
        await this.#server.listen({ host: "127.0.0.1", port: 0 });
        return `127.0.0.1:${(this.#server.server.address() as AddressInfo).port}`;
    }

    async close(): Promise<void> {
        this.workers.forEach(worker => worker.kill());
        await this.#server.close();
    }
}
