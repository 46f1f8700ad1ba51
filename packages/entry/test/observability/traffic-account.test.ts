import { dataHallName, ManualClock, regionName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { EntryMetrics, hasSeveralRegions, logTraffic, TrafficAccount, TrafficPeer } from "../../src/index.js";
import { RecordingLogger, settle } from "../support/index.js";

const [north, south] = [dataHallName("north-a"), dataHallName("south-a")];
const regions = new Map([[north, regionName("north")], [south, regionName("south")]]);

describe("the account of a VM's bytes", () => {
    it("tells kinds, and what leaves the region, apart", () => {
        const account = new TrafficAccount(regions, north);
        account.locate("127.0.0.1:2", south);
        account.recordMessage("looked", north, 10);
        account.recordMessage("looked", south, 20);
        account.recordMessage("looked", south, 30);
        account.recordMessage("beat", undefined, 5);
        account.recordWorkerCall("poll", "127.0.0.1:2", { sent: 1, received: 2 });
        account.recordUnlocated(TrafficPeer.Store, "get", { sent: 0, received: 7 });
        expect(
            account.totals.map(({ peer, reach, kind, count, sent, received }) =>
                [peer, reach, kind, count, sent, received].join(" ")
            ),
        ).toEqual([
            "vm near looked 1 10 0",
            "vm far looked 2 50 0",
            "vm unknown beat 1 5 0",
            "worker far poll 1 1 2",
            "store unknown get 1 0 7",
        ]);
    });

    it("is shown by the metrics, and repeated reading does not add to it", async () => {
        const account = new TrafficAccount(regions, north);
        const entryMetrics = new EntryMetrics();
        entryMetrics.addTraffic(account);
        account.recordMessage("looked", south, 20);
        await entryMetrics.metrics.registry.metrics();
        const text = await entryMetrics.metrics.registry.metrics();
        expect(text.includes("peer=\"vm\",reach=\"far\",kind=\"looked\",direction=\"sent\"} 20\n")).toEqual(true);
    });

    it("is logged with a bounded number of kinds, the largest first", async () => {
        const account = new TrafficAccount(regions, north);
        for (let kind = 0; kind < 100; kind++) {
            account.recordMessage(`kind-${kind}`, south, kind);
        }
        const clock = new ManualClock();
        const logger = new RecordingLogger();
        const stop = new AbortController();
        const running = logTraffic(account, clock, logger, stop.signal);
        stop.abort();
        await settle();
        await running;
        const traffic = logger.logged[0].fields["traffic"] as unknown[][];
        expect([traffic.length < 30, traffic[0][2]]).toEqual([true, "kind-99"]);
    });

    it("is kept only where there is more than one region", () => {
        expect(hasSeveralRegions(regions)).toEqual(true);
        expect(hasSeveralRegions(new Map([[north, regionName("north")], [south, regionName("north")]]))).toEqual(false);
        expect(hasSeveralRegions(new Map())).toEqual(false);
    });
});
