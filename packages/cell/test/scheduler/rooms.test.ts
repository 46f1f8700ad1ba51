/** Workers whose room shrinks and grows while they run, and workers whose entries cannot be read. */
import { expect } from "earl";
import { describe, it } from "node:test";
import { RunEnd, type StartCommand } from "../../src/index.js";
import { CellDriver, idOf, makeJob, makeStep, makeWorker, running } from "../support/index.js";

const roomOf = (processors: number) => ({
    processorThousandths: processors * 1_000,
    memoryMebibytes: 32_768,
    accelerators: 0,
});
const withRoom = (name: string, processors: number) => makeWorker(name, { capacity: roomOf(processors) });

const full = (): { driver: CellDriver; starts: readonly StartCommand[]; } => {
    const driver = new CellDriver();
    driver.addWorkers(withRoom("w1", 8));
    driver.cell.submit(makeJob("j", [makeStep({ taskCount: 12 })]));
    const { starts } = driver.run();
    driver.confirm(...starts);
    return { driver, starts };
};

describe("a worker whose room shrinks below what runs there", () => {
    it("takes nothing new until as much has ended, and what runs there is not stopped", () => {
        const { driver, starts } = full();
        driver.cell.updateWorkerEntries([withRoom("w1", 4)], []);
        expect(driver.run().stops).toEqual([]);
        starts.slice(0, 4).forEach(start => driver.end(start));
        expect(driver.run().starts).toEqual([]);
        driver.end(starts[4]);
        expect(driver.run().starts.length).toEqual(1);
    });

    it("counts as full, not as less than nothing, in the figures of the cell", () => {
        const { driver } = full();
        driver.addWorkers(withRoom("w2", 8));
        driver.run();
        driver.cell.updateWorkerEntries([withRoom("w1", 2)], []);
        const { freeProcessor } = driver.cell.summary();
        expect(freeProcessor).toEqual(4_000);
    });

    it("does not get a start that was decided before and is not sent yet", () => {
        const driver = new CellDriver();
        driver.addWorkers(withRoom("w1", 8), withRoom("w2", 8));
        driver.cell.submit(makeJob("j", [makeStep({ taskCount: 8 })]));
        driver.decide();
        driver.cell.updateWorkerEntries([withRoom("w1", 4)], []);
        const { starts } = driver.commit();
        expect(starts.filter(start => start.worker === idOf("w1")).length <= 4).toEqual(true);
        const later = driver.run().starts;
        expect(starts.length + later.length).toEqual(8);
    });

    it("keeps its smaller room over a change of owner", () => {
        const { driver, starts } = full();
        driver.cell.updateWorkerEntries([withRoom("w1", 4)], []);
        driver.run();
        driver.takeOver();
        driver.cell.replaceWorkerEntries([withRoom("w1", 4)]);
        driver.poll("w1", starts.map(start => running(start)));
        starts.slice(0, 4).forEach(start => driver.end(start));
        expect(driver.run().starts).toEqual([]);
    });

    it("is not waited for by a gang that only the room before would hold", () => {
        const driver = new CellDriver();
        driver.addWorkers(withRoom("w1", 8), withRoom("w2", 8));
        driver.cell.submit(makeJob("gang", [makeStep({ taskCount: 12, isGang: true, savesProgress: false })]));
        driver.cell.updateWorkerEntries([withRoom("w1", 4), withRoom("w2", 4)], []);
        driver.run();
        driver.cell.submit(makeJob("small", [makeStep({ taskCount: 8 })]));
        driver.clock.advance(10_000);
        driver.cell.tick();
        expect(driver.run().starts.length).toEqual(8);
    });
});

describe("a worker whose room grows", () => {
    it("is given more in the next pass", () => {
        const { driver } = full();
        driver.cell.updateWorkerEntries([withRoom("w1", 12)], []);
        expect(driver.run().starts.length).toEqual(4);
    });
});

describe("a worker whose entry can no longer be read", () => {
    it("takes nothing new until it can, and what runs there goes on", () => {
        const { driver, starts } = full();
        driver.cell.updateWorkerEntries([], [], [idOf("w1")]);
        driver.end(starts[0]);
        driver.poll("w1", starts.slice(1).map(start => running(start)), [], false);
        expect([driver.run().starts, driver.run().stops]).toEqual([[], []]);
        driver.end(starts[1], RunEnd.Done);
        driver.cell.updateWorkerEntries([withRoom("w1", 8)], []);
        expect(driver.run().starts.length).toEqual(2);
    });

    it("is not taken for gone by a list that names it so", () => {
        const { driver, starts } = full();
        driver.cell.replaceWorkerEntries([], [idOf("w1")]);
        driver.clock.advance(20_000);
        driver.poll("w1", starts.map(start => running(start)), [], false);
        driver.cell.tick();
        expect(driver.cell.workers.has(idOf("w1"))).toEqual(true);
        expect(driver.cell.workers.get(idOf("w1"))!.unlistedSince).toEqual(undefined);
    });
});
