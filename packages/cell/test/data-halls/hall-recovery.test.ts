/* Guards against urgent tasks being sent to workers that are slow after their data hall was closed, while others are free. */
import { dataHallName, logEvents } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker } from "../support/index.js";

const hallA = dataHallName("hall-a");
const hallB = dataHallName("hall-b");
const whole = { processorThousandths: 8_000, memoryMebibytes: 1_024, accelerators: 0 };
const workers = ["a1", "a2", "b1", "b2"];
const usual = 600;

/** A cell of two halls, the first of which was just reopened. */
const setUp = (): CellDriver => {
    const driver = new CellDriver(undefined, makeConfiguration(1, [makeQueue("work", { priority: 0 })]));
    driver.addWorkers(...workers.map(id => makeWorker(id, { dataHall: id.startsWith("a") ? hallA : hallB })));
    driver.cell.setClosedHalls({ halls: [hallA], revision: 1 });
    driver.run();
    driver.cell.setClosedHalls({ halls: [], revision: 2 });
    return driver;
};

/** Runs one task on each worker; those of the first hall take `slowness` times as long. */
const runJob = (driver: CellDriver, id: string, slowness: number): void => {
    driver.cell.submit(makeJob(id, [makeStep({ taskCount: workers.length, size: whole, estimate: usual })]));
    const { starts } = driver.run();
    driver.confirm(...starts);
    driver.clock.advance(usual);
    starts.filter(({ dataHall }) => dataHall === hallB).forEach(start => driver.end(start));
    driver.clock.advance(usual * (slowness - 1));
    starts.filter(({ dataHall }) => dataHall === hallA).forEach(start => driver.end(start));
};

/** The data halls in which two further tasks start. */
const nextHalls = (driver: CellDriver): (string | undefined)[] => {
    driver.cell.tick();
    driver.cell.submit(makeJob(`next-${driver.clock.monotonic()}`, [makeStep({ taskCount: 2, size: whole })]));
    const { starts } = driver.run();
    driver.confirm(...starts);
    starts.forEach(start => driver.end(start));
    return starts.map(({ dataHall }) => dataHall);
};

describe("a reopened data hall", () => {
    it("is avoided by urgent tasks while a few completed ones show that it is slow", () => {
        const driver = setUp();
        runJob(driver, "j", 2);
        expect(nextHalls(driver)).toEqual([hallB, hallB]);
        expect(driver.logged.filter(({ event }) => event === logEvents.reopenedHallSpeed).length).toEqual(1);
    });

    it("is used like any other when it is not slow", () => {
        const driver = setUp();
        runJob(driver, "j", 1);
        expect(nextHalls(driver)).toEqual([hallA, hallA]);
    });

    it("does not alternate when it is a little slower", () => {
        const driver = setUp();
        [1.7, 1.3, 1.7, 1.3, 1.5, 1.3].forEach((slowness, index) => runJob(driver, `j${index}`, slowness));
        expect(driver.logged.filter(({ event }) => event === logEvents.reopenedHallSpeed).length).toEqual(1);
    });

    it("leaves no estimate of its workers' speeds once its recovery is over", () => {
        const driver = setUp();
        runJob(driver, "j", 2);
        runJob(driver, "k", 2);
        driver.clock.advance(8_000);
        expect(nextHalls(driver)).toEqual([hallA, hallA]);
    });
});
