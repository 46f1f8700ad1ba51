/** Stand-in for one worker. */
import {
    type ClaimMessage,
    type HeartbeatMessage,
    type ListedWorker,
    type RunningTask,
    type StartMessage,
    type StopMessage,
    type ThrottleMessage,
    VmState,
    WorkerRefusal,
    type WorkerReport,
} from "@pebbledale/core";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { AuditLog } from "../audit/index.js";
import { reportedUsage, type TaskExecution, TaskTable } from "./task-table.js";

/** Faults that a worker injects. */
export interface WorkerFaults {
    /** Connections are closed without a response; tasks keep running. */
    isCut: boolean;
    /** Messages of owners up to this epoch are dropped without a response. */
    cutUpToEpoch: number;
    /** Messages of owners from this epoch on are dropped without a response; 0 disables it. */
    cutFromEpoch: number;
    /** Number of upcoming start messages that take effect without a response. */
    loseStartAnswers: number;
    /** Every task that is not a service fails as soon as it starts. */
    failsAll: boolean;
    /** Responses to live requests are truncated. */
    cutsAnswers: boolean;
    /** Responses to live requests carry the ID of another request. */
    crossesAnswers: boolean;
}

/** Identity, location and capacity of a worker. */
export interface WorkerStandInOptions extends Omit<ListedWorker, "address" | "state"> {
    readonly audit?: AuditLog;
}

const statusOk = 200;
const statusConflict = 409;
const statusServiceUnavailable = 503;
const expiryInterval = 5;

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
};

/**
 * Serves the worker protocol over HTTP on loopback. Tasks are simulated; each instance of a service listens on a port of
 * its own for live requests.
 */
export class WorkerStandIn {
    readonly faults: WorkerFaults = {
        isCut: false,
        cutUpToEpoch: 0,
        cutFromEpoch: 0,
        loseStartAnswers: 0,
        failsAll: false,
        cutsAnswers: false,
        crossesAnswers: false,
    };
    #table: TaskTable;
    readonly #services = new Map<TaskExecution, { server: Server; inFlight: number; }>();
    readonly #waitingHeartbeats = new Set<() => void>();
    #server: Server | undefined;
    #port = 0;
    #incarnation = 1;
    #expiryTimer: NodeJS.Timeout | undefined;

    constructor(readonly options: WorkerStandInOptions) {
        this.#table = this.#createTable();
    }

    /** Starts listening; after a restart, on the same port. */
    async listen(): Promise<void> {
        this.#server = createServer((request, response) => void this.#handleMessage(request, response));
        this.#server.keepAliveTimeout = 60_000;
        await new Promise<void>(resolve => this.#server!.listen(this.#port, "127.0.0.1", resolve));
        this.#port = (this.#server.address() as AddressInfo).port;
        this.#expiryTimer = setInterval(() => this.#table.expire(performance.now()), expiryInterval);
    }

    /** The worker's entry in the platform's VM list. */
    toListedWorker(): ListedWorker {
        const { worker, rack, dataHall, region, capacity } = this.options;
        const state = this.#table.isLeaving ? VmState.Leaving : VmState.Live;
        return { worker, rack, dataHall, region, capacity, address: `127.0.0.1:${this.#port}`, state };
    }

    /** Marks the worker as leaving: it reports so and refuses to start tasks. */
    leave(): void {
        this.#table.isLeaving = true;
        this.options.audit?.add("leaving", { worker: this.options.worker });
        this.#notifyHeartbeats();
    }

    /** Stops the worker and all its tasks at once, without reporting their end. */
    kill(): void {
        clearInterval(this.#expiryTimer);
        this.options.audit?.add("killed", { worker: this.options.worker });
        this.#table.killAll();
        this.#services.forEach(({ server }) => {
            server.closeAllConnections();
            server.close();
        });
        this.#services.clear();
        this.#server?.closeAllConnections();
        this.#server?.close();
        this.#notifyHeartbeats();
    }

    /** Restarts the worker after {@link kill}, as a new incarnation without tasks. */
    async restart(): Promise<void> {
        this.#incarnation++;
        this.#table = this.#createTable();
        await this.listen();
    }

    setFaults(faults: Partial<WorkerFaults>): void {
        Object.assign(this.faults, faults);
        if (this.faults.isCut) {
            this.#server?.closeAllConnections();
        }
    }

