/** A relay in front of a stand-in, which tells by whom it is called. */
import { readdirSync, readFileSync, readlinkSync } from "node:fs";
import { connect, createServer } from "node:net";

const maxReads = 5;

/** Passes connections on to a target, and tells which processes have opened them. */
export class Relay {
    #clients = new Set();
    #server = createServer(client => this.#connect(client));

    /** `processOf`: the process that opened the connection from one local port to another. */
    constructor(target, processOf) {
        this.target = target;
        this.processOf = processOf;
    }

    listen() {
        return new Promise(resolve =>
            this.#server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${this.#server.address().port}`))
        );
    }

    /** Processes that have connections open. */
    get callers() {
        const { port } = this.#server.address();
        return new Set([...this.#clients].map(client => this.processOf(client.remotePort, port)));
    }

    close() {
        this.#server.close();
        this.#clients.forEach(client => client.destroy());
    }

    #connect(client) {
        const [host, port] = this.target.split(":");
        const upstream = connect(Number(port), host);
        this.#clients.add(client);
        client.on("error", () => undefined);
        upstream.on("error", () => undefined);
        client.on("close", () => {
            this.#clients.delete(client);
            upstream.destroy();
        });
        upstream.on("close", () => client.destroy());
        client.pipe(upstream);
        upstream.pipe(client);
    }
}

/** Process, among those given, that has the connection from one local port to another open; undefined when none has. */
export const holderOf = (processes, localPort, remotePort) => {
    const hex = port => port.toString(16).toUpperCase().padStart(4, "0");
    // Columns: local address, remote address, state (01: established), queues, timer, retransmissions, user, timeout, inode.
    const pattern = new RegExp(`:${hex(localPort)} [0-9A-F]{8}:${hex(remotePort)} 01 (?:\\S+ +){5}(\\d+)`);
    // The kernel gives the table in parts, so that a row may be missing while others come and go.
    let inode;
    for (let attempt = 0; attempt < maxReads && inode === undefined; attempt++) {
        inode = pattern.exec(readFileSync("/proc/net/tcp", "utf8"))?.[1];
    }
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
