import { logEvents } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellJobState, RunEnd } from "../../src/index.js";
import { CellDriver, idOf, makeJob, makeStep, makeWorker, running } from "../support/index.js";

const ready = (): CellDriver => {
    const driver = new CellDriver();
    driver.addWorkers(makeWorker("w1"));
    return driver;
};

describe("a job", () => {
    it("is not reported to its caller before its record is committed", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep()]))!;
        driver.decide();
        expect(driver.cell.stateOf(id)).toEqual(undefined);
        driver.commit();
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Queued);
    });

    it("is accepted once however often it is submitted", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep()]));
        driver.cell.submit(makeJob("j", [makeStep()]));
        expect(driver.run().starts.length).toEqual(1);
        expect(driver.records.filter(record => record.kind === "accepted").length).toEqual(1);
    });

    it("is reported as completed only after its last end is committed", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep()]))!;
        const [start] = driver.run().starts;
        driver.confirm(start);
        driver.end(start);
        driver.decide();
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Running);
        driver.commit();
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Completed);
    });

    // A job was shown as completed by the commit of an earlier turn; after a takeover its last task was started again.
    it("is not reported as completed when an earlier turn is committed than that of its last end", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep({ taskCount: 2 })]))!;
        const [first, last] = driver.run().starts;
        driver.confirm(first, last);
        driver.end(first);
        driver.decide();
        driver.end(last);
        driver.decide();
        driver.commit(1);
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Running);
        driver.commit(1);
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Completed);
    });

    it("is not reported as failed when an earlier turn is committed than that of its last failure", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep({ taskCount: 2 })]))!;
        const [failing, other] = driver.run().starts;
        driver.confirm(failing, other);
        driver.end(failing, RunEnd.Failed);
        driver.clock.advance(10_000);
        const [second] = driver.run().starts;
        driver.end(second, RunEnd.Failed);
        driver.clock.advance(10_000);
        const [third] = driver.run().starts;
        driver.end(other);
        driver.decide();
        driver.end(third, RunEnd.Failed);
        driver.decide();
        driver.commit(1);
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Running);
        driver.commit(1);
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Failed);
    });

    it("keeps the state that it was reported with when the commit of an earlier turn is noticed later", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep({ taskCount: 2 })]))!;
        const [first, last] = driver.run().starts;
        driver.confirm(first, last);
        driver.end(first);
        const earlier = driver.cell.drain();
        driver.end(last);
        driver.cell.turnCommitted(driver.cell.drain());
        driver.cell.turnCommitted(earlier);
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Completed);
    });

    it("lets a worker forget an end only after it is committed", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep()]));
        const [start] = driver.run().starts;
        driver.end(start);
        driver.decide();
        expect(driver.commit().acknowledged).toEqual({ w1: 1 });
    });

    it("starts a step once all tasks of the steps that it depends on are done", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep({ taskCount: 2 }), makeStep({ after: [0] })]));
        const [first, second] = driver.run().starts;
        driver.end(first);
        expect(driver.run().starts).toEqual([]);
        driver.end(second);
        expect(driver.run().starts.map(start => String(start.task))).toEqual(["j/0/1/0"]);
    });

    it("fails once a task has used up the attempts of its queue, and stops its remaining runs", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep({ taskCount: 2 })]))!;
        const [failing, other] = driver.run().starts;
        driver.confirm(failing, other);
        driver.end(failing, RunEnd.Failed);
        for (let run = 2; run <= 3; run++) {
            driver.clock.advance(10_000);
            const [start] = driver.run().starts;
            driver.end(start, RunEnd.Failed);
        }
        const { stops } = driver.run();
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Failed);
        expect(stops.map(stop => stop.task)).toEqual([other.task]);
    });

    it("does not count runs that were stopped or whose leases expired as failed", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep()]))!;
        for (let run = 1; run <= 6; run++) {
            driver.clock.advance(1_000);
            const [start] = driver.run().starts;
            driver.end(start, run % 2 === 0 ? RunEnd.Stopped : RunEnd.Lapsed);
        }
        driver.run();
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Running);
    });
});

