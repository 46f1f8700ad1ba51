/** Starts the program of the deploy file as entry VMs on loopback addresses, with stand-ins of the store and of workers. */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { holderOf, Relay } from "./relay.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const host = "cell.example";
const heartbeat = 1_500;
const maxLogLines = 17;

/** Exit codes of a case. */
export const broken = 1;
export const held = 0;
export const couldNotRun = 2;

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Waits until a condition holds; false when it does not in time. */
export const until = async (condition, within) => {
    const end = performance.now() + within;
    while (performance.now() < end) {
        if (await condition()) {
            return true;
        }
        await sleep(10);
    }
    return false;
};

/** Command of the role in the deploy file, as words. */
const command = () => /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1].split(" ");

export class Cell {
    store = new Store();
    workers = [];
    vms = [];
    /** All that the stand-ins observed, with the time in milliseconds since the start. */
    observed = [];
    /** Relays in front of the workers, by their ids, where the case has them. */
    workerRelays = new Map();
    #hasRelays = false;
    /** Called when the process of a VM has ended by itself. */
    onEnd = () => undefined;
    /** Further processes that the case has started, to be ended if it is ended itself. */
    children = [];
    #folder = mkdtempSync(join(tmpdir(), "review-"));
    #startedAt = performance.now();
    #sequence = 0;
    #beat;
    #nextVm = 0;

    constructor(recordFile) {
        this.recordFile = createWriteStream(recordFile);
        process.once("SIGTERM", () => {
            [...this.vms.map(vm => vm.process), ...this.children].forEach(child => child.kill("SIGKILL"));
            process.exit(couldNotRun);
        });
    }

