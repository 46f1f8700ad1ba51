import { type KeyVersion, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellView } from "../../src/membership/index.js";

const entryOf = (key: string, value: string, version: number) => ({ key, value, version: version as KeyVersion });
const owner = JSON.stringify({ name: "vm-1", address: "10.0.0.1:7720", process: "p" });

describe("the view of the cell", () => {
    it("treats unreadable entries as missing, and keeps all others", () => {
        const view = new CellView(new ManualClock());
        const values = ["", "null", "{", "7", "{\"process\":1}"];
        view.replace({
            entries: [
                ...values.map((value, index) => entryOf(`cell/nodes/strange-${index}`, value, 1)),
                entryOf("cell/nodes/vm-1", owner, 1),
                entryOf("cell/owner", owner, 1),
            ],
            cursor: "1",
        });
        expect([...view.vms.keys()]).toEqual(["vm-1"]);
        expect(view.owner?.name).toEqual("vm-1");
    });

    it("allows an unreadable owner's key to be claimed at its version", () => {
        const view = new CellView(new ManualClock());
        view.replace({ entries: [entryOf("cell/owner", owner, 1)], cursor: "1" });
        view.apply({ changed: [entryOf("cell/owner", "\u0000", 7)], removed: [], cursor: "2" });
        expect([view.owner, Number(view.ownerVersion)]).toEqual([undefined, 7]);
        expect(view.ownerMissingSince !== undefined).toEqual(true);
    });
});
