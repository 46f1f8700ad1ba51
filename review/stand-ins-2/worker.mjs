/** A stand-in of a worker. */
import { JsonServer } from "./http-server.mjs";
import { now } from "./record.mjs";

/** At most this many ends come in one answer. */
const maxEndsAtOnce = 500;
const tickInterval = 5;
/** A task that lasts is at work after this time, in milliseconds. */
export const startTime = 200;

/**
 * Runs tasks as their `Spec` says: JSON with `ms` (how long; `{"ms":[first,last,count]}` for a length that changes from task to task), or `lasts`.
 * `observer` is told of each begin and end, and of each end that was taken note of.
 */
export class Worker {
    #server = new JsonServer(call => this.#answer(call));
    #runs = new Map();
    #ended = [];
    #nextEnd = 1;
    #fence = 0;
    #leaseUntil = 0;
    #rejected = new Map();
    #waiting = new Set();
    #timer = setInterval(() => this.#tick(), tickInterval);
    #bornAt = now();
    address;
    /** When its lease was last over; never at first. */
    lapsedAt = -Infinity;

    constructor(id, { maxHold, observer }) {
        this.id = id;
        this.maxHold = maxHold;
        this.observer = observer;
    }

    async listen(host, port) {
        this.address = await this.#server.listen(host, port);
        return this.address;
    }

    get runCount() {
        return this.#runs.size;
    }

    /** Ends at once with everything that runs here. */
    async die(how = "died with its worker") {
        clearInterval(this.#timer);
        for (const run of this.#runs.values()) {
            this.observer.ended(this, run, how);
        }
        this.#runs.clear();
        await this.#server.close();
    }

    /** Its own steady clock. */
    #clock() {
        return Math.floor(now() - this.#bornAt);
    }

    async #answer({ method, path, body, headers, closed }) {
        if (headers["x-expected-instance"] !== this.id) {
            return [421, {}];
        }
        if (method !== "POST") {
            return [404, {}];
        }
        const token = body.FenceToken ?? 0;
        if (token < this.#fence) {
            return this.#reject("fence");
        }
        this.#fence = token;
        switch (path) {
            case "/run-start":
                return this.#start(body);
            case "/run-stop":
                return this.#stop(body);
            case "/hold":
                return this.#hold(body, closed);
            case "/pace":
                return [200, { ClockMs: this.#clock() }];
        }
        return [404, {}];
    }

    #reject(reason) {
        return [409, { ClockMs: this.#clock(), Reason: reason }];
    }

    #extendLease(deadline) {
        const until = Math.min(deadline ?? 0, this.#clock() + this.maxHold);
        this.#leaseUntil = Math.max(this.#leaseUntil, until);
    }

    #start({ Task: task, RunId: run, Spec, DeadlineMs, Checkpoint }) {
        if (this.#runs.get(task)?.run === run) {
            return [200, { ClockMs: this.#clock() }];
        }
        if (DeadlineMs <= this.#clock()) {
            return this.#reject("late");
        }
        this.#extendLease(DeadlineMs);
        if (run <= (this.#rejected.get(task) ?? 0)) {
            return this.#reject("old");
        }
        const script = JSON.parse(Spec);
        const entry = { task, run, script, startedAt: this.#clock(), length: lengthOf(script, task), Checkpoint };
        this.#runs.set(task, entry);
        this.observer.began(this, entry);
        return [200, { ClockMs: this.#clock() }];
    }

    #stop({ Task: task, RunId: run }) {
        this.#rejected.set(task, Math.max(run, this.#rejected.get(task) ?? 0));
        const entry = this.#runs.get(task);
        if (entry?.run === run) {
            this.#end(entry, "stopped");
        }
        return [200, { ClockMs: this.#clock() }];
    }

    async #hold({ LastSeen = 0, DeadlineMs, WaitMs = 0 }, closed) {
        this.#extendLease(DeadlineMs);
        for (const end of this.#ended.filter(({ number }) => number <= LastSeen)) {
            this.observer.noted(this, end);
        }
        this.#ended = this.#ended.filter(({ number }) => number > LastSeen);
        if (this.#ended.length === 0 && WaitMs > 0) {
            await this.#untilEnd(Math.min(WaitMs, 2_000));
            if (closed()) {
                return undefined;
            }
        }
        const Running = [...this.#runs.values()].map(entry => [entry.task, entry.run, "", this.#percentOf(entry), 0]);
        const Ended = this.#ended.slice(0, maxEndsAtOnce).map((
            { number, task, run, how },
        ) => [number, task, run, how, ""]);
        this.observer.listed?.(this, Running.length, Ended.length, this.#ended.length);
        return [200, { ClockMs: this.#clock(), Running, Ended }];
    }

    #percentOf({ script, startedAt, length }) {
        const age = this.#clock() - startedAt;
        return script.lasts ? (age >= startTime ? 100 : 0) : Math.min(99, Math.floor(100 * age / length));
    }

    #untilEnd(limit) {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.#waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, limit);
            this.#waiting.add(wake);
        });
    }

    #tick() {
        const clock = this.#clock();
        if (clock > this.#leaseUntil) {
            this.lapsedAt = now();
        }
        for (const entry of [...this.#runs.values()]) {
            if (clock > this.#leaseUntil) {
                this.#end(entry, "lapsed");
            }
            else if (!entry.script.lasts && clock - entry.startedAt >= entry.length) {
                this.#end(entry, "done");
            }
        }
    }

    #end(entry, how) {
        this.#runs.delete(entry.task);
        this.#rejected.set(entry.task, Math.max(entry.run, this.#rejected.get(entry.task) ?? 0));
        this.#ended.push({ number: this.#nextEnd++, task: entry.task, run: entry.run, how });
        this.observer.ended(this, entry, how);
        [...this.#waiting].forEach(wake => wake());
    }
}

/** A length, or one that changes evenly from the first task of a step to the last one. */
const lengthOf = ({ ms }, task) => {
    if (!Array.isArray(ms)) {
        return ms;
    }
    const [first, last, count] = ms;
    const index = Number(task.split(".").at(-1));
    return first + (last - first) * index / (count - 1);
};