    #createTable(): TaskTable {
        return new TaskTable({
            worker: this.options.worker,
            capacity: this.options.capacity,
            audit: this.options.audit,
            failsAll: () => this.faults.failsAll,
            closeService: task => this.#closeService(task),
            onChange: () => this.#notifyHeartbeats(),
        });
    }

    #notifyHeartbeats(): void {
        this.#waitingHeartbeats.forEach(wake => wake());
    }

    async #handleMessage(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            const message = JSON.parse((await readBody(request)).toString()) as ClaimMessage;
            if (this.#isDisconnectedFrom(message.epoch)) {
                request.socket.destroy();
                return;
            }
            const answer = this.#table.acceptEpoch(message.epoch)
                ? await this.#execute(request.url ?? "", message, response)
                : WorkerRefusal.OldEpoch;
            const isLost = request.url === "/tasks/start" && this.faults.loseStartAnswers > 0;
            if (isLost || this.#isDisconnectedFrom(message.epoch)) {
                this.faults.loseStartAnswers -= isLost ? 1 : 0;
                request.socket.destroy();
                return;
            }
            const isRefusal = typeof answer === "string";
            response.writeHead(isRefusal ? statusConflict : statusOk, { "content-type": "application/json" });
            response.end(JSON.stringify(isRefusal ? { refusal: answer } : answer));
        }
        catch {
            request.socket.destroy();
        }
    }

    #isDisconnectedFrom(epoch: number): boolean {
        const { isCut, cutUpToEpoch, cutFromEpoch } = this.faults;
        return isCut || epoch <= cutUpToEpoch || (cutFromEpoch > 0 && epoch >= cutFromEpoch);
    }

    async #execute(path: string, message: ClaimMessage, response: ServerResponse): Promise<unknown> {
        const now = performance.now();
        switch (path) {
            case "/tasks/claim":
                return this.#report();
            case "/tasks/heartbeat": {
                const heartbeat = message as HeartbeatMessage;
                this.#table.applyHeartbeat(heartbeat);
                if (this.#table.ended.size === 0) {
                    await this.#waitForChange(heartbeat.wait, response);
                }
                return this.#table.acceptEpoch(message.epoch) ? this.#report() : WorkerRefusal.OldEpoch;
            }
            case "/tasks/start":
                return this.#start(message as StartMessage, now);
            case "/tasks/stop":
                return this.#table.stop(message as StopMessage, now);
            case "/tasks/throttle":
                return this.#table.throttle(message as ThrottleMessage);
            default:
                throw new Error(`unknown worker message: ${path}`);
        }
    }

    #waitForChange(wait: number, response: ServerResponse): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.#waitingHeartbeats.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, wait);
            this.#waitingHeartbeats.add(finish);
            response.once("close", finish);
        });
    }

    #report(): WorkerReport {
        return {
            worker: this.options.worker,
            incarnation: `${this.options.worker}-${this.#incarnation}` as WorkerReport["incarnation"],
            number: this.#table.issueReportNumber(performance.now()),
            leaving: this.#table.isLeaving,
            running: [...this.#table.running.values()].map(toRunningTask),
            ended: [...this.#table.ended.values()],
        };
    }

    async #start(message: StartMessage, now: number): Promise<RunningTask | WorkerRefusal> {
        const outcome = this.#table.start(message, now);
        if (outcome === "known") {
            return { task: message.task, attempt: message.attempt, usage: message.grant };
        }
        if (typeof outcome === "string") {
            return outcome;
        }
        if (outcome.serves && outcome.serviceAddress === undefined) {
            outcome.serviceAddress = await this.#openService(outcome);
        }
        return toRunningTask(outcome);
    }

    async #openService(task: TaskExecution): Promise<string> {
        const service = { server: createServer(), inFlight: 0 };
        this.#services.set(task, service);
        service.server.keepAliveTimeout = 60_000;
        service.server.on("request", (request: IncomingMessage, response: ServerResponse) => {
            void this.#handleLiveRequest(task, service, request, response);
        });
        await new Promise<void>(resolve => service.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(service.server.address() as AddressInfo).port}`;
    }

    async #closeService(task: TaskExecution): Promise<void> {
        const service = this.#services.get(task);
        if (service === undefined) {
            return;
        }
        this.#services.delete(task);
        await new Promise<void>(resolve => {
            service.server.close(() => resolve());
            service.server.closeIdleConnections();
        });
    }

    /**
     * Responds with the request's ID and body, as the query says: after `milliseconds`, with `status`, followed by `bytes` bytes
     * filled with the ID, and truncated if it has `cut`.
     */
    async #handleLiveRequest(
        task: TaskExecution,
        service: { inFlight: number; },
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        const id = String(request.headers["pebbledale-request-id"]);
        if (service.inFlight >= task.grant.slots) {
            request.resume();
            response.writeHead(statusServiceUnavailable, { "pebbledale-refused": "busy" }).end();
            return;
        }
        service.inFlight++;
        response.once("close", () => service.inFlight--);
        this.options.audit?.add("live", {
            worker: this.options.worker,
            task: task.task,
            request: id,
            inFlight: service.inFlight,
        });
        const body = await readBody(request).catch(() => Buffer.alloc(0));
        const query = new URL(request.url ?? "/", "http://localhost").searchParams;
        await new Promise(resolve => setTimeout(resolve, Number(query.get("milliseconds") ?? 0)));
        const responseId = this.faults.crossesAnswers ? `other-${id}` : id;
        const answer = Buffer.concat([
            Buffer.from(`${responseId}:`),
            body,
            Buffer.alloc(Number(query.get("bytes") ?? 0), id),
        ]);
        response.writeHead(Number(query.get("status") ?? statusOk), {
            "content-length": answer.length,
            "pebbledale-request-id": responseId,
            "x-method": request.method ?? "",
        });
        if (this.faults.cutsAnswers || query.has("cut")) {
            response.write(answer.subarray(0, answer.length / 2), () => response.destroy());
            return;
        }
        response.end(answer);
    }
}

const toRunningTask = (task: TaskExecution): RunningTask => ({
    task: task.task,
    attempt: task.attempt,
    usage: reportedUsage(task, performance.now()),
    serviceAddress: task.serviceAddress,
});
