/** A stand-in of the platform's service for machines. */
import { JsonServer } from "./http-server.mjs";
import { now, sleep } from "./record.mjs";

/** Lists machines and carries out upkeeps. Fencing tokens are not enforced. */
export class Cloud {
    #server = new JsonServer(call => this.#answer(call));
    #machines = new Map();
    /** Orders for upkeep, as they came. */
    orders = [];
    address;

    constructor(cell) {
        this.cell = cell;
    }

    async listen() {
        this.address = await this.#server.listen();
    }

    close() {
        return this.#server.close();
    }

    #stateOf(machine) {
        return this.#machines.get(machine) ?? "up";
    }

    async #answer({ method, path, body, headers }) {
        await sleep(4);
        if (method === "GET" && path === "/machines") {
            return [200, { Machines: this.#list() }];
        }
        if (method === "POST" && path === "/machine-upkeep") {
            return this.#beginUpkeep(body, headers);
        }
        return [404, {}];
    }

    #list() {
        const { workers, options: { capacity } } = this.cell;
        const machines = [...new Set(workers.map(({ machine }) => machine))];
        return machines.map(machine => {
            const worker = workers.findLast(other => other.machine === machine);
            const State = this.#stateOf(machine);
            return {
                Machine: machine,
                Pool: "pool",
                State,
                Zone: ["zone-a", "zone-b", "zone-c"][worker.index % 3],
                Labels: ["kind-a"],
                Capacity: capacity,
                Id: State === "up" ? worker.id : "",
            };
        });
    }

    #beginUpkeep({ Machine: machine, Wave: wave }, headers) {
        const { cell } = this;
        const order = {
            at: now(),
            machine,
            wave,
            holder: headers["x-lease-holder"],
            token: Number(headers["x-fencing-token"]),
            isBegun: false,
        };
        this.orders.push(order);
        const worker = cell.workers.findLast(other => other.machine === machine);
        if (worker === undefined) {
            return [400, {}];
        }
        if (this.done?.has(`${wave} ${machine}`)) {
            cell.record.write(`cloud: upkeep of ${machine} by ${order.holder}, token ${order.token}: already done`);
            return [200, {}];
        }
        if (this.#stateOf(machine) !== "up") {
            return [409, { Reason: "busy" }];
        }
        (this.done ??= new Set()).add(`${wave} ${machine}`);
        order.isBegun = true;
        cell.record.write(
            `cloud: upkeep of ${machine} by ${order.holder}, token ${order.token}: begins, ${worker.runCount} runs there`,
        );
        cell.options.observer.upkeepBegins?.(worker, order);
        void this.#carryOut(machine, worker);
        return [200, {}];
    }

    async #carryOut(machine, worker) {
        const { cell } = this;
        this.#machines.set(machine, "upkeep");
        await worker.die("died in the upkeep of its machine");
        await sleep(cell.options.bounds.MaintenanceS * 1_000);
        await cell.addWorker(machine, worker.index);
        this.#machines.set(machine, "up");
        cell.record.write(`cloud: ${machine} is up again`);
        await sleep(Math.max(0, 4_500 - cell.options.bounds.MaintenanceS * 1_000));
        cell.store.remove(`servers/${worker.id}`);
    }
}
