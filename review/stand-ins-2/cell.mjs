/** A small deployment on loopback addresses: entry VMs as processes, with stand-ins of the store, the workers and the VM service. */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { call } from "./client.mjs";
import { Cloud } from "./cloud.mjs";
import { EntryVm, findNetwork } from "./entry.mjs";
import { Record, sleep, until } from "./record.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const host = "cell.example";
const prefix = "/jobs/";
/** Last octet of the first machine's address. */
const firstMachine = 100;
/** Ports of workers, below the range that the system uses for outgoing connections. */
const firstPort = 21_000;

/** Starts everything, waits until it serves, and ends all that it started. */
export class Cell {
    vms = [];
    workers = [];
    #nextWorker = 1;
    #version = 0;

    constructor(
        { recordFile, bounds, observer, capacity, vms = 3, workers = 4, withCloud = false, route = {}, perRack = 8 },
    ) {
        this.record = new Record(recordFile);
        this.options = { bounds, observer, capacity, vms, workers, withCloud, route, perRack };
        this.folder = mkdtempSync(join(tmpdir(), "pebbledale-case-"));
        this.store = new Store(this.record);
    }

    get fronts() {
        return this.vms.map(vm => vm.front);
    }

    async start() {
        const { bounds, vms, workers, withCloud } = this.options;
        this.network = await findNetwork(vms);
        this.configure();
        if (withCloud) {
            this.cloud = new Cloud(this);
            await this.cloud.listen();
        }
        for (let index = 0; index < workers; index++) {
            await this.addWorker(`m-${index + 1}`, index);
        }
        const { network } = this;
        const zones = ["zone-a", "zone-b", "zone-c"];
        for (let index = 0; index < vms; index++) {
            const storeAddress = await this.store.listenFor(`front-${index + 1}`);
            const cloudAddress = this.cloud?.address;
            const { folder, record } = this;
            this.vms.push(new EntryVm({ index, network, folder, storeAddress, cloudAddress, bounds, record, zones }));
        }
        this.vms.forEach(vm => vm.start());
        const isServing = await until(async () => await this.#areAllServing(), 20_000, 100);
        this.record.write(isServing ? "all VMs answer" : "not all VMs answer");
        return isServing;
    }

    async #areAllServing() {
        const answers = await Promise.all(
            this.fronts.map(front => call(front, "GET", prefix, { host, deadline: 1_000 })),
        );
        return answers.every(({ status }) => status === 200);
    }

    /** Publishes a newer version of the configuration. */
    configure(change = {}) {
        this.#version += 3;
        const route = {
            Name: "jobs",
            Host: host,
            PathPrefix: prefix,
            Service: "pool",
            Priority: 1,
            Attempts: 3,
            Extension: 4,
            TargetLatencyMs: 1_000,
            TimeoutMs: 3_000,
            ...this.options.route,
            ...change,
        };
        this.store.put("op/config", {
            Version: this.#version,
            Routes: [route],
            Services: [{ Name: "pool", RejectsOverload: false }],
            Limits: { MaxBodyBytes: 262_144 },
        });
    }

    /** Starts a worker on a machine and lists it. Without a port it gets one that was not used before. */
    async addWorker(machine, index, port) {
        const { bounds, observer, capacity, perRack } = this.options;
        const number = this.#nextWorker++;
        const worker = new Worker(`w${String(number).padStart(3, "0")}`, {
            maxHold: bounds.MaxHoldMs,
            observer,
        });
        worker.machine = machine;
        worker.index = index;
        await worker.listen(`${this.network}.${firstMachine + index}`, port ?? firstPort + number);
        this.workers.push(worker);
        this.store.put(`servers/${worker.id}`, {
            Service: "pool",
            Address: worker.address,
            Zone: ["zone-a", "zone-b", "zone-c"][index % 3],
            Version: "v1",
            Slots: 8,
            State: "ready",
            ColdRemainingMs: 0,
            SeqNum: 1,
            Machine: machine,
            Capacity: capacity,
            Labels: ["kind-a", `r${1 + Math.floor(index / perRack)}`],
        });
        return worker;
    }

    /** The VM that last wrote to the store under a condition. */
    get leader() {
        return this.vms.find(vm => vm.name === this.store.lastWriter);
    }

    /** Hands a job in at one front after the other until it is accepted; false when it is not. */
    async submit(id, body, fronts = this.fronts) {
        for (let attempt = 0; attempt < 60; attempt++) {
            const front = fronts[attempt % fronts.length];
            const { status } = await call(front, "POST", `${prefix}${id}`, { host, body });
            this.record.write(`client: POST ${prefix}${id} at ${front}: ${status || "no answer"}`);
            if (status >= 200 && status < 300) {
                return true;
            }
            await sleep(200);
        }
        return false;
    }

    async stateOf(id, front = this.fronts[0]) {
        const { status, body } = await call(front, "GET", `${prefix}${id}`, { host });
        this.record.write(`client: GET ${prefix}${id} at ${front}: ${status || "no answer"} ${JSON.stringify(body)}`);
        return { status, state: body.State };
    }

    async cancel(id, front = this.fronts[0]) {
        const { status } = await call(front, "DELETE", `${prefix}${id}`, { host });
        this.record.write(`client: DELETE ${prefix}${id} at ${front}: ${status || "no answer"}`);
        return status;
    }

    async close() {
        this.vms.forEach(vm => vm.end());
        await Promise.all(this.workers.map(worker => worker.die("the case is over")?.catch(() => undefined)));
        await this.cloud?.close();
        await this.store.close();
        this.record.flush();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            process.stderr.write(`logs: ${this.folder}\n`);
        }
    }
}

/** Runs a case and exits with its result: 0 held, 1 broken, 2 could not run. */
export const runCase = async (cell, play) => {
    const end = async code => {
        await cell.close();
        process.exit(code);
    };
    ["SIGTERM", "SIGINT"].forEach(name => process.once(name, () => void end(2)));
    const limit = setTimeout(() => {
        cell.record.write("could not run: the case took too long");
        void end(2);
    }, 110_000);
    try {
        if (!await cell.start()) {
            return await end(2);
        }
        const { broken, unusable } = await play();
        clearTimeout(limit);
        if (unusable !== undefined) {
            cell.record.write(`could not run: ${unusable}`);
            return await end(2);
        }
        cell.record.write(broken.length === 0 ? "the rule held" : `the rule was broken ${broken.length} times`);
        broken.slice(0, 20).forEach(text => cell.record.write(`  ${text}`));
        process.stdout.write(broken.length === 0 ? "held\n" : `broken: ${broken[0]} (${broken.length} in all)\n`);
        return await end(broken.length === 0 ? 0 : 1);
    }
    catch (cause) {
        cell.record.write(`could not run: ${cause.stack}`);
        return await end(2);
    }
};
