/** A stand-in of the platform's metadata store. */
import { JsonServer } from "./http-server.mjs";
import { now, sleep } from "./record.mjs";

const maxItems = 500;
const maxPageBytes = 1_000_000;
const usualAnswerTime = 4;

const encode = text => Buffer.from(text, "utf8").toString("base64");

/** Keeps items, leases and the history of changes in memory. Each VM has an address of its own, so that its calls can be told apart. */
export class Store {
    #items = new Map();
    #leases = new Map();
    #events = [];
    #watchers = new Set();
    #servers = [];
    #nextLease = 1;
    #expiring;
    revision = 1;
    /** While it is down, calls are neither carried out nor answered, and leases wait. */
    isDown = false;
    /** Time of an answer, in milliseconds. A call is carried out at the end of it, if its caller is still there. */
    answerTime = usualAnswerTime;
    /** Name of the VM that last wrote under a condition. */
    lastWriter;

    constructor(record) {
        this.record = record;
        this.#expiring = setInterval(() => this.#expireLeases(), 10);
    }

    /** Opens an address for the calls of one VM. */
    async listenFor(vm) {
        const server = new JsonServer(call => this.#answer(vm, call));
        this.#servers.push(server);
        return server.listen();
    }

    /** Takes the store down for a while. */
    async goDown(milliseconds) {
        this.record.write(`the store is down for ${milliseconds} ms`);
        this.isDown = true;
        const since = now();
        await sleep(milliseconds);
        this.#leases.forEach(lease => lease.expiresAt += now() - since);
        this.isDown = false;
        this.record.write("the store is back");
    }

    /** Takes `factor` times as long as usual to answer, for a while. */
    async slowDown(factor, milliseconds) {
        this.record.write(`the store is ${factor} times as slow for ${milliseconds} ms`);
        this.answerTime = factor * usualAnswerTime;
        await sleep(milliseconds);
        this.answerTime = usualAnswerTime;
        this.record.write("the store is as fast as usual");
    }

    /** Writes a key as an operator or a worker does. */
    put(key, value) {
        this.#write(key, encode(JSON.stringify(value)), 0);
    }

    remove(key) {
        this.#delete(key);
    }

    /** The value of a key, decoded from base64; undefined when it is missing. */
    read(key) {
        const item = this.#items.get(key);
        return item && Buffer.from(item.Value, "base64").toString("utf8");
    }

    async close() {
        clearInterval(this.#expiring);
        await Promise.all(this.#servers.map(server => server.close()));
    }

    async #answer(vm, call) {
        if (this.isDown) {
            return undefined;
        }
        await sleep(this.answerTime);
        if (this.isDown || call.closed()) {
            return undefined;
        }
        const { method, path, query, body } = call;
        switch (`${method} ${path}`) {
            case "GET /kv-key":
                return this.#get(query.get("TlsKey"));
            case "GET /kv-range":
                return this.#range(query.get("PathPrefix"), query.get("AfterRev") ?? "");
            case "GET /kv-watch":
                return this.#watch(call);
            case "POST /kv-txn":
                return this.#transact(vm, body);
            case "POST /kv-lease":
                return this.#grant(body.TtlMs);
        }
        if (method === "POST" && path.startsWith("/kv-keep/")) {
            return this.#keep(Number(path.slice("/kv-keep/".length)));
        }
        if (method === "DELETE" && path.startsWith("/kv-lease-end/")) {
            return this.#end(Number(path.slice("/kv-lease-end/".length)));
        }
        return [404, {}];
    }

    #get(key) {
        const item = this.#items.get(key);
        return item === undefined
            ? [404, { StoreRevision: this.revision }]
            : [200, { ...item, StoreRevision: this.revision }];
    }

    #range(prefix, after) {
        const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const items = [];
        let bytes = 0;
        for (const key of keys) {
            const item = this.#items.get(key);
            bytes += item.Value.length;
            if (items.length === maxItems || items.length > 0 && bytes > maxPageBytes) {
                break;
            }
            items.push(item);
        }
        return [200, { items, Truncated: items.length < keys.length, StoreRevision: this.revision }];
    }

    #changesAfter(prefix, revision) {
        return this.#events.filter(event => event.Revision > revision && event.TlsKey.startsWith(prefix));
    }

    async #watch({ query, onClose }) {
        const prefix = query.get("PathPrefix");
        const after = Number(query.get("AfterRev"));
        let events = this.#changesAfter(prefix, after);
        if (events.length === 0) {
            await new Promise(resolve => {
                const watcher = { prefix, wake: resolve };
                this.#watchers.add(watcher);
                const timer = setTimeout(resolve, Math.min(Number(query.get("WaitMs") ?? 0), 30_000));
                onClose(resolve);
                watcher.wake = () => {
                    clearTimeout(timer);
                    this.#watchers.delete(watcher);
                    resolve();
                };
            });
            if (this.isDown) {
                return undefined;
            }
            events = this.#changesAfter(prefix, after);
        }
        return [200, { events, StoreRevision: this.revision }];
    }

    #transact(vm, { ExpectedRev = [], SetKeys = [], Remove = [] }) {
        const written = [...SetKeys.map(({ TlsKey }) => TlsKey), ...Remove];
        if (written.some(key => key.startsWith("op/") || key.startsWith("servers/"))) {
            return [403, {}];
        }
        if (ExpectedRev.some(({ TlsKey, Revision }) => (this.#items.get(TlsKey)?.Revision ?? 0) !== Revision)) {
            const items = ExpectedRev.flatMap(({ TlsKey }) => this.#items.get(TlsKey) ?? []);
            return [412, { items, StoreRevision: this.revision }];
        }
        if (SetKeys.some(({ Lease }) => (Lease ?? 0) !== 0 && !this.#leases.has(Lease))) {
            return [404, {}];
        }
        this.lastWriter = vm;
        SetKeys.forEach(({ TlsKey, Value, Lease }) => this.#write(TlsKey, Value, Lease ?? 0));
        Remove.forEach(key => this.#delete(key));
        return [200, { Revision: this.revision }];
    }

    #write(key, value, lease) {
        this.revision++;
        const created = this.#items.get(key)?.Created ?? this.revision;
        const item = { TlsKey: key, Value: value, Revision: this.revision, Created: created, Lease: lease };
        this.#items.set(key, item);
        this.#publish(item);
    }

    #delete(key) {
        if (this.#items.delete(key)) {
            this.revision++;
            this.#publish({ TlsKey: key, Revision: this.revision, Deleted: true, Value: "" });
        }
    }

    #publish(event) {
        this.#events.push(event);
        if (this.#events.length > 20_000) {
            this.#events.splice(0, 5_000);
        }
        [...this.#watchers].filter(({ prefix }) => event.TlsKey.startsWith(prefix)).forEach(({ wake }) => wake());
    }

    #grant(duration) {
        const lease = this.#nextLease++;
        this.#leases.set(lease, { duration, expiresAt: now() + duration });
        return [200, { Lease: lease, TtlMs: duration }];
    }

    #keep(id) {
        const lease = this.#leases.get(id);
        if (lease === undefined) {
            return [404, {}];
        }
        lease.expiresAt = now() + lease.duration;
        return [200, { TtlMs: lease.duration }];
    }

    #end(id) {
        this.#leases.delete(id);
        [...this.#items.values()].filter(({ Lease }) => Lease === id).forEach(({ TlsKey }) => this.#delete(TlsKey));
        return [200, {}];
    }

    #expireLeases() {
        if (!this.isDown) {
            [...this.#leases].filter(([, { expiresAt }]) => expiresAt < now()).forEach(([id]) => this.#end(id));
        }
    }
}
