/*
 * Guards against a VM beyond a narrow link that reads each configuration over it although the owner has sent it, and against one that relies on an
 * owner which lies behind, hangs or is gone.
 */
import { type CellConfiguration, type OperatorUpdate, type UpkeepWave, vmId } from "@pebbledale/cell";
import { dataHallName, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    ConfigurationWatch,
    followLimitsOf,
    HallClosureWatch,
    type OperatorsCopy,
    OwnerConfirmation,
    StoreProbe,
} from "../../src/index.js";
import { configuration } from "../support/configuration.js";
import { advanceTime, RecordingLogger } from "../support/index.js";

const hall = dataHallName("hall-a");
const versionOf = (version: number): CellConfiguration => ({ ...configuration, version });
const updateOf = (cursor: string, version?: number): OperatorUpdate => ({
    configuration: version === undefined ? undefined : versionOf(version),
    waves: [],
    halls: { closed: [], reopened: [], revision: Number(cursor) },
    cursor,
});
const copyOf = (changes: Partial<OperatorsCopy> = {}): OperatorsCopy => ({
    cursor: "20",
    age: 300,
    version: 1,
    closures: { halls: [], revision: 20 },
    waves: [],
    ...changes,
});

/** Starts a VM whose store answers a wait for changes when it is over. */
const start = async (ask: (since: string) => Promise<OperatorsCopy | undefined>, isWanted = () => true) => {
    const clock = new ManualClock();
    const logger = new RecordingLogger();
    const stop = new AbortController();
    const limits = followLimitsOf({
        drainWithin: 4_000,
        configurationWithin: 4_000,
        closureWithin: 4_000,
        contactWithin: 4_000,
    });
    const cursors: string[] = [];
    const passedOn: UpkeepWave[] = [];
    const halls = new HallClosureWatch({ logger, onChange: () => undefined });
    const watch = new ConfigurationWatch({
        feed: {
            read: () => Promise.resolve(updateOf("10", 1)),
            follow: async (cursor, wait, signal) => {
                cursors.push(cursor);
                await clock.sleep(wait, signal);
                return updateOf("30", 2);
            },
        },
        clock,
        logger,
        limits,
        probe: new StoreProbe({ clock, call: () => Promise.resolve(), isNeeded: () => false }),
        onChange: () => undefined,
        onWaves: waves => passedOn.push(...waves),
        halls,
        confirmation: new OwnerConfirmation({ clock, limits, isWanted, ask }),
    });
    void watch.run(stop.signal);
    await advanceTime(clock, 100);
    return { clock, watch, halls, cursors, passedOn, stop: () => stop.abort(), limits };
};

