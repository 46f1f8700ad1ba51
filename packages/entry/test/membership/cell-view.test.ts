import { type KeyVersion, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellView } from "../../src/membership/index.js";

const entryOf = (key: string, value: string, version: number) => ({ key, value, version: version as KeyVersion });
const ownerFields = { name: "vm-1", address: "10.0.0.1:7720", process: "p" };
const owner = JSON.stringify(ownerFields);
const vmFields = { ...ownerFields, dataHall: "hall-a", processorShare: 1, startedAt: 1_700_000_000 };
const vm = JSON.stringify(vmFields);
const deepArrays = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;

/** Texts with another value of one field, which need not be one that can be serialized. */
const vmWith = (field: string, text: string): string => {
    const others = Object.entries(vmFields).filter(([name]) => name !== field);
    return `{${others.map(([name, value]) => `"${name}":${JSON.stringify(value)},`).join("")}"${field}":${text}}`;
};

describe("the view of the cell", () => {
    it("treats unreadable entries as missing, and keeps all others", () => {
        const view = new CellView(new ManualClock());
        const values = ["", "null", "{", "7", "{\"process\":1}"];
        view.replace({
            entries: [
                ...values.map((value, index) => entryOf(`cell/nodes/strange-${index}`, value, 1)),
                entryOf("cell/nodes/vm-1", vm, 1),
                entryOf("cell/owner", owner, 1),
            ],
            cursor: "1",
        });
        expect([...view.vms.keys()]).toEqual(["vm-1"]);
        expect(view.owner?.name).toEqual("vm-1");
    });

    /* Guards against VMs that end: opening a connection to such an address throws. */
    for (const port of ["99999", "65536", "0", "-1", "", "1e3", "80:90"]) {
        it(`treats entries with port "${port}" as missing, and reports them`, () => {
            const reported: string[] = [];
            const view = new CellView(new ManualClock(), key => void reported.push(key));
            const address = `10.0.0.1:${port}`;
            view.replace({
                entries: [
                    entryOf("cell/nodes/vm-1", JSON.stringify({ ...vmFields, address }), 1),
                    entryOf("cell/owner", JSON.stringify({ ...ownerFields, address }), 1),
                ],
                cursor: "1",
            });
            expect([view.vms.size, view.owner, reported]).toEqual([0, undefined, ["cell/nodes/vm-1", "cell/owner"]]);
        });
    }

    it("treats entries as missing that are deeply nested, have unusable numbers or lack a field", () => {
        const view = new CellView(new ManualClock());
        const values = [
            deepArrays,
            vmWith("dataHall", deepArrays),
            vmWith("processorShare", "1e400"),
            vmWith("processorShare", "-1"),
            vmWith("processorShare", "\"1\""),
            vmWith("startedAt", "1e400"),
            vmWith("storeTime", "{}"),
            owner,
        ];
        values.forEach((value, index) =>
            view.apply({ changed: [entryOf("cell/nodes/vm-1", value, index + 1)], removed: [], cursor: "1" })
        );
        expect(view.vms.size).toEqual(0);
    });

    it("treats an entry as missing whose key names another VM", () => {
        const view = new CellView(new ManualClock());
        view.apply({ changed: [entryOf("cell/nodes/strange", vm, 1)], removed: [], cursor: "1" });
        expect(view.vms.size).toEqual(0);
    });

    /* Guards against a VM without a link to the owner: the end of the removed key was taken for the VM's name. */
    it("keeps a VM when another key of the same length and end is removed", () => {
        const view = new CellView(new ManualClock());
        view.apply({ changed: [entryOf("cell/nodes/vm-1", vm, 1)], removed: [], cursor: "1" });
        view.apply({ changed: [], removed: ["cell/other/vm-1"], cursor: "2" });
        expect([...view.vms.keys()]).toEqual(["vm-1"]);
    });

    it("allows an unreadable owner's key to be claimed at its version", () => {
        const view = new CellView(new ManualClock());
        view.replace({ entries: [entryOf("cell/owner", owner, 1)], cursor: "1" });
        view.apply({ changed: [entryOf("cell/owner", "\u0000", 7)], removed: [], cursor: "2" });
        expect([view.owner, Number(view.ownerVersion)]).toEqual([undefined, 7]);
        expect(view.ownerMissingSince !== undefined).toEqual(true);
    });
});
