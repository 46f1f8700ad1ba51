/* Guards against the loss of one data hall taking away all tasks of a long-running job. */
import { dataHallName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type StartCommand, WorkerState } from "../../src/index.js";
import { spreadOverHalls } from "../../src/selection/index.js";
import { CellDriver, idOf, makeJob, makeStep, makeWorker } from "../support/index.js";

const halls = ["hall-a", "hall-b", "hall-c", "hall-d"];

/** A cell of three workers in each of four data halls. */
const setUp = (toleratedHallLosses: number): CellDriver => {
    const driver = new CellDriver(undefined, undefined, { toleratedHallLosses });
    const workers = halls.flatMap(hall =>
        [1, 2, 3].map(index => makeWorker(`${hall}-${index}`, { dataHall: dataHallName(hall) }))
    );
    driver.addWorkers(...workers);
    return driver;
};

const countByHall = (starts: readonly StartCommand[]): number[] =>
    halls.map(hall => starts.filter(({ dataHall }) => dataHall === hall).length);

const lasting = (taskCount: number) => makeJob("l", [makeStep({ taskCount, isLasting: true })]);

describe("the tasks of a long-running step", () => {
    it("are spread over the data halls where the loss of one is tolerated", () => {
        const driver = setUp(1);
        driver.cell.submit(lasting(14));
        expect(countByHall(driver.run().starts).sort()).toEqual([3, 3, 4, 4]);
    });

    it("are packed where no loss of a data hall is tolerated", () => {
        const driver = setUp(0);
        driver.cell.submit(lasting(14));
        expect(countByHall(driver.run().starts).filter(count => count > 0).length <= 2).toEqual(true);
    });

    it("do not wait when the other data halls are full", () => {
        const driver = setUp(1);
        driver.cell.setClosedHalls({ halls: halls.slice(0, 3).map(dataHallName), revision: 1 });
        driver.cell.submit(lasting(14));
        expect(countByHall(driver.run().starts)).toEqual([0, 0, 0, 14]);
    });

    /* Guards against an owner that is silent for longer than its heartbeats allow while it places a wide step. */
    it("are distributed without a look at each worker for each task", () => {
        const size = 500;
        let looks = 0;
        const candidates = Array.from({ length: size }, (_, index) => {
            const worker = new WorkerState(idOf(`w${index}`), "10.0.0.1:80");
            worker.applyEntry(makeWorker(`w${index}`, { dataHall: dataHallName(halls[index % halls.length]) }));
            return {
                worker,
                count: 2,
                isPenalised: false,
                ticket: undefined,
                get cost() {
                    looks++;
                    return index;
                },
            };
        });
        const { cell } = new CellDriver();
        const job = cell.submit(lasting(size))!;
        const [step] = [...job.occurrences.values()][0].steps;
        const allocations = spreadOverHalls(step, candidates, size);
        expect(allocations.reduce((sum, { count }) => sum + count, 0)).toEqual(2 * size);
        expect(looks < 100 * size).toEqual(true);
    });

    it("count those that run already", () => {
        const driver = setUp(1);
        driver.cell.submit(lasting(8));
        const first = driver.run().starts;
        driver.confirm(...first);
        first.filter(({ dataHall }) => dataHall === "hall-a").forEach(start => driver.end(start));
        driver.cell.setClosedHalls({ halls: [dataHallName("hall-a")], revision: 1 });
        driver.clock.advance(1_000);
        const again = driver.run().starts;
        expect([...countByHall(again)].sort()).toEqual([0, 0, 1, 1]);
    });
});