describe("a VM that relies on the owner for the operators' keys", () => {
    it("does not read the store while the owner confirms its copy, and goes on from the owner's revision", async () => {
        let answer: OperatorsCopy | undefined = copyOf();
        const { clock, watch, cursors, stop } = await start(() => Promise.resolve(answer));
        await advanceTime(clock, 10_000);
        expect(cursors).toEqual([]);
        expect((watch.age ?? Infinity) < 1_000).toEqual(true);
        answer = undefined;
        await advanceTime(clock, 3_000);
        expect(cursors[0]).toEqual("20");
        expect(watch.configuration?.version).toEqual(2);
        stop();
    });

    it("learns which data halls are closed with the owner's copy", async () => {
        const copy = copyOf({ closures: { halls: [hall], revision: 20 } });
        const { clock, halls, stop } = await start(() => Promise.resolve(copy));
        await advanceTime(clock, 1_000);
        expect(halls.isClosed(hall)).toEqual(true);
        stop();
    });

    /* Guards against a VM that becomes the owner and plans upkeep by an earlier version of a wave. */
    it("learns new and changed waves of upkeep with the owner's copy", async () => {
        const wave = { wave: 1, vms: [vmId("vm-1")], within: 20_000, mostDown: 1 };
        let copy = copyOf({ waves: [wave] });
        const { clock, watch, stop } = await start(() => Promise.resolve(copy));
        await advanceTime(clock, 1_000);
        expect(watch.waves).toEqual([wave]);
        copy = copyOf({ cursor: "21", waves: [{ ...wave, mostDown: 2 }] });
        await advanceTime(clock, 1_000);
        expect(watch.waves).toEqual([{ ...wave, mostDown: 2 }]);
        stop();
    });

    /* Guards against a VM that has become the owner while it asked the former one, and never carries out a wave. */
    it("passes the waves of the owner's copy on, each version once", async () => {
        const wave = { wave: 1, vms: [vmId("vm-1")], within: 20_000, mostDown: 1 };
        let copy = copyOf({ waves: [wave] });
        const { clock, passedOn, stop } = await start(() => Promise.resolve(copy));
        await advanceTime(clock, 3_000);
        copy = copyOf({ cursor: "21", waves: [{ ...wave, mostDown: 2 }] });
        await advanceTime(clock, 3_000);
        expect(passedOn).toEqual([wave, { ...wave, mostDown: 2 }]);
        stop();
    });

    /* Guards against all waves of upkeep that ever were being sent over a narrow link at each question. */
    it("is asked with the revision of the copy, and answers with waves only where the copy may lack one", async () => {
        const wave = { wave: 1, vms: [vmId("vm-1")], within: 20_000, mostDown: 1 };
        const asked: string[] = [];
        const copy = copyOf({ waves: [wave] });
        const { clock, watch, stop } = await start(since => {
            asked.push(since);
            return Promise.resolve(copy);
        });
        await advanceTime(clock, 3_000);
        expect(asked.slice(0, 2)).toEqual(["10", "20"]);
        expect([undefined, "19", "20", "21"].map(since => watch.copyFor(since)?.waves)).toEqual([
            [wave],
            [wave],
            [],
            [],
        ]);
        stop();
    });

    it("waits for a configuration that is on its way from the owner", async () => {
        const { clock, watch, cursors, stop } = await start(() => Promise.resolve(copyOf({ version: 5 })));
        await advanceTime(clock, 700);
        watch.apply(versionOf(5), "owner");
        await advanceTime(clock, 600);
        expect(cursors).toEqual([]);
        stop();
    });

    const failures: readonly [string, () => Promise<OperatorsCopy | undefined>][] = [
        ["hangs", () => new Promise(() => undefined)],
        ["is gone", () => Promise.resolve(undefined)],
        ["has not heard the store lately", () => Promise.resolve(copyOf({ age: 3_000 }))],
        ["has a configuration that does not arrive", () => Promise.resolve(copyOf({ version: 5 }))],
    ];
    failures.forEach(([failure, ask]) =>
        it(`reads the store by itself within its wait when the owner ${failure}`, async () => {
            const { clock, watch, cursors, stop, limits } = await start(ask);
            await advanceTime(clock, limits.wait - 200);
            expect(cursors).toEqual(["10"]);
            await advanceTime(clock, 200);
            expect([watch.configuration?.version, (watch.age ?? Infinity) < 1_000]).toEqual([2, true]);
            stop();
        })
    );

    it("keeps its own revision when the owner's reading is older, and does not undo what it has read", async () => {
        const copy = copyOf({ cursor: "5", closures: { halls: [hall], revision: 5 } });
        let isWanted = true;
        const { clock, halls, cursors, stop } = await start(() => Promise.resolve(copy), () => isWanted);
        await advanceTime(clock, 2_000);
        expect([cursors, halls.isClosed(hall)]).toEqual([[], false]);
        isWanted = false;
        await advanceTime(clock, 1_500);
        expect(cursors[0]).toEqual("10");
        stop();
    });

    it("counts the time of the question and its answer as age, so that a late answer does not look fresh", async () => {
        const { clock, watch, stop } = await start(async () => {
            await clock.sleep(400);
            return copyOf({ age: 1_000 });
        });
        await advanceTime(clock, 1_000);
        expect((watch.age ?? 0) >= 1_400).toEqual(true);
        stop();
    });

    it("reads the store as others do where it is not to rely on the owner", async () => {
        const { clock, cursors, stop } = await start(() => Promise.resolve(copyOf()), () => false);
        await advanceTime(clock, 3_000);
        expect(cursors).toEqual(["10", "30"]);
        stop();
    });
});
