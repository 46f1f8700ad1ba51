import { ManualClock, type WorkerId, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type PlannedWorker, VmCondition, type VmEntry, vmId, WavePlanner, WaveState } from "../../src/index.js";

const upkeepTime = 2_000;

/** VMs of a test, each with the worker that it hosts. */
class Vms {
    readonly clock = new ManualClock();
    readonly workers = new Map<WorkerId, PlannedWorker>();
    readonly planner = new WavePlanner({
        now: () => this.clock.monotonic(),
        workerOf: worker => this.workers.get(worker) ?? { runs: 0, isNeeded: false },
        upkeepTime,
    });
    readonly #entries = new Map<string, VmEntry>();

    constructor(...names: string[]) {
        names.forEach(name => this.set(name, VmCondition.Up, `${name}-worker-1`));
    }

    set(name: string, state: VmCondition, worker?: string): void {
        const entry = { vm: vmId(name), state, worker: worker === undefined ? undefined : workerId(worker) };
        this.#entries.set(name, entry);
    }

    /** Leaves a VM out of the lists until it is set again. */
    leaveOut(name: string): void {
        this.#entries.delete(name);
    }

    plan(): { begin: string[]; closed: string[]; state: WaveState | undefined; } {
        this.planner.applyList([...this.#entries.values()]);
        const plan = this.planner.plan();
        return {
            begin: plan.begin.map(({ vm }) => String(vm)),
            closed: [...plan.closed].map(String),
            state: plan.states.get(1),
        };
    }

    order(name: string): void {
        this.planner.noteOrdered(1, vmId(name));
    }
}

const waveOf = (mostDown: number, ...names: string[]) => ({ wave: 1, vms: names.map(vmId), within: 20_000, mostDown });

describe("a wave of upkeep", () => {
    it("follows a change of its VMs and its limit, and keeps count of what is down", () => {
        const vms = new Vms("a", "b", "c");
        vms.planner.add(waveOf(1, "a", "b"));
        expect(vms.plan().begin).toEqual(["a"]);
        vms.order("a");
        vms.planner.add(waveOf(2, "a", "b", "c"));
        expect(vms.plan().begin).toEqual(["b"]);
        vms.order("b");
        vms.planner.add(waveOf(1, "a", "b", "c"));
        expect(vms.plan().begin).toEqual([]);
    });

    it("takes no more VMs down at once than allowed, and is completed once all are up again", () => {
        const vms = new Vms("a", "b");
        vms.planner.add(waveOf(1, "a", "b"));
        expect(vms.plan().begin).toEqual(["a"]);
        vms.order("a");
        vms.planner.noteConfirmed(1, vmId("a"));
        vms.set("a", VmCondition.Upkeep);
        expect(vms.plan().begin).toEqual([]);
        vms.set("a", VmCondition.Up, "a-worker-2");
        expect(vms.plan().begin).toEqual(["b"]);
        vms.order("b");
        vms.set("b", VmCondition.Upkeep);
        expect(vms.plan().state).toEqual(WaveState.Running);
        vms.set("b", VmCondition.Up, "b-worker-2");
        expect(vms.plan().state).toEqual(WaveState.Completed);
    });

    /* Guards against waves that are completed without a VM's upkeep: pages of a list are no snapshot, so that one reading may lack a VM. */
    it("is not completed because one list lacks a VM, nor once the VM is listed again", () => {
        const vms = new Vms("a");
        vms.workers.set(workerId("a-worker-1"), { runs: 1, isNeeded: true });
        vms.planner.add(waveOf(1, "a"));
        vms.leaveOut("a");
        expect(vms.plan().state).toEqual(WaveState.Running);
        vms.set("a", VmCondition.Up, "a-worker-1");
        expect(vms.plan().state).toEqual(WaveState.Running);
        vms.leaveOut("a");
        expect([vms.plan().state, vms.plan().state]).toEqual([WaveState.Running, WaveState.Completed]);
    });

    it("takes no further VM down because one list lacks a VM that is down", () => {
        const vms = new Vms("a", "b");
        vms.planner.add(waveOf(1, "a", "b"));
        vms.plan();
        vms.order("a");
        vms.leaveOut("a");
        expect(vms.plan().begin).toEqual([]);
    });

    it("counts a VM as down whose order had no answer, until the order is found not to be carried out", () => {
        const vms = new Vms("a", "b");
        vms.planner.add(waveOf(1, "a", "b"));
        vms.plan();
        vms.order("a");
        expect(vms.plan().begin).toEqual([]);
        vms.clock.advance(upkeepTime + 1_000);
        expect(vms.plan().begin).toEqual(["a"]);
    });

    // A new worker on a VM is no proof of its upkeep, as a crashed worker is replaced too.
    it("repeats an unanswered order to a VM with a new worker, and counts it as done once that is answered", () => {
        const vms = new Vms("a");
        vms.planner.add(waveOf(1, "a"));
        vms.plan();
        vms.order("a");
        vms.set("a", VmCondition.Up, "a-worker-2");
        vms.clock.advance(upkeepTime + 1_000);
        expect([vms.plan().state, vms.plan().begin]).toEqual([WaveState.Running, ["a"]]);
        vms.order("a");
        vms.planner.noteConfirmed(1, vmId("a"));
        vms.clock.advance(upkeepTime + 1_000);
        expect(vms.plan().state).toEqual(WaveState.Completed);
    });

    it("lets work end first while there is time", () => {
        const vms = new Vms("a", "b");
        vms.workers.set(workerId("a-worker-1"), { runs: 3, isNeeded: false });
        vms.planner.add(waveOf(1, "a", "b"));
        const first = vms.plan();
        expect(first.closed).toEqual(["a-worker-1"]);
        expect(first.begin).toEqual([]);
        vms.clock.advance(11_000);
        expect(vms.plan().begin).toEqual(["a"]);
    });

    it("never takes down a VM whose loss would exceed the disruption budget of a long-running step", () => {
        const vms = new Vms("a");
        vms.workers.set(workerId("a-worker-1"), { runs: 1, isNeeded: true });
        vms.planner.add(waveOf(1, "a"));
        vms.plan();
        vms.clock.advance(60_000);
        expect(vms.plan().begin).toEqual([]);
    });

    it("continues where an earlier owner left off", () => {
        const vms = new Vms("a", "b");
        vms.set("a", VmCondition.Upkeep);
        vms.planner.add(waveOf(1, "a", "b"));
        expect(vms.plan().begin).toEqual([]);
        vms.set("a", VmCondition.Up, "a-worker-2");
        expect(vms.plan().begin).toEqual(["b"]);
    });

    it("is not repeated after an earlier owner completed it", () => {
        const vms = new Vms("a");
        vms.planner.noteCompleted(1);
        vms.planner.add(waveOf(1, "a"));
        expect(vms.plan()).toEqual({ begin: [], closed: [], state: undefined });
    });
});
