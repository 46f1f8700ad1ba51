import { expect } from "earl";
import { describe, it } from "node:test";
import { CellDriver, makeJob, makeStep, makeWorker, running } from "../support/index.js";

/** A gang whose two members need a worker each, at work on two of three workers, seen at so much progress after a second. */
const gangAtWork = (percent: number, estimate: number): CellDriver => {
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

/** What is stopped once a worker says that it leaves after a while. */
const stopsWhenOneLeaves = (driver: CellDriver, leavesIn: number): number => {
    driver.cell.updateWorkerEntries([makeWorker("w1", { isDraining: true, leavesIn })], []);
    driver.cell.tick();
    return driver.run().stops.length;
};

describe("a gang that saves nothing, one of whose workers leaves", () => {
    it("is stopped when it would be lost with it, so that it starts again the sooner", () => {
        expect(stopsWhenOneLeaves(gangAtWork(10, 10_000), 3_000)).toEqual(1);
    });

    it("goes on when it will have ended by then", () => {
        expect(stopsWhenOneLeaves(gangAtWork(50, 2_000), 3_000)).toEqual(0);
    });

    it("goes on when it may have ended by then, as workers often leave later than they say", () => {
        expect(stopsWhenOneLeaves(gangAtWork(10, 5_000), 3_200)).toEqual(0);
    });
});
