import { expect } from "earl";
import { describe, it } from "node:test";
import { OrderRefusal, RunEnd } from "../../src/index.js";
import { CellDriver, idOf, makeJob, makeStep, makeWorker } from "../support/index.js";

const gangOf = (taskCount: number) =>
    makeStep({
        taskCount,
        isGang: true,
        size: { processorThousandths: 4_000, memoryMebibytes: 1_024, accelerators: 0 },
    });

const withWorkers = (...names: string[]): CellDriver => {
    const driver = new CellDriver();
    driver.addWorkers(...names.map(name => makeWorker(name)));
    return driver;
};

describe("gangs", () => {
    it("give all members one run number, also on several workers", () => {
        const driver = withWorkers("w1", "w2");
        driver.cell.submit(makeJob("g", [gangOf(4)]));
        const { starts } = driver.run();
        expect(starts.length).toEqual(4);
        expect(new Set(starts.map(start => start.worker)).size).toEqual(2);
        expect([...new Set<number>(starts.map(start => start.run))]).toEqual([1]);
    });

    it("start whole or not at all", () => {
        const driver = withWorkers("w1");
        driver.cell.submit(makeJob("g", [gangOf(3)]));
        expect(driver.run().starts).toEqual([]);
        driver.addWorkers(makeWorker("w2"));
        expect(driver.run().starts.length).toEqual(3);
    });

    it("are stopped whole when one member is refused, and start again with the next number", () => {
        const driver = withWorkers("w1", "w2");
        driver.cell.submit(makeJob("g", [gangOf(4)]));
        const { starts } = driver.run();
        const [refused, ...others] = starts;
        driver.confirm(...others);
        driver.cell.startRefused(refused.worker, refused.task, refused.run, OrderRefusal.Ticket);
        const { stops } = driver.run();
        expect(stops.length).toEqual(3);
        others.forEach(start => driver.end(start, RunEnd.Stopped));
        const again = driver.run().starts;
        expect([...new Set<number>(again.map(start => start.run))]).toEqual([2]);
        expect(again.length).toEqual(4);
    });

    it("count one failure a run, whichever members fail", () => {
        const driver = withWorkers("w1", "w2");
        const job = driver.cell.submit(makeJob("g", [gangOf(2)]))!;
        for (let run = 1; run <= 3; run++) {
            driver.clock.advance(1_000);
            const { starts } = driver.run();
            expect(starts.map<number>(start => start.run)).toEqual([run, run]);
            starts.forEach(start => driver.end(start, RunEnd.Failed));
        }
        driver.run();
        expect(driver.cell.stateOf(job.id)).toEqual("failed" as never);
    });

    it("are done when one member is", () => {
        const driver = withWorkers("w1", "w2");
        const job = driver.cell.submit(makeJob("g", [gangOf(3)]))!;
        const { starts } = driver.run();
        driver.confirm(...starts);
        driver.end(starts[0], RunEnd.Done);
        // The others end by themselves: the worker ends a gang as a whole.
        expect(driver.run().stops).toEqual([]);
        expect(driver.cell.stateOf(job.id)).toEqual("completed" as never);
    });

    it("bring one checkpoint to all members", () => {
        const driver = withWorkers("w1", "w2");
        driver.cell.submit(makeJob("g", [gangOf(3)]));
        const { starts } = driver.run();
        driver.confirm(...starts);
        driver.end(starts[0], RunEnd.Stopped, "half-way");
        driver.run();
        starts.slice(1).forEach(start => driver.end(start, RunEnd.Broken));
        driver.clock.advance(1_000);
        const again = driver.run().starts;
        expect(again.map(start => start.checkpoint)).toEqual(["half-way", "half-way", "half-way"]);
    });

    it("that want one rack get one, and are spread only when none has room for long", () => {
        const driver = new CellDriver();
        const rackOf = (rack: string) => ({ rack, labels: ["a", rack] });
        driver.addWorkers(
            makeWorker("w1", rackOf("r1")),
            makeWorker("w2", rackOf("r2")),
            makeWorker("w3", rackOf("r2")),
        );
        const tight = (count: number) => ({ ...gangOf(count), wantsOneRack: true });
        driver.cell.submit(makeJob("fits", [tight(3)]));
        expect(new Set(driver.run().starts.map(start => start.worker))).toEqual(new Set([idOf("w2"), idOf("w3")]));
        driver.cell.submit(makeJob("spread", [tight(3)]));
        expect(driver.run().starts.length).toEqual(0);
        driver.clock.advance(2_000);
        expect(driver.run().starts.length).toEqual(3);
    });

    it("count a failed run whose end is seen after that of a later one", () => {
        const driver = withWorkers("w1", "w2");
        const job = driver.cell.submit(makeJob("g", [gangOf(1)]))!;
        const [first] = driver.run().starts;
        driver.confirm(first);
        driver.cell.applySilence(first.worker, driver.clock.monotonic() + 500);
        driver.clock.advance(1_000);
        driver.cell.tick();
        const [second] = driver.run().starts;
        expect<number>(second.run).toEqual(2);
        driver.end(second, RunEnd.Failed);
        driver.end(first, RunEnd.Failed);
        driver.clock.advance(1_000);
        const [third] = driver.run().starts;
        driver.end(third, RunEnd.Failed);
        driver.run();
        expect(driver.cell.stateOf(job.id)).toEqual("failed" as never);
    });
});
