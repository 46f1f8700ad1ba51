/** Entry VMs: the project's own program, started as the deploy file says. */
import { spawn } from "node:child_process";
import { openSync, readFileSync, writeFileSync } from "node:fs";
import { createConnection } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));
const ports = { front: 8_161, readiness: 8_167, peers: 7_720, metrics: 9_464 };

const runCommand = () => {
    const line = readFileSync(join(root, "deploy/system.toml"), "utf8").split("\n").find(text =>
        text.startsWith("run = ")
    );
    return JSON.parse(line.slice("run = ".length)).split(" ");
};

const isFree = (host, port) =>
    new Promise(resolve => {
        const socket = createConnection({ host, port });
        socket.on("connect", () => {
            socket.destroy();
            resolve(false);
        });
        socket.on("error", () => resolve(true));
    });

/** A loopback network in which the ports of all VMs are free. */
export const findNetwork = async vms => {
    for (let attempt = 0; attempt < 50; attempt++) {
        const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const checks = Array.from({ length: vms }, (_, index) => index + 2).flatMap(last =>
            Object.values(ports).map(port => isFree(`${network}.${last}`, port))
        );
        if ((await Promise.all(checks)).every(free => free)) {
            return network;
        }
    }
    throw new Error("no free loopback addresses");
};

/** One entry VM. */
export class EntryVm {
    process;

    constructor({ index, network, folder, storeAddress, cloudAddress, bounds, record, zones }) {
        this.name = `front-${index + 1}`;
        this.ip = `${network}.${index + 2}`;
        this.front = `${this.ip}:${ports.front}`;
        this.record = record;
        this.log = join(folder, `${this.name}.log`);
        this.settingsFile = join(folder, `${this.name}.toml`);
        const lines = Object.entries(bounds).map(([name, value]) => `${name} = ${value}`);
        writeFileSync(
            this.settingsFile,
            `NodeName = "${this.name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "${this.ip}"
Zone = "${zones[index % zones.length]}"
Region = "region"
InternalPorts = [${ports.peers}, ${ports.peers + 15}]
Seeds = []
Bootstrap = true
Discovery = "platform"
EntryMode = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Commands = "call"
[Zones]
${zones.map(zone => `${zone} = "region"`).join("\n")}
[ListenAddrs]
Front = "${this.front}"
Readiness = "${this.ip}:${ports.readiness}"
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
${lines.join("\n")}
[platform]
Address = "${storeAddress}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
${
                cloudAddress === undefined
                    ? ""
                    : `[CloudApi]\nAddress = "${cloudAddress}"\nRatePerS = 60.0\nDuties = []\nDutyPerS = 60.0\n`
            }`,
        );
    }

    start() {
        const [program, ...args] = runCommand();
        const log = openSync(this.log, "a");
        const { PATH, HOME, LANG } = process.env;
        this.process = spawn(program, args, {
            cwd: root,
            env: { PATH, HOME, LANG, PEBBLEDALE_NODE_FILE: this.settingsFile },
            stdio: ["ignore", log, log],
        });
        this.record.write(`${this.name} starts (process ${this.process.pid})`);
    }

    signal(name) {
        this.record.write(`${this.name} gets ${name}`);
        this.process.kill(name);
    }

    /** Ends the process, also a stopped one. */
    end() {
        this.process?.kill("SIGKILL");
    }
}
