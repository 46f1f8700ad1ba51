/** A small stand-in of the platform's metadata store, as PROTOCOL.md describes it, with faults set by the test. */
import { createServer } from "node:http";

const maxPageItems = 500;
const expiryInterval = 20;

export class Store {
    /** How slow the store is: a call is carried out and answered so many milliseconds after it came, unless its connection is gone. */
    delay = 0;
    #revision = 1;
    #items = new Map();
    #history = [];
    #leases = new Map();
    #nextLease = 1;
    #watchers = new Set();
    #server = createServer((request, response) => void this.#serve(request, response));

    constructor() {
        setInterval(() => this.#expire(), expiryInterval).unref();
    }

    listen() {
        return new Promise(resolve =>
            this.#server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${this.#server.address().port}`))
        );
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes a key as the operator or a worker does. */
    put(key, value) {
        this.#set(key, Buffer.from(value).toString("base64"), 0);
        this.#notify();
    }

    /** Removes a key as the end of a worker's entry does. */
    remove(key) {
        if (this.#items.has(key)) {
            this.#drop(key);
            this.#notify();
        }
    }

    /** Name in the owner's key, undefined while there is none. */
    owner() {
        const item = this.#items.get("cell/owner");
        return item === undefined ? undefined : JSON.parse(Buffer.from(item.Value, "base64").toString("utf8")).name;
    }

    #set(key, value, lease) {
        const revision = ++this.#revision;
        const created = this.#items.get(key)?.Created ?? revision;
        const item = { TlsKey: key, Value: value, Revision: revision, Created: created, Lease: lease };
        this.#items.set(key, item);
        this.#history.push(item);
        return revision;
    }

    #drop(key) {
        this.#items.delete(key);
        this.#history.push({ TlsKey: key, Value: "", Revision: ++this.#revision, Deleted: true });
    }

    #notify() {
        const watchers = [...this.#watchers];
        watchers.forEach(wake => wake());
    }

    #expire() {
        for (const [lease, { until }] of this.#leases) {
            if (until < performance.now()) {
                this.#endLease(lease);
            }
        }
    }

    #endLease(lease) {
        this.#leases.delete(lease);
        [...this.#items.values()].filter(item => item.Lease === lease).forEach(item => this.#drop(item.TlsKey));
        this.#notify();
    }

    async #serve(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const text = Buffer.concat(chunks).toString("utf8");
        const url = new URL(request.url, "http://store");
        if (this.delay > 0) {
            await new Promise(resolve => setTimeout(resolve, this.delay));
            if (request.socket.destroyed) {
                return;
            }
        }
        const [status, body] = await this.#answer(request, url, text === "" ? {} : JSON.parse(text));
        response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    #answer(request, url, body) {
        const { pathname, searchParams: query } = url;
        switch (`${request.method} ${pathname.split("/").slice(0, 2).join("/")}`) {
            case "GET /kv-key": {
                const item = this.#items.get(query.get("TlsKey"));
                return item === undefined ? [404, {}] : [200, { ...item, StoreRevision: this.#revision }];
            }
            case "GET /kv-range":
                return this.#range(query.get("PathPrefix"), query.get("AfterRev") ?? "");
            case "GET /kv-watch":
                return this.#watch(
                    query.get("PathPrefix"),
                    Number(query.get("AfterRev")),
                    Number(query.get("WaitMs")),
                    request,
                );
            case "POST /kv-txn":
                return this.#transact(body);
            case "POST /kv-lease": {
                const lease = this.#nextLease++;
                this.#leases.set(lease, { until: performance.now() + body.TtlMs, ttl: body.TtlMs });
                return [200, { Lease: lease, TtlMs: body.TtlMs }];
            }
            case "POST /kv-keep": {
                const lease = this.#leases.get(Number(pathname.split("/")[2]));
                if (lease === undefined) {
                    return [404, {}];
                }
                lease.until = performance.now() + lease.ttl;
                return [200, {}];
            }
            case "DELETE /kv-lease-end":
                this.#endLease(Number(pathname.split("/")[2]));
                return [200, {}];
            default:
                return [404, {}];
        }
    }

    #range(prefix, after) {
        const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const items = keys.slice(0, maxPageItems).map(key => this.#items.get(key));
        return [200, { items, Truncated: keys.length > maxPageItems, StoreRevision: this.#revision }];
    }

    async #watch(prefix, after, wait, request) {
        const eventsAfter = () =>
            this.#history.filter(event => event.Revision > after && event.TlsKey.startsWith(prefix));
        if (eventsAfter().length === 0 && wait > 0) {
            await new Promise(resolve => {
                const finish = () => {
                    this.#watchers.delete(check);
                    clearTimeout(timer);
                    request.socket.off("close", finish);
                    resolve();
                };
                const check = () => eventsAfter().length > 0 && finish();
                const timer = setTimeout(finish, wait);
                this.#watchers.add(check);
                request.socket.once("close", finish);
            });
        }
        return [200, { events: eventsAfter(), StoreRevision: this.#revision }];
    }

    #transact({ ExpectedRev = [], SetKeys = [], Remove = [] }) {
        const keys = [...SetKeys.map(entry => entry.TlsKey), ...Remove];
        if (keys.some(key => key.startsWith("op/") || key.startsWith("servers/"))) {
            return [403, {}];
        }
        const revisionOf = key => this.#items.get(key)?.Revision ?? 0;
        if (ExpectedRev.some(({ TlsKey, Revision }) => revisionOf(TlsKey) !== Revision)) {
            const items = ExpectedRev.flatMap(({ TlsKey }) => this.#items.get(TlsKey) ?? []);
            return [412, { items }];
        }
        if (SetKeys.some(({ Lease }) => Lease > 0 && !this.#leases.has(Lease))) {
            return [404, {}];
        }
        SetKeys.forEach(({ TlsKey, Value, Lease = 0 }) => this.#set(TlsKey, Value, Lease));
        Remove.filter(key => this.#items.has(key)).forEach(key => this.#drop(key));
        this.#notify();
        return [200, { Revision: this.#revision }];
    }
}
