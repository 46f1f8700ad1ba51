/** A small stand-in of a worker, as PROTOCOL.md describes it. What a task does stands in its `Spec`. */
import { createServer } from "node:http";

const tick = 5;
const maxEnds = 500;
const maxLease = 6_000;
const stopTime = 50;

export class Worker {
    /** Whether the worker is cut off: it gets no call and gives no answer, and runs on. */
    isCut = false;
    #runs = new Map();
    #ended = [];
    #lastRuns = new Map();
    #token = 0;
    #leaseUntil = 0;
    #nextEnd = 1;
    #startedAt = performance.now();
    #waiting = new Set();
    #server = createServer((request, response) => void this.#serve(request, response));
    #timer = setInterval(() => this.#tick(), tick);

    /** `clockRate`: its steady clock may run up to 2% slow. `observe`: gets what the worker sees: starts, ends, and ends that were taken note of. */
    constructor(
        id,
        { cpu = 64_000, memory = 131_072, label = "a", rack = "r1", zone = "zone-a", clockRate = 1 },
        observe,
    ) {
        this.id = id;
        this.settings = { cpu, memory, label, rack, zone, clockRate };
        this.observe = observe;
    }

    async listen() {
        this.address = await new Promise(resolve =>
            this.#server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${this.#server.address().port}`))
        );
    }

    entry(sequence) {
        const { cpu, memory, label, rack, zone } = this.settings;
        return JSON.stringify({
            Service: "pool",
            Address: this.address,
            Zone: zone,
            Version: "v1",
            Slots: 8,
            State: "ready",
            ColdRemainingMs: 0,
            SeqNum: sequence,
            Machine: `m-${this.id}`,
            Capacity: { Cpu: cpu, MemMb: memory, Gpu: 0 },
            Labels: [label, rack],
        });
    }

    /** Ends without notice; everything that runs is gone. */
    crash() {
        clearInterval(this.#timer);
        for (const { task, run } of this.#runs.values()) {
            this.observe({ what: "gone", worker: this.id, task, run });
        }
        this.#runs.clear();
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Ends, oldest first, that no call has named as seen. */
    get unseenEnds() {
        return this.#ended.length;
    }

    get running() {
        return this.#runs.size;
    }

    #now() {
        return Math.floor((performance.now() - this.#startedAt) * this.settings.clockRate);
    }

    async #serve(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (this.isCut) {
            return;
        }
        const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const [status, answer] = await this.#answer(request, body);
        if (!this.isCut && !response.destroyed) {
            response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(answer));
        }
    }

    async #answer(request, body) {
        if (request.headers["x-expected-instance"] !== this.id) {
            return [421, {}];
        }
        if (body.FenceToken < this.#token) {
            return [409, { ClockMs: this.#now(), Reason: "fence" }];
        }
        this.#token = body.FenceToken;
        this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(body.DeadlineMs ?? 0, this.#now() + maxLease));
        switch (request.url) {
            case "/run-start":
                return this.#start(body);
            case "/run-stop":
                return this.#stop(body);
            case "/hold":
                return this.#hold(body);
            case "/pace":
                return [200, { ClockMs: this.#now() }];
            default:
                return [404, {}];
        }
    }

    #start({ Task: task, RunId: run, Spec, DeadlineMs }) {
        const key = `${task}#${run}`;
        const refuse = reason => [409, { ClockMs: this.#now(), Reason: reason }];
        if (DeadlineMs <= this.#now()) {
            return refuse("late");
        }
        if (this.#runs.has(key)) {
            return [200, { ClockMs: this.#now() }];
        }
        if (run <= (this.#lastRuns.get(task) ?? 0)) {
            return refuse("old");
        }
        const script = JSON.parse(Spec);
        const index = Number(task.split(".")[3]);
        const { milliseconds, eachIndex = 0 } = script;
        this.#runs.set(key, { task, run, work: milliseconds + eachIndex * index, startedAt: this.#now() });
        this.observe({ what: "start", worker: this.id, task, run });
        return [200, { ClockMs: this.#now() }];
    }

    #stop({ Task: task, RunId: run }) {
        const known = this.#runs.get(`${task}#${run}`);
        if (known === undefined) {
            return [409, { ClockMs: this.#now(), Reason: "old" }];
        }
        known.stopAt ??= this.#now() + stopTime;
        return [200, { ClockMs: this.#now() }];
    }

    async #hold({ LastSeen = 0, WaitMs = 0 }) {
        for (const { number, task, run, how } of this.#ended.filter(end => end.number <= LastSeen)) {
            this.observe({ what: "noted", worker: this.id, number, task, run, how });
        }
        this.#ended = this.#ended.filter(end => end.number > LastSeen);
        if (this.#ended.length === 0 && WaitMs > 0) {
            await new Promise(resolve => {
                const finish = () => {
                    this.#waiting.delete(finish);
                    clearTimeout(timer);
                    resolve();
                };
                const timer = setTimeout(finish, WaitMs);
                this.#waiting.add(finish);
            });
        }
        const now = this.#now();
        const running = [...this.#runs.values()].map((
            { task, run, work, startedAt },
        ) => [task, run, "", Math.min(99, Math.floor(100 * (now - startedAt) / work)), 0]);
        const ended = this.#ended.slice(0, maxEnds).map(({ number, task, run, how }) => [number, task, run, how, ""]);
        this.observe({
            what: "listed",
            worker: this.id,
            running: running.length,
            ended: ended.length,
            left: this.#ended.length - ended.length,
        });
        return [200, { ClockMs: now, Running: running, Ended: ended }];
    }

    #tick() {
        const now = this.#now();
        for (const entry of this.#runs.values()) {
            if (entry.startedAt + entry.work <= now) {
                this.#end(entry, "done");
            }
            else if (entry.stopAt <= now) {
                this.#end(entry, "stopped");
            }
            else if (now > this.#leaseUntil) {
                this.#end(entry, "lapsed");
            }
        }
    }

    #end({ task, run }, how) {
        this.#runs.delete(`${task}#${run}`);
        this.#lastRuns.set(task, Math.max(run, this.#lastRuns.get(task) ?? 0));
        const number = this.#nextEnd++;
        this.#ended.push({ number, task, run, how });
        this.observe({ what: "end", worker: this.id, number, task, run, how });
        [...this.#waiting].forEach(wake => wake());
    }
}
