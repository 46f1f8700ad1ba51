/** Starts and ends the processes of a cell. */
import { acceptSettings, type ListedWorker, settingsRevision, SystemClock, SystemRandom } from "@pebbledale/core";
import { HttpPlatformStore, SchedulerClient, type SchedulerStatus } from "@pebbledale/runtime";
import {
    type AuditLine,
    type FleetControl,
    type PlatformControl,
    type PlatformCounts,
    readAudit,
    Relay,
} from "@pebbledale/stand-ins";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { Caller, until } from "./caller.js";
import { Child } from "./child.js";
import { type CellPlaces, gatewayFile, operatorFile, schedulerFile, shortTree } from "./settings.js";

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

const startLimit = 20_000;
const listInterval = 100;
const shortLease = "1s";
const probeInterval = 50;

const scriptOf = (packageName: string): string =>
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
    readonly gateways = new Map<string, Child>();
    readonly schedulers = new Map<string, Child>();
    readonly relays = new Map<string, Relay>();
    readonly caller: Caller;
    readonly store: HttpPlatformStore;
    #gatewayAddresses: string[] = [];
    #administrationAddresses: string[] = [];
    #listing: NodeJS.Timeout | undefined;
    #isListFrozen = false;
    readonly #ready = new Set<string>();
    #probing: NodeJS.Timeout | undefined;

    private constructor(
        readonly options: CellOptions,
        readonly places: CellPlaces,
        private readonly platform: Child,
        private readonly fleet: Child,
        private readonly fleetAddress: string,
        readonly auditFolder: string,
    ) {
        this.caller = new Caller(() => this.callerAddresses());
        this.store = new HttpPlatformStore(places.platform, 500);
    }

    /** Starts all processes and waits until work can be placed. */
    static async start(options: CellOptions): Promise<Cell> {
        const auditFolder = mkdtempSync(join(tmpdir(), "pebbledale-audit-"));
        const standIn = scriptOf("stand-ins");
        const log = join(auditFolder, "stand-ins.log");
        const platform = new Child("platform", standIn, ["platform", join(auditFolder, "platform.jsonl")], log);
        const fleet = new Child(
            "workers",
            standIn,
            ["workers", options.user, String(options.workers), join(auditFolder, "workers.jsonl")],
            log,
        );
        const [platformAddress, fleetAddress] = await Promise.all([platform.firstLine(), fleet.firstLine()]);
        const places: CellPlaces = {
            region: options.user === "bayanihan" ? "luzon" : "quebec",
            site: options.user === "bayanihan" ? "pasig" : "retrouve",
            platform: platformAddress,
            schedulers: await freeAddresses(options.schedulers),
            shards: options.shards ?? 1,
        };
        const cell = new Cell(options, places, platform, fleet, fleetAddress, auditFolder);
        await cell.#begin();
        return cell;
    }

    /** Addresses of the gateways that run and were ready at the last probe, as the platform's balancer has them. */
    callerAddresses(): string[] {
        const running = this.#gatewayAddresses.filter((_, index) =>
            this.gateways.get(`gateway-${index}`)?.isEnded === false
        );
        const ready = running.filter(address => this.#ready.has(address));
        return ready.length > 0 ? ready : running;
    }

    /** Administration addresses of all gateways. */
    get administrationAddresses(): readonly string[] {
        return this.#administrationAddresses;
    }

    /** The command line's settings file. */
    operatorSettings(): string {
        const file = join(this.folder, "operator.ini");
        writeFileSync(file, operatorFile(this.places, this.#administrationAddresses));
        return file;
    }

    /** Starts a scheduler, or starts it again after it ended. */
    async startScheduler(index: number): Promise<Child> {
        const name = `scheduler-${index}`;
        const relay = this.relays.get(name) ?? new Relay(this.places.platform);
        this.relays.set(name, relay);
        const address = await relay.listen();
        const file = join(this.folder, `${name}.ini`);
        writeFileSync(
            file,
            schedulerFile(
                this.places,
                name,
                this.places.schedulers[index],
                address,
                this.options.ownerLease ?? shortLease,
            ),
        );
        const child = new Child(
            name,
            scriptOf("scheduler"),
            [file],
            join(this.folder, `${name}.log`),
            this.options.preload,
        );
        this.schedulers.set(name, child);
        return child;
    }

    /** Starts a gateway, or starts it again after it ended. */
    startGateway(index: number): Child {
        const name = `gateway-${index}`;
        const file = join(this.folder, `${name}.ini`);
        const [callers, administration] = [this.#gatewayAddresses[index], this.#administrationAddresses[index]];
        writeFileSync(file, gatewayFile(this.places, name, callers, administration));
        const child = new Child(
            name,
            scriptOf("gateway"),
            [file],
            join(this.folder, `${name}.log`),
            this.options.preload,
        );
        this.gateways.set(name, child);
        return child;
    }

    /** Accepts a tree on top of a revision. */
    async accept(text: string, base: number): Promise<void> {
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
        await post(this.places.platform, control);
    }

    /** Makes a worker fail. */
    async controlWorker(control: FleetControl): Promise<void> {
        await post(this.fleetAddress, control);
    }

    /** Makes every worker fail in the same way. */
    async controlAllWorkers(control: Omit<FleetControl, "worker">): Promise<void> {
        for (let index = 0; index < this.options.workers; index++) {
            await this.controlWorker({ ...control, worker: `worker-${index}` });
        }
    }

    /** Keeps the platform's list of VMs as it is, however old. */
    setListFrozen(isFrozen: boolean): void {
        this.#isListFrozen = isFrozen;
    }

    /** Takes a worker out of the platform's list for good. */
    async unlist(worker: string): Promise<void> {
        this.setListFrozen(true);
        const workers = (await this.#listedWorkers()).filter(entry => entry.worker !== worker);
        await this.controlPlatform({ workers });
    }

    /** The settings revision of each running process of the product that answers. */
    async revisions(): Promise<Map<string, number>> {
        const addresses = new Map([
            ...this.#administrationAddresses.map((address, index) => [`gateway-${index}`, address] as const),
            ...this.places.schedulers.map((address, index) => [`scheduler-${index}`, address] as const),
        ]);
        const revisions = new Map<string, number>();
        await Promise.all([...addresses].map(async ([name, address]) => {
            const answer = await request(`http://${address}/metrics`).catch(() => undefined);
            const text = await answer?.body.text() ?? "";
            const value = /^pebbledale_settings_revision (\d+)/m.exec(text)?.[1];
            if (value !== undefined) {
                revisions.set(name, Number(value));
            }
        }));
        return revisions;
    }

    /** What the platform has counted. */
    async platformCounts(): Promise<PlatformCounts> {
        const answer = await request(`http://${this.places.platform}/counts`);
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
    async statuses(): Promise<SchedulerStatus[]> {
        const clients = this.places.schedulers.map(address => new SchedulerClient(address));
        const answers = await Promise.allSettled(
            clients.map(client => client.call(500, (calls, signal) => calls.status.query(undefined, { signal }))),
        );
        await Promise.all(clients.map(client => client.close()));
        return answers.flatMap(answer => answer.status === "fulfilled" ? [answer.value] : []);
    }

    /** The scheduler that owns a shard, by what schedulers say; the highest epoch is right. */
    async ownerOf(shard = "shard-0"): Promise<string | undefined> {
        const owners = (await this.statuses()).flatMap(status =>
            status.shards.filter(entry => entry.shard === shard).map(entry => ({
                name: String(status.process),
                epoch: entry.epoch,
            }))
        );
        return owners.sort((left, right) => right.epoch - left.epoch)[0]?.name;
    }

    /** Waits until every shard has an owner with open workers. */
    async untilPlacing(): Promise<void> {
        await until("every shard has an owner with open workers", startLimit, async () => {
            const shards = (await this.statuses()).flatMap(status => status.shards);
            const open = shards.flatMap(shard => shard.workers).filter(worker => worker.open).length;
            return shards.length >= this.places.shards && open > 0;
        });
    }

    /** Ends all processes; resolves to the exit codes of the product's own. */
    async stop(): Promise<(number | undefined)[]> {
        clearInterval(this.#listing);
        clearInterval(this.#probing);
        await this.caller.close();
        await this.store.close();
        const own = [...this.gateways.values(), ...this.schedulers.values()].filter(child => !child.isEnded);
        own.forEach(child => child.thaw());
        const codes = await Promise.all(own.map(child => child.stop()));
        this.relays.forEach(relay => relay.close());
        await Promise.all([this.platform.kill(), this.fleet.kill()]);
        return codes;
    }

    /** Removes the files of the cell. */
    removeFiles(): void {
        rmSync(this.folder, { recursive: true, force: true });
        rmSync(this.auditFolder, { recursive: true, force: true });
    }

    async #begin(): Promise<void> {
        await this.accept(this.options.tree ?? shortTree, 0);
        await this.#copyList();
        this.#listing = setInterval(() => {
            if (!this.#isListFrozen) {
                this.#copyList().catch(() => undefined);
            }
        }, listInterval);
        for (let index = 0; index < this.options.schedulers; index++) {
            await this.startScheduler(index);
        }
        this.#gatewayAddresses = await freeAddresses(this.options.gateways);
        this.#administrationAddresses = await freeAddresses(this.options.gateways);
        for (let index = 0; index < this.options.gateways; index++) {
            this.startGateway(index);
        }
        await this.untilPlacing();
        this.#probing = setInterval(() => void this.#probe(), probeInterval);
        await until("all gateways are ready", startLimit, () => this.#ready.size === this.options.gateways);
    }

    /** Asks each gateway whether it is ready. */
    async #probe(): Promise<void> {
        await Promise.all(this.#administrationAddresses.map(async (administration, index) => {
            const answer = await request(`http://${administration}/readyz`).catch(() => undefined);
            await answer?.body.dump();
            const address = this.#gatewayAddresses[index];
            if (answer?.statusCode === 200) {
                this.#ready.add(address);
            }
            else {
                this.#ready.delete(address);
            }
        }));
    }

    async #listedWorkers(): Promise<ListedWorker[]> {
        const answer = await request(`http://${this.fleetAddress}/workers`);
        return (await answer.body.json() as { workers: ListedWorker[]; }).workers;
    }

    /** The platform's list follows the workers with a lag. */
    async #copyList(): Promise<void> {
        const workers = await this.#listedWorkers();
        if (!this.#isListFrozen) {
            await this.controlPlatform({ workers });
        }
    }
}

const post = async (address: string, body: unknown): Promise<void> => {
    const answer = await request(`http://${address}/control`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await answer.body.dump();
};
