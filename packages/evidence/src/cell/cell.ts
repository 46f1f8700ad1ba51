/** The processes of a test cell. */
import { acceptSettings, type ListedWorker, settingsRevision, SystemClock, SystemRandom } from "@pebbledale/core";
import { HttpPlatformStore, SchedulerClient, type SchedulerStatus } from "@pebbledale/runtime";
import {
    type AuditLine,
    type FleetControl,
    type PlatformControl,
    type PlatformCounts,
    readAudit,
    TcpRelay,
} from "@pebbledale/stand-ins";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { Caller, waitUntil } from "./caller.js";
import { ManagedProcess } from "./managed-process.js";
import {
    type CellTopology,
    renderGatewaySettings,
    renderOperatorSettings,
    renderSchedulerSettings,
    shortTimeoutSettings,
} from "./settings-files.js";

/** Size and settings of a test cell. */
export interface CellOptions {
    readonly gateways: number;
    readonly schedulers: number;
    readonly workers: number;
    readonly organisation: "bayanihan" | "retrouve";
    readonly shards?: number;
    readonly settingsTree?: string;
    /** Duration of the lease on a shard, as in the settings file; short by default. */
    readonly ownerLease?: string;
    /** A module that the gateways and schedulers import first, to remove a protection. */
    readonly preload?: string;
}

const startTimeout = 20_000;
const workerListInterval = 100;
const defaultOwnerLease = "1s";
const readinessInterval = 50;

const mainScriptOf = (packageName: string): string =>
    join(dirname(fileURLToPath(import.meta.resolve(`@pebbledale/${packageName}`))), "cli", "main.js");

const freePort = (): Promise<number> =>
    new Promise(resolve => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });

const freeAddresses = async (count: number): Promise<string[]> => {
    const ports = await Promise.all(Array.from({ length: count }, freePort));
    return ports.map(port => `127.0.0.1:${port}`);
};

/**
 * A running cell: stand-ins for the platform and the workers, schedulers that reach the platform through relays, and
 * gateways. Its settings, logs and audit files are in temporary folders. Created by {@link Cell.start}.
 */
export class Cell {
    readonly folder = mkdtempSync(join(tmpdir(), "pebbledale-"));
    readonly gateways = new Map<string, ManagedProcess>();
    readonly schedulers = new Map<string, ManagedProcess>();
    readonly relays = new Map<string, TcpRelay>();
    readonly caller: Caller;
    readonly store: HttpPlatformStore;
    #gatewayAddresses: string[] = [];
    #administrationAddresses: string[] = [];
    #workerListTimer: NodeJS.Timeout | undefined;
    #isWorkerListFrozen = false;
    readonly #readyGateways = new Set<string>();
    #readinessTimer: NodeJS.Timeout | undefined;

    private constructor(
        readonly options: CellOptions,
        readonly topology: CellTopology,
        private readonly platform: ManagedProcess,
        private readonly fleet: ManagedProcess,
        private readonly fleetAddress: string,
        readonly auditFolder: string,
    ) {
        this.caller = new Caller(() => this.callerAddresses());
        this.store = new HttpPlatformStore(topology.platform, 500);
    }

    /** Starts all processes and waits until tasks can be placed and all gateways are ready. */
    static async start(options: CellOptions): Promise<Cell> {
        const auditFolder = mkdtempSync(join(tmpdir(), "pebbledale-audit-"));
        const standInScript = mainScriptOf("stand-ins");
        const log = join(auditFolder, "stand-ins.log");
        const platform = new ManagedProcess("platform", standInScript, [
            "platform",
            join(auditFolder, "platform.jsonl"),
        ], log);
        const fleet = new ManagedProcess(
            "workers",
            standInScript,
            ["workers", options.organisation, String(options.workers), join(auditFolder, "workers.jsonl")],
            log,
        );
        const [platformAddress, fleetAddress] = await Promise.all([platform.firstLine(), fleet.firstLine()]);
        const topology: CellTopology = {
            region: options.organisation === "bayanihan" ? "luzon" : "quebec",
            site: options.organisation === "bayanihan" ? "pasig" : "retrouve",
            platform: platformAddress,
            schedulers: await freeAddresses(options.schedulers),
            shards: options.shards ?? 1,
        };
        const cell = new Cell(options, topology, platform, fleet, fleetAddress, auditFolder);
        await cell.#startProcesses();
        return cell;
    }

    /** Addresses of the running gateways that were ready at the last probe, or of all running ones if none was ready. */
    callerAddresses(): string[] {
        const runningAddresses = this.#gatewayAddresses.filter((_, index) =>
            this.gateways.get(`gateway-${index}`)?.hasExited === false
        );
        const readyAddresses = runningAddresses.filter(address => this.#readyGateways.has(address));
        return readyAddresses.length > 0 ? readyAddresses : runningAddresses;
    }

