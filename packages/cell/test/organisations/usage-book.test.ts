/** What organisations have at work and may have. */
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
    it("leaves as many tasks as its tightest limit holds", () => {
        const book = new UsageLedger();
        book.configure([makeOrganisation("north", 10, { limit: sizeOf(10_000, 4_000) })]);
        expect(book.countRemaining(name, sizeOf(1_000, 1_000))).toEqual(4);
        book.add(name, sizeOf(1_000, 1_000));
        expect(book.countRemaining(name, sizeOf(1_000, 1_000))).toEqual(3);
        expect(book.countWhenIdle(name, sizeOf(1_000, 1_000))).toEqual(4);
    });

    it("leaves nothing, not less, under a limit that has fallen, and counts what ends", () => {
        const book = new UsageLedger();
        book.configure([makeOrganisation("north", 10)]);
        [1, 2, 3, 4].forEach(() => book.add(name, sizeOf(2_000)));
        book.configure([makeOrganisation("north", 4)]);
        expect(book.countRemaining(name, sizeOf(1_000))).toEqual(0);
        [1, 2, 3].forEach(() => book.remove(name, sizeOf(2_000)));
        expect(book.countRemaining(name, sizeOf(1_000))).toEqual(2);
    });

    it("leaves nothing to one whose limit is not known yet, and takes 0 for no limit", () => {
        const book = new UsageLedger();
        expect(book.countRemaining(name, sizeOf(1))).toEqual(0);
        book.configure([makeOrganisation("north", 0)]);
        expect(book.countRemaining(name, sizeOf(1_000_000))).toEqual(Infinity);
    });

    it("keeps the last limit of one that is no longer configured", () => {
        const book = new UsageLedger();
        book.configure([makeOrganisation("north", 3)]);
        book.configure([]);
        expect(book.countRemaining(name, sizeOf(1_000))).toEqual(3);
    });
});

describe("a key ring", () => {
    const ring = new KeyRing([makeOrganisation("north", 1, { keys: [digestOf("one"), digestOf("two")] })]);

    it("knows each key of each organisation and no other", () => {
        expect(["one", "two", "three", "", "One"].map(key => ring.holderOf(key)))
            .toEqual([name, name, undefined, undefined, undefined]);
    });

    it("does not look at keys that are longer than any", () => {
        const long = "k".repeat(maxKeyLength + 1);
        const holder = new KeyRing([makeOrganisation("north", 1, { keys: [digestOf(long)] })]);
        expect(holder.holderOf(long)).toEqual(undefined);
    });
});
