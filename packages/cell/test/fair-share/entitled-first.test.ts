/** Organisations that share a full cell: entitled work goes first, and no capacity stays idle. */
import { logEvents, organisationName } from "@pebbledale/core";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import type { StartCommand } from "../../src/index.js";
import {
    CellDriver,
    makeConfiguration,
    makeJob,
    makeOrganisation,
    makeQueue,
    makeStep,
    makeWorker,
} from "../support/index.js";

const hot = organisationName("hot");
const small = organisationName("small");
const weights = { hot: 2, small: 1 };
const configurationOf = (version: number, { hot: hotWeight, small: smallWeight }: typeof weights) =>
    makeConfiguration(version, [makeQueue("work", { needsKey: true })], [
        makeOrganisation("hot", 1_000, { weight: hotWeight }),
        makeOrganisation("small", 1_000, { weight: smallWeight }),
    ]);
const addWorker = (driver: CellDriver, cores: number): void => {
    const capacity = { processorThousandths: cores * 1_000, memoryMebibytes: 1_000_000, accelerators: 0 };
    driver.addWorkers(makeWorker("w1", { capacity }));
};
const makeDriver = (cores: number): CellDriver => {
    const driver = new CellDriver(undefined, configurationOf(1, weights));
    addWorker(driver, cores);
    return driver;
};
const submit = (driver: CellDriver, name: string, organisation: typeof hot): void => {
    driver.cell.submit(makeJob(name, [makeStep()], { organisation }));
};
const jobsOf = (starts: readonly StartCommand[]): string[] => starts.map(({ task }) => task.split("/")[0]);

/** Jobs in the order in which they start while earlier ones end. */
const startOrder = (driver: CellDriver): string[] => {
    const order: string[] = [];
    for (let { starts } = driver.run(); starts.length > 0; { starts } = driver.run()) {
        order.push(...jobsOf(starts));
        driver.confirm(...starts);
        starts.forEach(start => driver.end(start));
    }
    return order;
};

describe("an organisation that submits more than it is entitled to", () => {
    it("has its surplus wait behind others' entitled jobs, though it was submitted earlier", () => {
        const driver = makeDriver(3);
        ["h1", "h2", "h3", "h4", "h5"].forEach(name => submit(driver, name, hot));
        submit(driver, "s1", small);
        const { starts } = driver.run();
        // It is entitled to four: two of this second and two unused ones of the second before.
        expect(jobsOf(starts)).toEqual(["h1", "h2", "h3"]);
        driver.confirm(...starts);
        starts.slice(0, 2).forEach(start => driver.end(start));
        expect(jobsOf(driver.run().starts)).toEqual(["h4", "s1"]);
    });

    it("can be identified by the log lines of its jobs", () => {
        const driver = makeDriver(1);
        ["h1", "h2", "h3", "h4", "h5"].forEach(name => submit(driver, name, hot));
        const entitled = driver.logged
            .filter(({ event }) => event === logEvents.jobAccepted)
            .map(({ fields }) => fields["isOwed"]);
        expect(entitled).toEqual([true, true, true, true, false]);
    });

    it("is treated the same by a new owner", () => {
        const driver = new CellDriver(undefined, configurationOf(1, weights));
        ["h1", "h2", "h3", "h4", "h5"].forEach(name => submit(driver, name, hot));
        submit(driver, "s1", small);
        driver.run();
        driver.takeOver();
        addWorker(driver, 1);
        expect(startOrder(driver)).toEqual(["h1", "h2", "h3", "h4", "s1", "h5"]);
    });

    it("is judged by the new weights once the configuration changes", () => {
        const driver = makeDriver(1);
        ["h1", "h2", "h3"].forEach(name => submit(driver, name, hot));
        submit(driver, "s1", small);
        driver.cell.configure(configurationOf(2, { hot: 1, small: 1 }));
        expect(startOrder(driver)).toEqual(["h1", "h2", "s1", "h3"]);
    });

    it("leaves no capacity idle: whatever mix is submitted, as much starts as fits", () => {
        fc.assert(fc.property(
            fc.array(fc.boolean(), { maxLength: 30 }),
            fc.integer({ min: 1, max: 20 }),
            (mix, cores) => {
                const driver = makeDriver(cores);
                mix.forEach((isHot, index) => submit(driver, `job-${index}`, isHot ? hot : small));
                expect(driver.run().starts.length).toEqual(Math.min(mix.length, cores));
            },
        ));
    });
});
