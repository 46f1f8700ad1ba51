import { type KeyVersion, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { after, describe, it } from "node:test";
import { CellView, listenForOwners, VmDialer, vmKey } from "../../src/index.js";
import { makeVm, pass } from "../support/index.js";

const show = (view: CellView, names: readonly string[], address: string): void => {
    const entries = names.map(name => ({
        key: vmKey(name),
        value: JSON.stringify(makeVm(name, { address })),
        version: 1 as KeyVersion,
    }));
    view.change({ changed: entries, removed: [], cursor: "" });
};

describe("an owner that reached others", () => {
    const stop = new AbortController();

    after(() => stop.abort());

    it("does not take itself for cut off because many VMs have just shown up", async () => {
        const clock = new ManualClock();
        const address = "127.0.0.1:26720";
        await listenForOwners(address, () => undefined, stop.signal);
        const view = new CellView(clock);
        show(view, ["b"], address);
        const dialer = new VmDialer(view, makeVm("a"), clock);
        void dialer.run(stop.signal);
        for (let tries = 0; dialer.isIsolated && tries < 100; tries++) {
            await pass(clock, 10);
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(dialer.hasBeenCutOff).toEqual(false);
        show(view, ["c", "d", "e", "f", "g", "h"], "127.0.0.1:26721");
        expect(dialer.hasBeenCutOff).toEqual(false);
    });
});
