import { acceptSettings, type Clock, readHistory, readSettings, settingsRevision } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { FlakyStore } from "../journal/flaky-store.js";

const clock: Clock = { monotonic: () => 0, now: () => new Date(0), sleep: () => Promise.resolve() };

const accept = (store: FlakyStore, base: number, nonce: string, text = `; ${nonce}`) =>
    acceptSettings({
        store,
        clock,
        base: settingsRevision(base),
        text,
        author: nonce,
        note: "",
        nonce,
        settleWithin: 1,
    });

describe("accepting settings", () => {
    it("accepts one of two concurrent revisions and returns it to the author of the other", async () => {
        const store = new FlakyStore();
        await accept(store, 0, "first");
        const outcomes = await Promise.all([accept(store, 1, "ana"), accept(store, 1, "ben")]);
        expect(outcomes.map(outcome => outcome.kind).sort()).toEqual(["accepted", "superseded"]);
        const loser = outcomes.find(outcome => outcome.kind === "superseded");
        expect(loser?.kind === "superseded" ? loser.current?.revision : undefined).toEqual(settingsRevision(2));
    });

    it("reads the outcome back when the answer was lost, and accepts once", async () => {
        const store = new FlakyStore();
        store.outcomes.push("answer lost");
        expect((await accept(store, 0, "ana")).kind).toEqual("accepted");
        expect((await readSettings(store))?.revision).toEqual(settingsRevision(1));
    });

    it("recognises its own revision after a lost answer, even when a later one has been accepted", async () => {
        const store = new FlakyStore();
        await accept(store, 0, "first");
        store.outcomes.push("answered", "answer lost");
        const get = store.get.bind(store);
        let hasRaced = false;
        // The first read after the lost answer is the one that looks for the own revision.
        store.get = async key => {
            if (!hasRaced && store.outcomes.length === 0) {
                hasRaced = true;
                await accept(store, 2, "ben");
            }
            return get(key);
        };
        expect((await accept(store, 1, "ana")).kind).toEqual("accepted");
        expect((await readHistory(store, 10)).map(({ author }) => author)).toEqual(["ben", "ana", "first"]);
        expect((await accept(store, 1, "ana")).kind).toEqual("accepted");
    });

    it("keeps every accepted revision in the history", async () => {
        const store = new FlakyStore();
        for (let base = 0; base < 5; base++) {
            await accept(store, base, `operator-${base}`);
        }
        const history = await readHistory(store, 10);
        expect(history.map(entry => Number(entry.revision))).toEqual([5, 4, 3, 2, 1]);
    });

    it("refuses a tree that is too large for the platform", async () => {
        const outcome = await accept(new FlakyStore(), 0, "ana", "x".repeat(600_000));
        expect(outcome.kind).toEqual("too-large");
    });
});
