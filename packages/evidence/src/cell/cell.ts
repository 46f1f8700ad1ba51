/** Starts and ends the processes of a cell. */
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

/** What a cell consists of. */
export interface CellOptions {
    readonly gateways: number;
    readonly schedulers: number;
    readonly workers: number;
    readonly user: "bayanihan" | "retrouve";
    readonly shards?: number;
    readonly tree?: string;
    /** The platform's lease on a shard; a short one where it is left out. */
    readonly ownerLease?: string;
    /** A module that the product's processes load first, to take a protection away. */
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

/** See the module's comment. Made by {@link Cell.start}. */
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

    /** Starts all processes and waits until work can be placed. */
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
            ["workers", options.user, String(options.workers), join(auditFolder, "workers.jsonl")],
            log,
        );
        const [platformAddress, fleetAddress] = await Promise.all([platform.firstLine(), fleet.firstLine()]);
        const topology: CellTopology = {
            region: options.user === "bayanihan" ? "luzon" : "quebec",
            site: options.user === "bayanihan" ? "pasig" : "retrouve",
            platform: platformAddress,
            schedulers: await freeAddresses(options.schedulers),
            shards: options.shards ?? 1,
        };
        const cell = new Cell(options, topology, platform, fleet, fleetAddress, auditFolder);
        await cell.#startPrograms();
        return cell;
    }

    /** Addresses of the gateways that run and were ready at the last probe, as the platform's balancer has them. */
    callerAddresses(): string[] {
        const running = this.#gatewayAddresses.filter((_, index) =>
            this.gateways.get(`gateway-${index}`)?.hasExited === false
        );
        const ready = running.filter(address => this.#readyGateways.has(address));
        return ready.length > 0 ? ready : running;
    }

    /** Administration addresses of all gateways. */
    get administrationAddresses(): readonly string[] {
        return this.#administrationAddresses;
    }

    /** The command line's settings file. */
    writeOperatorSettings(): string {
        const file = join(this.folder, "operator.ini");
        writeFileSync(file, renderOperatorSettings(this.topology, this.#administrationAddresses));
        return file;
    }

    /** Starts a scheduler, or starts it again after it ended. */
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

    /** Starts a gateway, or starts it again after it ended. */
    startGateway(index: number): ManagedProcess {
        const name = `gateway-${index}`;
        const file = join(this.folder, `${name}.ini`);
        const [callers, administration] = [this.#gatewayAddresses[index], this.#administrationAddresses[index]];
        writeFileSync(file, renderGatewaySettings(this.topology, name, callers, administration));
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

    /** Accepts a tree on top of a revision. */
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

    /** Makes the platform fail. */
    async controlPlatform(control: PlatformControl): Promise<void> {
        await postControl(this.topology.platform, control);
    }

    /** Makes a worker fail. */
    async controlWorker(control: FleetControl): Promise<void> {
        await postControl(this.fleetAddress, control);
    }

    /** Makes every worker fail in the same way. */
    async controlAllWorkers(control: Omit<FleetControl, "worker">): Promise<void> {
        for (let index = 0; index < this.options.workers; index++) {
            await this.controlWorker({ ...control, worker: `worker-${index}` });
        }
    }

    /** Keeps the platform's list of VMs as it is, however old. */
    setWorkerListFrozen(isFrozen: boolean): void {
        this.#isWorkerListFrozen = isFrozen;
    }

    /** Takes a worker out of the platform's list for good. */
    async removeFromWorkerList(worker: string): Promise<void> {
        this.setWorkerListFrozen(true);
        const workers = (await this.#readWorkers()).filter(entry => entry.worker !== worker);
        await this.controlPlatform({ workers });
    }

    /** The settings revision of each running process of the product that answers. */
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

    /** What the platform has counted. */
    async platformCounts(): Promise<PlatformCounts> {
        const answer = await request(`http://${this.topology.platform}/counts`);
        return await answer.body.json() as PlatformCounts;
    }

    /** What the workers noted. */
    workerAudit(): AuditLine[] {
        return readAudit(join(this.auditFolder, "workers.jsonl"));
    }

    /** What the platform noted. */
    platformAudit(): AuditLine[] {
        return readAudit(join(this.auditFolder, "platform.jsonl"));
    }

    /** The status of every scheduler that answers. */
    async schedulerStatuses(): Promise<SchedulerStatus[]> {
        const clients = this.topology.schedulers.map(address => new SchedulerClient(address));
        const answers = await Promise.allSettled(
            clients.map(client => client.call(500, (calls, signal) => calls.status.query(undefined, { signal }))),
        );
        await Promise.all(clients.map(client => client.close()));
        return answers.flatMap(answer => answer.status === "fulfilled" ? [answer.value] : []);
    }

    /** The scheduler that owns a shard, by what schedulers say; the highest epoch is right. */
    async ownerOf(shard = "shard-0"): Promise<string | undefined> {
        const owners = (await this.schedulerStatuses()).flatMap(status =>
            status.shards.filter(entry => entry.shard === shard).map(entry => ({
                name: String(status.process),
                epoch: entry.epoch,
            }))
        );
        return owners.sort((left, right) => right.epoch - left.epoch)[0]?.name;
    }

    /** Waits until every shard has an owner with open workers. */
    async waitUntilPlacing(): Promise<void> {
        await waitUntil("every shard has an owner with open workers", startTimeout, async () => {
            const shards = (await this.schedulerStatuses()).flatMap(status => status.shards);
            const open = shards.flatMap(shard => shard.workers).filter(worker => worker.open).length;
            return shards.length >= this.topology.shards && open > 0;
        });
    }

    /** Ends all processes; resolves to the exit codes of the product's own. */
    async stop(): Promise<(number | undefined)[]> {
        clearInterval(this.#workerListTimer);
        clearInterval(this.#readinessTimer);
        await this.caller.close();
        await this.store.close();
        const programs = [...this.gateways.values(), ...this.schedulers.values()].filter(child => !child.hasExited);
        programs.forEach(child => child.resume());
        const codes = await Promise.all(programs.map(child => child.stop()));
        this.relays.forEach(relay => relay.close());
        await Promise.all([this.platform.kill(), this.fleet.kill()]);
        return codes;
    }

    /** Removes the files of the cell. */
    removeFiles(): void {
        rmSync(this.folder, { recursive: true, force: true });
        rmSync(this.auditFolder, { recursive: true, force: true });
    }

    async #startPrograms(): Promise<void> {
        await this.acceptSettings(this.options.tree ?? shortTimeoutSettings, 0);
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

    /** Asks each gateway whether it is ready. */
    async #probeReadiness(): Promise<void> {
        await Promise.all(this.#administrationAddresses.map(async (administration, index) => {
            const answer = await request(`http://${administration}/readyz`).catch(() => undefined);
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

    /** The platform's list follows the workers with a lag. */
    async #publishWorkerList(): Promise<void> {
        const workers = await this.#readWorkers();
        if (!this.#isWorkerListFrozen) {
            await this.controlPlatform({ workers });
        }
    }
}

const postControl = async (address: string, body: unknown): Promise<void> => {
    const answer = await request(`http://${address}/control`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await answer.body.dump();
};