describe("a cancelled job", () => {
    it("is not reported as cancelled when an earlier turn is committed than that of its cancellation", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep()]))!;
        driver.decide();
        driver.cell.cancel(id);
        driver.decide();
        driver.commit(1);
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Queued);
        driver.commit(1);
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Cancelled);
    });

    it("stops its runs and starts no more", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep({ taskCount: 12 })]))!;
        const { starts } = driver.run();
        driver.confirm(...starts);
        expect(driver.cell.cancel(id)).toEqual(true);
        const { stops } = driver.run();
        expect(stops.length).toEqual(starts.length);
        starts.forEach(start => driver.end(start, RunEnd.Stopped));
        expect(driver.run().starts).toEqual([]);
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Cancelled);
    });

    it("does not send a start whose record was still being written", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep()]))!;
        driver.decide();
        driver.cell.cancel(id);
        expect(driver.run().starts).toEqual([]);
    });

    it("is stopped again as long as a poll reports its run", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep()]))!;
        const [start] = driver.run().starts;
        driver.confirm(start);
        driver.cell.cancel(id);
        expect(driver.run().stops.length).toEqual(1);
        driver.poll("w1", [running(start)], [], false);
        expect(driver.run().stops.length).toEqual(1);
    });

    it("cannot be cancelled if it was never submitted", () => {
        const driver = ready();
        expect(driver.cell.cancel(makeJob("never", [makeStep()]).job)).toEqual(false);
    });
});

describe("a worker", () => {
    it("is never overcommitted, also while a run is being stopped", () => {
        const driver = ready();
        const big = makeStep({ size: { processorThousandths: 8_000, memoryMebibytes: 1, accelerators: 0 } });
        const { id } = driver.cell.submit(makeJob("j", [big]))!;
        const [start] = driver.run().starts;
        driver.confirm(start);
        driver.cell.cancel(id);
        driver.cell.submit(makeJob("k", [big]));
        expect(driver.run().starts).toEqual([]);
        driver.end(start, RunEnd.Stopped);
        expect(driver.run().starts.length).toEqual(1);
    });

    it("gets no new runs while it drains", () => {
        const driver = ready();
        driver.cell.updateWorkerEntries([makeWorker("w1", { isDraining: true, leavesIn: 2_000 })], []);
        driver.cell.submit(makeJob("j", [makeStep()]));
        expect(driver.run().starts).toEqual([]);
    });

    it("gets no runs before this owner has polled it", () => {
        const driver = new CellDriver();
        driver.cell.updateWorkerEntries([makeWorker("w1")], []);
        driver.cell.submit(makeJob("j", [makeStep()]));
        expect(driver.run().starts).toEqual([]);
        driver.poll("w1");
        expect(driver.run().starts.length).toEqual(1);
    });

    it("loses its runs when another worker answers at its address", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep()]));
        const [start] = driver.run().starts;
        driver.confirm(start);
        driver.cell.applyReplacement(idOf("w1"));
        driver.addWorkers(makeWorker("w2"));
        expect(driver.run().starts.map(again => [String(again.worker), Number(again.run)])).toEqual([["w2", 2]]);
    });

    it("has the known run time of each lost run logged", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep({ taskCount: 2 })]));
        const [confirmed] = driver.run().starts;
        driver.confirm(confirmed);
        driver.clock.advance(400);
        // The last answer came 150 ms before the silence was noticed, so the run is known to have run for 250 ms.
        driver.cell.applySilence(idOf("w1"), driver.clock.monotonic() + 6_000, { cause: "no answer", heardAgo: 150 });
        driver.cell.applyReplacement(idOf("w1"));
        const lost = driver.logged.filter(line => line.event === logEvents.runLost);
        expect(lost.map(({ fields }) => fields["stood"])).toEqual([250, undefined]);
    });

    it("keeps its tasks while it is silent until all its leases have expired", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep()]));
        const [start] = driver.run().starts;
        driver.confirm(start);
        driver.addWorkers(makeWorker("w2"));
        driver.cell.applySilence(idOf("w1"), driver.clock.monotonic() + 6_000);
        driver.clock.advance(5_900);
        driver.cell.tick();
        expect(driver.run().starts).toEqual([]);
        driver.clock.advance(300);
        driver.cell.tick();
        expect(driver.run().starts.map(again => String(again.worker))).toEqual(["w2"]);
    });
});
