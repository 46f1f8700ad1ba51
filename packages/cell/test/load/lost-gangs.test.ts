import { expect } from "earl";
import { describe, it } from "node:test";
import { CellDriver, makeJob, makeStep, makeWorker, running } from "../support/index.js";

/** A running gang of two members, each of which fills a worker, at this progress after a second. */
const runningGang = (percent: number, estimate: number): CellDriver => {
    const driver = new CellDriver();
    driver.addWorkers(makeWorker("w1"), makeWorker("w2"));
    const size = { processorThousandths: 8_000, memoryMebibytes: 1, accelerators: 0 };
    driver.cell.submit(makeJob("gang", [makeStep({ taskCount: 2, isGang: true, size, estimate })]));
    const { starts } = driver.run();
    driver.confirm(...starts);
    driver.clock.advance(1_000);
    starts.forEach(start => driver.poll(start.worker, [running(start, percent)], [], false));
    return driver;
};

/** Number of runs that are stopped once a worker announces that it leaves. */
const stopsWhenOneLeaves = (driver: CellDriver, leavesIn: number): number => {
    driver.cell.updateWorkerEntries([makeWorker("w1", { isDraining: true, leavesIn })], []);
    driver.cell.tick();
    return driver.run().stops.length;
};

describe("a gang without saved progress, one of whose workers leaves", () => {
    it("is stopped when it would be lost, so that it restarts sooner", () => {
        expect(stopsWhenOneLeaves(runningGang(10, 10_000), 3_000)).toEqual(1);
    });

    it("continues when it will have ended by then", () => {
        expect(stopsWhenOneLeaves(runningGang(50, 2_000), 3_000)).toEqual(0);
    });

    it("continues when it may have ended by then, as workers often leave later than announced", () => {
        expect(stopsWhenOneLeaves(runningGang(10, 5_000), 3_200)).toEqual(0);
    });
});
