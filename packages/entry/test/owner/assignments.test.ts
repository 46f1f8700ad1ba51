import { type CellScheduler, vmId, WorkerState } from "@pebbledale/cell";
import { dataHallName, epoch, ManualClock, regionName, serviceName, type WorkerId, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    Assignments,
    assignmentsPerEpoch,
    type AssignMessage,
    createMemoryChannel,
    type OwnerMessage,
    tokensPerAssignment,
    VmLink,
    type VmMessage,
} from "../../src/index.js";
import { makeVm, settle } from "../support/index.js";
import { twoRegions } from "../support/regions.js";

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

    it("are not assigned with tokens of the next epoch: the owner is told that a worker's are used up", async () => {
        const { link, assigned } = makeLink("a", "hall-a");
        const workers = makeWorkers("hall-a", 1);
        const usedUp: WorkerId[] = [];
        const onTokensUsedUp = (worker: WorkerId) => usedUp.push(worker);
        const assignments = new Assignments(epoch(1), "nobody", () => 0, new Map(), onTokensUsedUp);
        for (let count = 1; count <= assignmentsPerEpoch; count++) {
            assignments.assignUnlinked(workers.values(), [link]);
            assignments.removeAll(link);
        }
        await settle();
        const firstOfNextEpoch = 2 * assignmentsPerEpoch * tokensPerAssignment;
        expect(assigned.length).toEqual(assignmentsPerEpoch - 1);
        expect(Math.max(...assigned.map(({ token }) => Number(token))) + tokensPerAssignment <= firstOfNextEpoch)
            .toEqual(
                true,
            );
        expect(usedUp).toEqual([...workers.keys()]);
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

describe("worker links over two regions", () => {
    const regions = new Map([...twoRegions, [dataHallName("far-b"), regionName("far")]]);
    const make = (usedRegions = regions) => new Assignments(epoch(1), "nobody", () => 0, usedRegions);
    const loads = (...links: readonly { readonly link: VmLink; }[]) => links.map(({ link }) => link.workers.size);

    it("are assigned to VMs of the worker's region when there is none in its data hall", () => {
        const [near, far] = [makeLink("near", "near-a"), makeLink("far", "far-b")];
        make().assignUnlinked(makeWorkers("far-a", 4).values(), [near.link, far.link]);
        expect(loads(near, far)).toEqual([0, 4]);
    });

    it("spread to the other region where few VMs of the worker's are left", () => {
        const near = Array.from({ length: 9 }, (_, index) => makeLink(`near-${index}`, "near-a"));
        const far = makeLink("far", "far-b");
        make().assignUnlinked(makeWorkers("far-a", 20).values(), [...near, far].map(({ link }) => link));
        const [ofFar, ...ofNear] = loads(far, ...near);
        expect(ofFar > Math.max(...ofNear) && ofFar < 10).toEqual(true);
    });

    it("return to the worker's region, then to its data hall, as VMs join there", () => {
        const near = makeLink("near", "near-a");
        const workers = makeWorkers("far-a", 4);
        const assignments = make();
        assignments.assignUnlinked(workers.values(), [near.link]);
        const inRegion = makeLink("far-b", "far-b");
        assignments.rebalanceTo(workers, inRegion.link, [near.link, inRegion.link]);
        expect(loads(near, inRegion)).toEqual([0, 4]);
        const inHall = makeLink("far-a", "far-a");
        assignments.rebalanceTo(workers, inHall.link, [near.link, inRegion.link, inHall.link]);
        expect(loads(near, inRegion, inHall)).toEqual([0, 0, 4]);
    });

    /* Guards against a first VM that gets all links of its data hall, most of which later ones then take from it. */
    it("return to a lost data hall without many moves, and never all to one VM", async () => {
        const others = Array.from({ length: 20 }, (_, index) => makeLink(`far-b${index}`, "far-b"));
        const workers = new Map([...makeWorkers("far-a", 80), ...makeWorkers("far-b", 80)]);
        const assignments = make();
        const links = others.map(({ link }) => link);
        assignments.assignUnlinked(workers.values(), links);
        const returned = Array.from({ length: 20 }, (_, index) => makeLink(`far-a${index}`, "far-a"));
        let most = 0;
        for (const { link } of returned) {
            links.push(link);
            assignments.returnTo(workers, link, links);
            assignments.rebalanceTo(workers, link, links);
            most = Math.max(most, link.workers.size);
        }
        await settle();
        const moves = returned.reduce((sum, { assigned }) => sum + assigned.length, 0);
        expect([most <= 10, moves <= 2 * 80]).toEqual([true, true]);
        expect(returned.every(({ link }) => link.workers.size >= 2)).toEqual(true);
    });

    it("do not all move to the first VM of a lost region that returns", () => {
        const near = Array.from({ length: 20 }, (_, index) => makeLink(`near-a${index}`, "near-a"));
        const workers = makeWorkers("far-a", 200);
        const assignments = make();
        const links = near.map(({ link }) => link);
        assignments.assignUnlinked(workers.values(), links);
        const returned = Array.from({ length: 20 }, (_, index) => makeLink(`far-a${index}`, "far-a"));
        const [first] = returned;
        links.push(first.link);
        assignments.rebalanceTo(workers, first.link, links);
        expect(first.link.workers.size > 10 && first.link.workers.size < 40).toEqual(true);
        for (const { link } of returned.slice(1)) {
            links.push(link);
            assignments.rebalanceTo(workers, link, links);
        }
        expect(near.every(({ link }) => link.workers.size === 0)).toEqual(true);
    });

    it("move to the worker's region once its data hall is known, as after a change of owner", () => {
        const [near, far] = [makeLink("near", "near-a"), makeLink("far", "far-b")];
        const located = makeWorkers("far-a", 4);
        const unlocated = new Map([...located.keys()].map(id => [id, new WorkerState(id, "127.0.0.1:1")]));
        const assignments = make();
        assignments.assignUnlinked(unlocated.values(), [near.link, far.link]);
        expect(loads(near, far)).toEqual([2, 2]);
        assignments.moveLocated(unlocated, [near.link, far.link]);
        expect(loads(near, far)).toEqual([2, 2]);
        assignments.moveLocated(located, [near.link, far.link]);
        expect(loads(near, far)).toEqual([0, 4]);
    });

    it("are as before with one region", () => {
        const oneRegion = new Map([...regions.keys()].map(hall => [hall, regionName("one")]));
        const [near, far] = [makeLink("near", "near-a"), makeLink("far", "far-b")];
        const workers = makeWorkers("far-a", 4);
        const assignments = make(oneRegion);
        assignments.assignUnlinked(workers.values(), [near.link, far.link]);
        expect(loads(near, far)).toEqual([2, 2]);
        const inHall = makeLink("far-a", "far-a");
        assignments.rebalanceTo(workers, inHall.link, [near.link, far.link, inHall.link]);
        expect(loads(near, far, inHall)).toEqual([2, 2, 0]);
    });
});