    /** Milliseconds since the start. */
    now() {
        return Math.round(performance.now() - this.#startedAt);
    }

    /** Writes a line into the record. */
    record(text) {
        this.recordFile.write(`${String(this.now()).padStart(6)} ${text}\n`);
    }

    /** `hasRelays`: whether connections to workers pass through relays. */
    async start({ vms, workers, bounds = {}, hasRelays = false }) {
        this.#hasRelays = hasRelays;
        this.storeAddress = await this.store.listen();
        this.#configure();
        for (const settings of workers) {
            await this.addWorker(settings);
        }
        this.#beat = setInterval(() => this.#publish(), heartbeat);
        for (let count = 0; count < vms; count++) {
            this.#addVm(bounds);
        }
    }

    async addWorker({ id, ...settings }) {
        const worker = new Worker(id, settings, event => this.#observe(event));
        await worker.listen();
        if (this.#hasRelays) {
            const relay = this.#makeRelay(worker.address);
            this.workerRelays.set(id, relay);
            worker.address = await relay.listen();
        }
        if (this.relayOf !== undefined) {
            worker.address = await this.relayOf(worker);
        }
        this.workers.push(worker);
        this.store.put(`servers/${id}`, worker.entry(++this.#sequence));
        return worker;
    }

    /** Crashes a worker. Its entry goes after three heartbeats of silence. */
    crashWorker(worker) {
        this.record(`worker ${worker.id} crashes`);
        this.workers.splice(this.workers.indexOf(worker), 1);
        worker.crash();
        setTimeout(() => this.store.remove(`servers/${worker.id}`), 3 * heartbeat).unref();
    }

    /** Sends a call to a VM; resolves to status and body, status 0 when there was no answer. */
    call(vm, method, path, body) {
        return new Promise(resolve => {
            const text = body === undefined ? "" : JSON.stringify(body);
            const [address, port] = vm.front.split(":");
            const headers = {
                host,
                "x-request-deadline": "3000",
                ...(text === ""
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
            };
            const sent = request(
                { host: address, port, method, path, headers, timeout: 3_000, agent: false },
                answer => {
                    const chunks = [];
                    answer.on("data", chunk => chunks.push(chunk));
                    answer.on("error", () => resolve({ status: 0 }));
                    answer.on("end", () => {
                        const answerText = Buffer.concat(chunks).toString("utf8");
                        resolve({ status: answer.statusCode, body: answerText === "" ? {} : JSON.parse(answerText) });
                    });
                },
            );
            sent.on("error", () => resolve({ status: 0 }));
            sent.on("timeout", () => sent.destroy(new Error("no answer")));
            sent.end(text);
        });
    }

    /** Hands in a job, again and again until it is accepted; false when it is not in time. */
    async submit(job, body, within = 20_000) {
        const end = performance.now() + within;
        for (let attempt = 0; performance.now() < end; attempt++) {
            const vm = this.#running()[attempt % this.#running().length];
            const { status } = await this.call(vm, "POST", `/queue/${job}`, body);
            this.record(`POST ${job} at ${vm.name}: ${status}`);
            if (status === 200) {
                return true;
            }
            await sleep(200);
        }
        return false;
    }

    /** State of a job as a VM shows it; undefined without one. */
    async state(job, vm = this.#running()[0]) {
        const { status, body } = await this.call(vm, "GET", `/queue/${job}`);
        return status === 200 ? body.State : status === 410 ? "410" : undefined;
    }

    get running() {
        return this.#running();
    }

    #running() {
        return this.vms.filter(vm => vm.process.exitCode === null && vm.process.signalCode === null);
    }

    kill(vm, signal) {
        this.record(`${signal} to ${vm.name}`);
        vm.process.kill(signal);
    }

    /** Writes the last lines of a VM's log into the record, as far as they are its own report of its end. */
    recordLog(vm) {
        const lines = readFileSync(vm.log, "utf8").split("\n").filter(line => !line.startsWith("{"));
        const own = lines.slice(-maxLogLines).filter(line => line.length < 500);
        own.forEach(line => this.record(`${vm.name}: ${line.replaceAll(`${root}/`, "")}`));
    }

    /** Ends all processes and removes the temporary folder. */
    async close() {
        clearInterval(this.#beat);
        for (const vm of this.vms) {
            vm.process.kill("SIGCONT");
            vm.process.kill("SIGKILL");
        }
        await until(() => this.#running().length === 0, 3_000);
        this.workers.forEach(worker => worker.crash());
        this.workerRelays.forEach(relay => relay.close());
        this.store.close();
        await new Promise(resolve => this.recordFile.end(resolve));
        if (process.env.KEEP === undefined) {
            rmSync(this.#folder, { recursive: true, force: true });
        }
        else {
            console.log(this.#folder);
        }
    }

    #observe(event) {
        this.observed.push({ ...event, at: this.now() });
        if (event.what !== "listed" || event.left > 0) {
            const { what, ...rest } = event;
            this.record(`${what} ${Object.entries(rest).map(([name, value]) => `${name}=${value}`).join(" ")}`);
        }
    }

    #publish() {
        this.workers.filter(worker => !worker.isCut).forEach(worker =>
            this.store.put(`servers/${worker.id}`, worker.entry(++this.#sequence))
        );
    }

    #configure() {
        const route = {
            Name: "queue",
            Host: host,
            PathPrefix: "/queue/",
            Service: "pool",
            Priority: 1,
            Attempts: 3,
            Extension: 3,
            TargetLatencyMs: 1_000,
            TimeoutMs: 3_000,
        };
        const services = [{ Name: "pool", RejectsOverload: false }];
        const limits = { MaxBodyBytes: 262_144 };
        this.store.put(
            "op/config",
            JSON.stringify({ Version: 3, Routes: [route], Services: services, Limits: limits }),
        );
    }

    /** Names of the VMs that have connections to a worker open. */
    callersOf(worker) {
        const processes = this.workerRelays.get(worker).callers;
        return this.vms.filter(vm => processes.has(vm.process)).map(({ name }) => name);
    }

    #makeRelay(target) {
        return new Relay(target, (from, to) => holderOf(this.vms.map(vm => vm.process), from, to));
    }

    #addVm(bounds) {
        const number = ++this.#nextVm;
        const name = `front-zone-a-${number}`;
        // An address of its own for each VM, in the loopback range.
        const ip = `127.${process.pid >> 8 & 0xff}.${process.pid & 0xff}.${number + 1}`;
        const front = `${ip}:8161`;
        const settingsFile = join(this.#folder, `${name}.toml`);
        writeFileSync(
            settingsFile,
            settingsOf({ name, ip, front, store: this.storeAddress, bounds }),
        );
        const vm = { name, front, settingsFile, log: join(this.#folder, `${name}.log`), process: undefined };
        this.vms.push(vm);
        this.restart(vm);
    }

    /** Starts the process of a VM with the command of the deploy file. */
    restart(vm) {
        const [program, ...words] = command();
        const log = openSync(vm.log, "a");
        vm.process = spawn(program === "node" ? process.execPath : program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, PEBBLEDALE_NODE_FILE: vm.settingsFile },
            stdio: ["ignore", log, log],
        });
        vm.process.once("exit", code => code === null ? undefined : this.onEnd(vm, code));
    }
}

/** Settings as of the site bsw-luzon. */
const settingsOf = ({ name, ip, front, store, bounds }) => {
    const allBounds = {
        SeedLagS: 3,
        AddrReuseS: 2,
        ContactMs: 3000,
        AckMs: 4000,
        CatchUpS: 4,
        DrainMs: 2000,
        GraceS: 6,
        LossSlackMs: 200,
        ConfigApplyMs: 2000,
        RollbackSlackMs: 250,
        MaxStretchMs: 5000,
        RecoveryS: 12,
        MaxHoldMs: 6000,
        StopGraceMs: 200,
        GangWaitMs: 3000,
        cancel_ms: 3000,
        visible_ms: 3000,
        early_ms: 250,
        finish_s: 14,
        status_s: 120,
        RemoteFactor: 2,
        CheckpointS: 1,
        RestoreMs: 600,
        NoticeMs: 4500,
        MoveS: 1.5,
        MaintenanceS: 2,
        EnforceFencing: false,
        LeaseMs: 3000,
        ThawSlackMs: 300,
        PaceMs: 100,
        HarmMs: 4000,
        ...bounds,
    };
    return `NodeName = "${name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "${ip}"
Zone = "zone-a"
Region = "region"
InternalPorts = [7720,7735]
Seeds = []
Bootstrap = true
Discovery = "platform"
EntryMode = "vip"
HeartbeatMs = ${heartbeat}
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Commands = "call"
Advice = ""
[Zones]
zone-a = "region"
[ListenAddrs]
Front = "${front}"
Readiness = "${ip}:8167"
[Limits]
CpuShare = 0.675
Cores = 1
MemoryMb = 350
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
${Object.entries(allBounds).map(([key, value]) => `${key} = ${value}`).join("\n")}
[platform]
Address = "${store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`;
};
