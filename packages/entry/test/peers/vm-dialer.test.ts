import { type KeyVersion, ManualClock, SystemClock } from "@pebbledale/core";
import { expect } from "earl";
import { after, describe, it } from "node:test";
import {
    CellView,
    type Channel,
    type EntryVm,
    listenForOwners,
    type OwnerMessage,
    VmDialer,
    vmKey,
    type VmMessage,
} from "../../src/index.js";
import { advanceTime, makeVm } from "../support/index.js";

const listVms = (view: CellView, names: readonly string[], address: string): void => {
    const entries = names.map(name => ({
        key: vmKey(name),
        value: JSON.stringify(makeVm(name, { address })),
        version: 1 as KeyVersion,
    }));
    view.apply({ changed: entries, removed: [], cursor: "" });
};

/** A loopback address derived from the process id, so that concurrent test processes do not share ports. */
const host = `127.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}.1`;

describe("an owner that has reached other VMs", () => {
    const stop = new AbortController();

    after(() => stop.abort());

    it("does not become isolated because many VMs have just joined", async () => {
        const clock = new ManualClock();
        const address = `${host}:26720`;
        await listenForOwners(address, () => undefined, stop.signal);
        const view = new CellView(clock);
        listVms(view, ["b"], address);
        const dialer = new VmDialer(view, makeVm("a"), clock);
        void dialer.run(stop.signal);
        for (let tries = 0; dialer.isIsolated && tries < 100; tries++) {
            await advanceTime(clock, 10);
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(dialer.hasBecomeIsolated).toEqual(false);
        listVms(view, ["c", "d", "e", "f", "g", "h"], `${host}:26721`);
        expect(dialer.hasBecomeIsolated).toEqual(false);
    });
});

describe("a candidate that does not hear the owner", () => {
    const stop = new AbortController();

    after(() => stop.abort());

    /** Listens as a VM that has not heard the owner for `silence`. */
    const listenAs = async (port: number, silence: number): Promise<string> => {
        const address = `${host}:${port}`;
        const attach = (channel: Channel<VmMessage, OwnerMessage>) =>
            channel.send({ kind: "owner-heard", epoch: 1, silence });
        await listenForOwners(address, attach, stop.signal);
        return address;
    };

    const isSilenceAgreed = async (port: number, silences: readonly number[], limit: number): Promise<boolean> => {
        const clock = new SystemClock();
        const view = new CellView(clock);
        listVms(view, ["owner"], `${host}:26739`);
        for (const [index, silence] of silences.entries()) {
            listVms(view, [`vm-${index}`], await listenAs(port + index, silence));
        }
        const dialer = new VmDialer(view, makeVm("a"), clock);
        void dialer.run(stop.signal);
        return dialer.untilSilenceAgreed("owner", 300, limit);
    };

    it("needs the agreement of a majority of the VMs, including itself", async () => {
        // Agreement resolves at once; only its absence takes the whole limit.
        expect(await isSilenceAgreed(26_740, [500, 500, 20], 10_000)).toEqual(true);
        expect(await isSilenceAgreed(26_744, [500, 20, 20], 300)).toEqual(false);
    });
});

/*
 * Guards against an owner whose connections all hang giving up the cell before a new dial has shown whether the VMs are
 * reachable.
 */
describe("an owner that no longer hears a VM", () => {
    const stop = new AbortController();

    after(() => stop.abort());

    /** Connections whose silence is set by the test. */
    class Connections {
        readonly channels: Channel<OwnerMessage, VmMessage>[] = [];
        silence = 0;

        isConnected(): boolean {
            return this.channels.length > 0;
        }

        silenceOf(): number {
            return this.silence;
        }

        connect(_vm: EntryVm, channel: Channel<OwnerMessage, VmMessage>): void {
            this.channels.push(channel);
            this.silence = 0;
        }
    }

    const until = async (isDone: () => boolean): Promise<void> => {
        for (let tries = 0; !isDone() && tries < 300; tries++) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    };

    const setUp = async (port: number) => {
        const address = `${host}:${port}`;
        await listenForOwners(address, () => undefined, stop.signal);
        const view = new CellView(new SystemClock());
        listVms(view, ["b"], address);
        const dialer = new VmDialer(view, makeVm("a"), new SystemClock());
        const connections = new Connections();
        dialer.attach(connections);
        void dialer.run(stop.signal);
        await until(() => connections.channels.length === 1);
        return { dialer, connections };
    };

    it("replaces the connection", async () => {
        const { dialer, connections } = await setUp(26_750);
        connections.silence = 700;
        await until(() => connections.channels.length === 2);
        expect([connections.channels.length, dialer.hasBecomeIsolated]).toEqual([2, false]);
    });

    it("does not become isolated before a dial has failed", async () => {
        const { dialer, connections } = await setUp(26_751);
        expect(dialer.hasBecomeIsolated).toEqual(false);
        dialer.recordSilence("b");
        connections.channels.length = 0;
        expect(dialer.hasBecomeIsolated).toEqual(false);
    });
});
