import { serviceName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellDriver, makeWorker } from "../support/index.js";

describe("the summary of a cell", () => {
    /* Guards against VMs that end: figures of a service named like a property of all objects were written into that object. */
    for (const name of ["__proto__", "constructor", "toString"]) {
        it(`counts the workers of a service named ${name}, and leaves all other objects as they are`, () => {
            const driver = new CellDriver();
            const before = Object.getOwnPropertyNames(Object.prototype);
            driver.addWorkers({ ...makeWorker("w1"), service: serviceName(name) });
            const { services } = driver.cell.summary();
            expect(services.get(serviceName(name))?.workers).toEqual(1);
            expect(Object.getOwnPropertyNames(Object.prototype)).toEqual(before);
        });
    }
});
