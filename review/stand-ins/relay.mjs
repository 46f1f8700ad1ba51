/** A relay in front of a stand-in or a VM, which cuts the paths of single VMs to it. */
import { readdirSync, readFileSync, readlinkSync } from "node:fs";
import { connect, createServer } from "node:net";

export class Relay {
    /** Names of the VMs whose path to the target is cut: their connections are reset, new ones too. */
    #cut = new Set();
    #connections = new Map();
    #server = createServer(client => this.#connect(client));

    /** `vmOf`: name of the VM whose process opened the connection with this local port. */
    constructor(target, vmOf) {
        this.target = target;
        this.vmOf = vmOf;
    }

    listen() {
        return new Promise(resolve =>
            this.#server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${this.#server.address().port}`))
        );
    }

    /** Names of the VMs that have connections open. */
    get vms() {
        return new Set([...this.#connections.values()].map(({ vm }) => vm));
    }

    /** Cuts the paths of the VMs for which the predicate holds. */
    cut(names) {
        names.forEach(name => this.#cut.add(name));
        for (const [client, { vm, upstream }] of this.#connections) {
            if (this.#cut.has(vm)) {
                client.resetAndDestroy();
                upstream.resetAndDestroy();
            }
        }
    }

    heal() {
        this.#cut.clear();
    }

    close() {
        this.#server.close();
        for (const [client, { upstream }] of this.#connections) {
            client.destroy();
            upstream.destroy();
        }
    }

    #connect(client) {
        client.on("error", () => undefined);
        const vm = this.vmOf(client.remotePort, this.#server.address().port);
        if (this.#cut.has(vm)) {
            client.resetAndDestroy();
            return;
        }
        const [host, port] = this.target.split(":");
        const upstream = connect(Number(port), host);
        upstream.on("error", () => undefined);
        this.#connections.set(client, { vm, upstream });
        client.pipe(upstream);
        upstream.pipe(client);
        client.on("close", () => {
            this.#connections.delete(client);
            upstream.destroy();
        });
        upstream.on("close", () => client.destroy());
    }
}

/** Process, among those given, that has the connection from one local port to another open; undefined when none has. */
export const holderOf = (processes, localPort, remotePort) => {
    const hex = port => port.toString(16).toUpperCase().padStart(4, "0");
    // Columns: local address, remote address, state (01: established), queues, timer, retransmissions, user, timeout, inode.
    const pattern = new RegExp(`:${hex(localPort)} [0-9A-F]{8}:${hex(remotePort)} 01 (?:\\S+ +){5}(\\d+)`);
    const inode = pattern.exec(readFileSync("/proc/net/tcp", "utf8"))?.[1];
    return inode === undefined ? undefined : processes.find(({ pid }) => hasSocket(pid, inode));
};

const hasSocket = (pid, inode) => {
    try {
        return readdirSync(`/proc/${pid}/fd`).some(fd => {
            try {
                return readlinkSync(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`;
            }
            catch {
                return false;
            }
        });
    }
    catch {
        return false;
    }
};
