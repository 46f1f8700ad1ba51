/*
 * Guards against deleting a key together with the lease of an earlier write: a former owner that revokes its lease would
 * delete the key that the next owner has written since.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { MemoryStore } from "../src/index.js";

describe("a key written under two leases in turn", () => {
    it("is deleted with the latest lease only", () => {
        const store = new MemoryStore();
        const former = store.grantLease(1_000, 0);
        const next = store.grantLease(1_000, 0);
        store.swap("key", 0, "former", former);
        store.swap("key", store.get("key")!.version, "next", next);
        store.revokeLease(former);
        expect(store.get("key")?.value).toEqual("next");
        store.revokeLease(next);
        expect(store.get("key")).toEqual(undefined);
    });
});

describe("a key that does not exist", () => {
    it("is removed without a change that wakes watches", () => {
        const store = new MemoryStore();
        store.swap("other", 0, "value");
        const { cursor } = store.changesAfter("", "")!;
        expect(store.remove("key", 0)).toEqual(true);
        expect(store.changesAfter("", cursor)).toEqual(undefined);
    });
});