    /** Administration addresses of all gateways. */
    get administrationAddresses(): readonly string[] {
        return this.#administrationAddresses;
    }

    /** Writes the settings file of the operator's command line; returns its path. */
    writeOperatorSettings(): string {
        const file = join(this.folder, "operator.ini");
        writeFileSync(file, renderOperatorSettings(this.topology, this.#administrationAddresses));
        return file;
    }

    /** Starts a scheduler, or restarts it after it has exited. */
    async startScheduler(index: number): Promise<ManagedProcess> {
        const name = `scheduler-${index}`;
        const relay = this.relays.get(name) ?? new TcpRelay(this.topology.platform);
        this.relays.set(name, relay);
        const address = await relay.listen();
        const file = join(this.folder, `${name}.ini`);
        writeFileSync(
            file,
            renderSchedulerSettings(
                this.topology,
                name,
                this.topology.schedulers[index],
                address,
                this.options.ownerLease ?? defaultOwnerLease,
            ),
        );
        const child = new ManagedProcess(
            name,
            mainScriptOf("scheduler"),
            [file],
            join(this.folder, `${name}.log`),
            this.options.preload,
        );
        this.schedulers.set(name, child);
        return child;
    }

    /** Starts a gateway, or restarts it after it has exited. */
    startGateway(index: number): ManagedProcess {
        const name = `gateway-${index}`;
        const file = join(this.folder, `${name}.ini`);
        const [callerAddress, administrationAddress] = [
            this.#gatewayAddresses[index],
            this.#administrationAddresses[index],
        ];
        writeFileSync(file, renderGatewaySettings(this.topology, name, callerAddress, administrationAddress));
        const child = new ManagedProcess(
            name,
            mainScriptOf("gateway"),
            [file],
            join(this.folder, `${name}.log`),
            this.options.preload,
        );
        this.gateways.set(name, child);
        return child;
    }

    /** Makes a settings tree the revision after `base`; rejects when another tree was accepted first. */
    async acceptSettings(text: string, base: number): Promise<void> {
        const outcome = await acceptSettings({
            store: this.store,
            clock: new SystemClock(),
            base: settingsRevision(base),
            text,
            author: "evidence",
            note: "",
            nonce: new SystemRandom().name(),
            settleWithin: 5_000,
        });
        if (outcome.kind !== "accepted") {
            throw new Error(`settings were not accepted: ${outcome.kind}`);
        }
    }

    /** Sets the platform's faults and VM list. */
    async controlPlatform(control: PlatformControl): Promise<void> {
        await postControl(this.topology.platform, control);
    }

    /** Applies a control action to a worker. */
    async controlWorker(control: FleetControl): Promise<void> {
        await postControl(this.fleetAddress, control);
    }

    /** Applies a control action to all workers. */
    async controlAllWorkers(control: Omit<FleetControl, "worker">): Promise<void> {
        for (let index = 0; index < this.options.workers; index++) {
            await this.controlWorker({ ...control, worker: `worker-${index}` });
        }
    }

    /** While frozen, the platform's VM list is not updated with the state of the workers. */
    setWorkerListFrozen(isFrozen: boolean): void {
        this.#isWorkerListFrozen = isFrozen;
    }

    /** Removes a worker from the platform's VM list and freezes the list. */
    async removeFromWorkerList(worker: string): Promise<void> {
        this.setWorkerListFrozen(true);
        const workers = (await this.#readWorkers()).filter(entry => entry.worker !== worker);
        await this.controlPlatform({ workers });
    }

    /** Settings revisions by process name, read from the metrics of the gateways and schedulers that respond. */
    async settingsRevisions(): Promise<Map<string, number>> {
        const addresses = new Map([
            ...this.#administrationAddresses.map((address, index) => [`gateway-${index}`, address] as const),
            ...this.topology.schedulers.map((address, index) => [`scheduler-${index}`, address] as const),
        ]);
        const revisionsByProcess = new Map<string, number>();
        await Promise.all([...addresses].map(async ([name, address]) => {
            const answer = await request(`http://${address}/metrics`).catch(() => undefined);
            const text = await answer?.body.text() ?? "";
            const value = /^pebbledale_settings_revision (\d+)/m.exec(text)?.[1];
            if (value !== undefined) {
                revisionsByProcess.set(name, Number(value));
            }
        }));
        return revisionsByProcess;
    }

    /** The platform's call counts. */
    async platformCounts(): Promise<PlatformCounts> {
        const answer = await request(`http://${this.topology.platform}/counts`);
        return await answer.body.json() as PlatformCounts;
    }

    /** The workers' audit, up to now. */
    workerAudit(): AuditLine[] {
        return readAudit(join(this.auditFolder, "workers.jsonl"));
    }

    /** The platform's audit, up to now. */
    platformAudit(): AuditLine[] {
        return readAudit(join(this.auditFolder, "platform.jsonl"));
    }

    /** Statuses of the schedulers that respond within 500 ms. */
    async schedulerStatuses(): Promise<SchedulerStatus[]> {
        const clients = this.topology.schedulers.map(address => new SchedulerClient(address));
        const answers = await Promise.allSettled(
            clients.map(client => client.call(500, (calls, signal) => calls.status.query(undefined, { signal }))),
        );
        await Promise.all(clients.map(client => client.close()));
        return answers.flatMap(answer => answer.status === "fulfilled" ? [answer.value] : []);
    }

    /**
     * The scheduler that owns a shard according to the schedulers; of several claims, the one with the highest epoch
     * counts.
     */
    async ownerOf(shard = "shard-0"): Promise<string | undefined> {
        const owners = (await this.schedulerStatuses()).flatMap(status =>
            status.shards.filter(entry => entry.shard === shard).map(entry => ({
                name: String(status.process),
                epoch: entry.epoch,
            }))
        );
        return owners.sort((left, right) => right.epoch - left.epoch)[0]?.name;
    }

    /** Waits until every shard has an owner and tasks can be placed on some worker. */
    async waitUntilPlacing(): Promise<void> {
        await waitUntil("every shard has an owner with open workers", startTimeout, async () => {
            const shards = (await this.schedulerStatuses()).flatMap(status => status.shards);
            const openWorkerCount = shards.flatMap(shard => shard.workers).filter(worker => worker.open).length;
            return shards.length >= this.topology.shards && openWorkerCount > 0;
        });
    }

    /** Stops all processes; resolves to the exit codes of the gateways and schedulers that still ran. */
    async stop(): Promise<(number | undefined)[]> {
        clearInterval(this.#workerListTimer);
        clearInterval(this.#readinessTimer);
        await this.caller.close();
        await this.store.close();
        const processes = [...this.gateways.values(), ...this.schedulers.values()].filter(child => !child.hasExited);
        processes.forEach(child => child.resume());
        const codes = await Promise.all(processes.map(child => child.stop()));
        this.relays.forEach(relay => relay.close());
        await Promise.all([this.platform.kill(), this.fleet.kill()]);
        return codes;
    }

    removeFiles(): void {
        rmSync(this.folder, { recursive: true, force: true });
        rmSync(this.auditFolder, { recursive: true, force: true });
    }

    async #startProcesses(): Promise<void> {
        await this.acceptSettings(this.options.settingsTree ?? shortTimeoutSettings, 0);
        await this.#publishWorkerList();
        this.#workerListTimer = setInterval(() => {
            if (!this.#isWorkerListFrozen) {
                this.#publishWorkerList().catch(() => undefined);
            }
        }, workerListInterval);
        for (let index = 0; index < this.options.schedulers; index++) {
            await this.startScheduler(index);
        }
        this.#gatewayAddresses = await freeAddresses(this.options.gateways);
        this.#administrationAddresses = await freeAddresses(this.options.gateways);
        for (let index = 0; index < this.options.gateways; index++) {
            this.startGateway(index);
        }
        await this.waitUntilPlacing();
        this.#readinessTimer = setInterval(() => void this.#probeReadiness(), readinessInterval);
        await waitUntil(
            "all gateways are ready",
            startTimeout,
            () => this.#readyGateways.size === this.options.gateways,
        );
    }

    /** Updates the set of ready gateways. */
    async #probeReadiness(): Promise<void> {
        await Promise.all(this.#administrationAddresses.map(async (administrationAddress, index) => {
            const answer = await request(`http://${administrationAddress}/readyz`).catch(() => undefined);
            await answer?.body.dump();
            const address = this.#gatewayAddresses[index];
            if (answer?.statusCode === 200) {
                this.#readyGateways.add(address);
            }
            else {
                this.#readyGateways.delete(address);
            }
        }));
    }

    async #readWorkers(): Promise<ListedWorker[]> {
        const answer = await request(`http://${this.fleetAddress}/workers`);
        return (await answer.body.json() as { workers: ListedWorker[]; }).workers;
    }

    /** Copies the workers' list to the platform, unless the list is frozen. */
    async #publishWorkerList(): Promise<void> {
        const workers = await this.#readWorkers();
        if (!this.#isWorkerListFrozen) {
            await this.controlPlatform({ workers });
        }
    }
}

const minErrorStatus = 300;

const postControl = async (address: string, body: unknown): Promise<void> => {
    const answer = await request(`http://${address}/control`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= minErrorStatus) {
        throw new Error(`control of ${address} was refused with ${answer.statusCode}: ${text}`);
    }
};
