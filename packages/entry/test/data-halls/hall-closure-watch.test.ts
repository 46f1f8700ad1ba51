import type { HallClosures } from "@pebbledale/cell";
import { dataHallName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { HallClosureWatch } from "../../src/index.js";
import { RecordingLogger } from "../support/index.js";

const hallA = dataHallName("hall-a");
const hallB = dataHallName("hall-b");

const setUp = () => {
    const changes: HallClosures[] = [];
    const watch = new HallClosureWatch({ logger: new RecordingLogger(), onChange: closures => changes.push(closures) });
    return { watch, changes };
};

describe("a watch of closed data halls", () => {
    it("follows closures and reopenings in the store", () => {
        const { watch, changes } = setUp();
        watch.replace({ closed: [hallA], reopened: [], revision: 5 });
        watch.change({ closed: [hallB], reopened: [], revision: 6 });
        watch.change({ closed: [], reopened: [hallA], revision: 8 });
        expect(watch.closures).toEqual({ halls: [hallB], revision: 8 });
        expect(changes.map(({ halls }) => halls)).toEqual([[hallA], [hallA, hallB], [hallB]]);
    });

    it("reports no change when a reading confirms what is known", () => {
        const { watch, changes } = setUp();
        watch.replace({ closed: [hallA], reopened: [], revision: 5 });
        watch.change({ closed: [], reopened: [], revision: 9 });
        expect([changes.length, watch.closures.revision]).toEqual([1, 9]);
    });

    /* The history of the store can be forgotten, so that a reopening is seen only by reading everything again. */
    it("forgets closures that a complete reading no longer lists", () => {
        const { watch } = setUp();
        watch.replace({ closed: [hallA, hallB], reopened: [], revision: 5 });
        watch.replace({ closed: [hallB], reopened: [], revision: 12 });
        expect([watch.isClosed(hallA), watch.isClosed(hallB)]).toEqual([false, true]);
    });

    it("adopts what another VM has read later, and keeps it while its own readings are older", () => {
        const { watch } = setUp();
        watch.replace({ closed: [], reopened: [], revision: 5 });
        expect(watch.applyPeers({ halls: [hallA], revision: 9 })).toEqual(undefined);
        watch.change({ closed: [hallB], reopened: [], revision: 7 });
        expect(watch.closures).toEqual({ halls: [hallA], revision: 9 });
        watch.change({ closed: [], reopened: [], revision: 10 });
        expect(watch.closures).toEqual({ halls: [hallB], revision: 10 });
    });

    it("returns its own closures to a VM whose reading is older", () => {
        const { watch } = setUp();
        watch.replace({ closed: [hallA], reopened: [], revision: 9 });
        expect(watch.applyPeers({ halls: [], revision: 4 })).toEqual({ halls: [hallA], revision: 9 });
        expect(watch.isClosed(hallA)).toEqual(true);
    });

    /* Guards against VMs that correct each other endlessly. */
    it("agrees with a VM that has read something else at the same revision, without another message", () => {
        const { watch } = setUp();
        const other = setUp().watch;
        watch.replace({ closed: [hallA], reopened: [], revision: 9 });
        other.replace({ closed: [hallB], reopened: [], revision: 9 });
        const closures = watch.closures;
        expect(watch.applyPeers(other.closures)).toEqual(undefined);
        expect(other.applyPeers(closures)).toEqual(undefined);
        expect([...watch.closures.halls].sort()).toEqual([...other.closures.halls].sort());
        expect([watch.isClosed(hallA), watch.isClosed(hallB)]).toEqual([true, true]);
    });
});
