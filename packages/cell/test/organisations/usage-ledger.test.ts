/** Usage and limits of organisations, and their keys. */
import { organisationName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { digestOf, KeyRing, maxKeyLength, UsageLedger } from "../../src/index.js";
import { makeOrganisation } from "../support/index.js";

const name = organisationName("north");
const sizeOf = (processorThousandths: number, memoryMebibytes = 0) => ({
    processorThousandths,
    memoryMebibytes,
    accelerators: 0,
});

describe("an organisation's usage", () => {
    it("allows as many tasks as the tightest dimension of its limit", () => {
        const ledger = new UsageLedger();
        ledger.configure([makeOrganisation("north", 10, { limit: sizeOf(10_000, 4_000) })]);
        expect(ledger.countRemaining(name, sizeOf(1_000, 1_000))).toEqual(4);
        ledger.add(name, sizeOf(1_000, 1_000));
        expect(ledger.countRemaining(name, sizeOf(1_000, 1_000))).toEqual(3);
        expect(ledger.countWhenIdle(name, sizeOf(1_000, 1_000))).toEqual(4);
    });

    it("allows zero tasks, never fewer, after its limit was lowered, until enough runs have ended", () => {
        const ledger = new UsageLedger();
        ledger.configure([makeOrganisation("north", 10)]);
        [1, 2, 3, 4].forEach(() => ledger.add(name, sizeOf(2_000)));
        ledger.configure([makeOrganisation("north", 4)]);
        expect(ledger.countRemaining(name, sizeOf(1_000))).toEqual(0);
        [1, 2, 3].forEach(() => ledger.remove(name, sizeOf(2_000)));
        expect(ledger.countRemaining(name, sizeOf(1_000))).toEqual(2);
    });

    it("allows nothing while its limit is not known, and treats 0 as no limit", () => {
        const ledger = new UsageLedger();
        expect(ledger.countRemaining(name, sizeOf(1))).toEqual(0);
        ledger.configure([makeOrganisation("north", 0)]);
        expect(ledger.countRemaining(name, sizeOf(1_000_000))).toEqual(Infinity);
    });

    it("stays under its last limit when it is no longer configured", () => {
        const ledger = new UsageLedger();
        ledger.configure([makeOrganisation("north", 3)]);
        ledger.configure([]);
        expect(ledger.countRemaining(name, sizeOf(1_000))).toEqual(3);
    });
});

describe("a key ring", () => {
    const ring = new KeyRing([makeOrganisation("north", 1, { keys: [digestOf("one"), digestOf("two")] })]);

    it("finds each key of each organisation and no other", () => {
        expect(["one", "two", "three", "", "One"].map(key => ring.holderOf(key)))
            .toEqual([name, name, undefined, undefined, undefined]);
    });

    it("rejects keys beyond the maximum length", () => {
        const long = "k".repeat(maxKeyLength + 1);
        const holder = new KeyRing([makeOrganisation("north", 1, { keys: [digestOf(long)] })]);
        expect(holder.holderOf(long)).toEqual(undefined);
    });
});
