/*
 * A loss that many workers share says little against the tasks there. Its share was taken of all workers of the cell, so that a fifth of a
 * small service beside a large one counted as a few single losses, and innocent tasks were struck in full.
 */
import { serviceName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellDriver, makeJob, makeStep, makeWorker } from "../support/index.js";

const strikesAfter = (silent: number): unknown[] => {
    const driver = new CellDriver();
    const others = Array.from(
        { length: 100 },
        (_, index) => makeWorker(`other${index}`, { service: serviceName("other") }),
    );
    const own = Array.from({ length: 20 }, (_, index) => makeWorker(`w${index}`));
    driver.addWorkers(...others, ...own);
    driver.cell.submit(makeJob("j", [makeStep({ taskCount: 20, mostPerWorker: 1 })]));
    const starts = [...driver.run().starts, ...driver.run().starts];
    driver.confirm(...starts);
    driver.clock.advance(1_000);
    own.forEach(({ worker }) =>
        driver.poll(
            worker,
            starts.filter(start => start.worker === worker).map(start => ({
                ...start,
                checkpoint: "",
                percent: 1,
                measure: 0,
            })),
        )
    );
    const lost = own.slice(0, silent).map(({ worker }) => worker);
    lost.forEach(worker => driver.cell.applySilence(worker, driver.clock.monotonic()));
    lost.forEach(worker => driver.cell.applyReplacement(worker));
    return driver.logged.filter(({ fields }) => fields["cause"] === "crashed").map(({ fields }) => fields["isShared"]);
};

describe("a loss of several workers", () => {
    it("is shared by its share of their service, also for the last of them that is found gone", () => {
        expect(strikesAfter(5)).toEqual([true, true, true, true, true]);
    });

    it("is not shared by two or three of them", () => {
        expect(strikesAfter(3)).toEqual([false, false, false]);
    });
});
