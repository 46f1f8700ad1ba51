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

const show = (view: CellView, names: readonly string[], address: string): void => {
    const entries = names.map(name => ({
        key: vmKey(name),
        value: JSON.stringify(makeVm(name, { address })),
        version: 1 as KeyVersion,
    }));
    view.apply({ changed: entries, removed: [], cursor: "" });
};

/** A loopback address that no other test process uses at the same time: two runs of all tests met on the ports of one. */
const host = `127.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}.1`;

describe("an owner that reached others", () => {
    const stop = new AbortController();

    after(() => stop.abort());

    it("does not take itself for cut off because many VMs have just shown up", async () => {
        const clock = new ManualClock();
        const address = `${host}:26720`;
        await listenForOwners(address, () => undefined, stop.signal);
        const view = new CellView(clock);
        show(view, ["b"], address);
        const dialer = new VmDialer(view, makeVm("a"), clock);
        void dialer.run(stop.signal);
        for (let tries = 0; dialer.isIsolated && tries < 100; tries++) {
            await advanceTime(clock, 10);
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(dialer.hasBecomeIsolated).toEqual(false);
        show(view, ["c", "d", "e", "f", "g", "h"], `${host}:26721`);
        expect(dialer.hasBecomeIsolated).toEqual(false);
    });
});

describe("a VM that does not hear the owner", () => {
    const stop = new AbortController();

    after(() => stop.abort());

    /** Listens as VMs that have not heard the owner for these times. */
    const listenAs = async (port: number, silence: number): Promise<string> => {
        const address = `${host}:${port}`;
        const attach = (channel: Channel<VmMessage, OwnerMessage>) =>
            channel.send({ kind: "owner-heard", epoch: 1, silence });
        await listenForOwners(address, attach, stop.signal);
        return address;
    };

    const askOf = async (port: number, silences: readonly number[], limit: number): Promise<boolean> => {
        const clock = new SystemClock();
        const view = new CellView(clock);
        show(view, ["owner"], `${host}:26739`);
        for (const [index, silence] of silences.entries()) {
            show(view, [`vm-${index}`], await listenAs(port + index, silence));
        }
        const dialer = new VmDialer(view, makeVm("a"), clock);
        void dialer.run(stop.signal);
        return dialer.untilSilenceAgreed("owner", 300, limit);
    };

    it("has the word of more than half of the VMs, itself among them, before it takes the owner for gone", async () => {
        // Agreement is told as soon as there is one; only its absence takes the whole limit.
        expect(await askOf(26_740, [500, 500, 20], 10_000)).toEqual(true);
        expect(await askOf(26_744, [500, 20, 20], 300)).toEqual(false);
    });
});

/*
 * All connections among the VMs fell silent while new ones worked. After a second the owner took every VM for unreachable because
 * it had not heard them, and gave the cell up 50 ms later, before it had dialled one of them: 4503 "this VM is cut off from most of
 * the others" at 12.75 s. No other VM claimed the cell before 29.86 s.
 */
describe("an owner that does not hear a VM any more", () => {
    const stop = new AbortController();

    after(() => stop.abort());

    /** Connections that a test declares silent. */
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

    const begin = async (port: number) => {
        const address = `${host}:${port}`;
        await listenForOwners(address, () => undefined, stop.signal);
        const view = new CellView(new SystemClock());
        show(view, ["b"], address);
        const dialer = new VmDialer(view, makeVm("a"), new SystemClock());
        const connections = new Connections();
        dialer.attach(connections);
        void dialer.run(stop.signal);
        await until(() => connections.channels.length === 1);
        return { dialer, connections };
    };

    it("goes on over a new connection to it", async () => {
        const { dialer, connections } = await begin(26_750);
        connections.silence = 700;
        await until(() => connections.channels.length === 2);
        expect([connections.channels.length, dialer.hasBecomeIsolated]).toEqual([2, false]);
    });

    it("does not take itself for cut off before a dial has shown that the VM is not reached", async () => {
        const { dialer, connections } = await begin(26_751);
        expect(dialer.hasBecomeIsolated).toEqual(false);
        dialer.noteSilence("b");
        connections.channels.length = 0;
        expect(dialer.hasBecomeIsolated).toEqual(false);
    });
});
