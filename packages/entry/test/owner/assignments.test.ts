import { type CellScheduler, vmId, WorkerState } from "@pebbledale/cell";
import { dataHallName, epoch, ManualClock, serviceName, type WorkerId, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    Assignments,
    type AssignMessage,
    createMemoryChannel,
    type OwnerMessage,
    VmLink,
    type VmMessage,
} from "../../src/index.js";
import { makeVm, settle } from "../support/index.js";

const makeWorkers = (dataHall: string, count: number): CellScheduler["workers"] => {
    const workers = new Map<WorkerId, WorkerState>();
    for (let index = 0; index < count; index++) {
        const worker = workerId(`${dataHall}-${index}`);
        const state = new WorkerState(worker, "127.0.0.1:1");
        state.applyEntry({
            worker,
            address: "127.0.0.1:1",
            service: serviceName("pool"),
            dataHall: dataHallName(dataHall),
            vm: vmId("vm"),
            capacity: { processorThousandths: 1, memoryMebibytes: 1, accelerators: 0 },
            labels: [],
            rack: undefined,
            isDraining: false,
            leavesIn: undefined,
        });
        workers.set(worker, state);
    }
    return workers;
};

const makeLink = (name: string, dataHall: string) => {
    const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
    const assigned: AssignMessage[] = [];
    vmEnd.onMessage = message => message.kind === "assign" && assigned.push(message);
    return {
        link: new VmLink(makeVm(name, { dataHall: dataHallName(dataHall) }), ownerEnd, new ManualClock()),
        assigned,
    };
};

describe("worker links", () => {
    it("are distributed evenly among VMs of the worker's data hall", () => {
        const [a, b, far] = [makeLink("a", "hall-a"), makeLink("b", "hall-a"), makeLink("far", "hall-b")];
        const assignments = new Assignments(epoch(1), "nobody", () => 0);
        assignments.assignUnlinked(makeWorkers("hall-a", 6).values(), [a.link, b.link, far.link]);
        expect([a.link.workers.size, b.link.workers.size, far.link.workers.size]).toEqual([3, 3, 0]);
    });

    it("are assigned to other VMs when there is none in the worker's data hall", () => {
        const far = makeLink("far", "hall-b");
        const assignments = new Assignments(epoch(1), "nobody", () => 0);
        assignments.assignUnlinked(makeWorkers("hall-a", 2).values(), [far.link]);
        expect(far.link.workers.size).toEqual(2);
    });

    it("are moved to a VM that joins until the loads are close", () => {
        const a = makeLink("a", "hall-a");
        const workers = makeWorkers("hall-a", 8);
        const assignments = new Assignments(epoch(1), "nobody", () => 0);
        assignments.assignUnlinked(workers.values(), [a.link]);
        const b = makeLink("b", "hall-a");
        assignments.rebalanceTo(workers, b.link, [a.link, b.link]);
        expect(a.link.workers.size - b.link.workers.size <= 2).toEqual(true);
        expect(a.link.workers.size + b.link.workers.size).toEqual(8);
    });

    /* Guards against links staying with VMs of other halls, and against a storm of moves, after a lost hall has returned. */
    it("return to the VMs of their data hall as these join, few of them twice", async () => {
        const far = ["b1", "b2", "b3"].map(name => makeLink(name, "hall-b"));
        const workers = new Map([...makeWorkers("hall-a", 24), ...makeWorkers("hall-b", 24)]);
        const assignments = new Assignments(epoch(1), "nobody", () => 0);
        assignments.assignUnlinked(workers.values(), far.map(({ link }) => link));
        const near = ["a1", "a2", "a3"].map(name => makeLink(name, "hall-a"));
        const links = far.map(({ link }) => link);
        for (const { link } of near) {
            links.push(link);
            assignments.returnTo(workers, link, links);
            assignments.rebalanceTo(workers, link, links);
        }
        await settle();
        const atHome = near.map(({ link }) => link.workers.size);
        expect(atHome.every(count => count >= 6)).toEqual(true);
        const moves = near.reduce((sum, { assigned }) => sum + assigned.length, 0);
        expect(moves <= 24 + 6).toEqual(true);
        expect(links.reduce((sum, link) => sum + link.workers.size, 0)).toEqual(48);
    });

    it("get a higher token with each assignment and with each owner", async () => {
        const a = makeLink("a", "hall-a");
        const workers = makeWorkers("hall-a", 1);
        const first = new Assignments(epoch(1), "nobody", () => 0);
        first.assignUnlinked(workers.values(), [a.link]);
        first.removeAll(a.link);
        first.assignUnlinked(workers.values(), [a.link]);
        const second = new Assignments(epoch(2), "nobody", () => 0);
        second.assignUnlinked(workers.values(), [a.link]);
        await settle();
        const tokens = a.assigned.map(message => Number(message.token));
        expect(tokens.length).toEqual(3);
        expect(tokens[0] < tokens[1] && tokens[1] < tokens[2]).toEqual(true);
    });
});
