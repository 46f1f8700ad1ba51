/*
 * A key went with each lease that it had ever been written under. When a cell was handed over, the next owner wrote its key over the former
 * owner's, the former one ended its lease, and the key of the next one was gone: other VMs claimed, were fenced, ended their leases, and so
 * on, 45 owners in 8 s.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { MemoryStore } from "../src/index.js";

describe("a key that was written under one lease and then under another", () => {
    it("goes with the last one only", () => {
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
