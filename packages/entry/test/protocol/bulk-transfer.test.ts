/* Guards against orders, leases and answers that wait behind a large configuration on a narrow link until a VM is taken for lost. */
import type { CellConfiguration } from "@pebbledale/cell";
import { runNumber, taskAddress, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { describe, it } from "node:test";
import {
    type Channel,
    dialVm,
    listenForOwners,
    type OwnerMessage,
    type SocketChannelOptions,
    type VmMessage,
} from "../../src/index.js";
import { startNarrowLink } from "../support/narrow-link.js";

const host = `127.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}.3`;
let nextPort = 7_100;

const bytesPerSecond = 150_000;
/** As large as one of 1,400 routes, and compressible to about half. */
const configuration = {
    version: 7,
    queues: Array.from({ length: 1_400 }, () => ({ name: randomBytes(100).toString("hex") })),
} as unknown as CellConfiguration;

const wait = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

const until = async (condition: () => boolean, timeout: number): Promise<number> => {
    const startedAt = performance.now();
    while (!condition() && performance.now() - startedAt < timeout) {
        await wait(5);
    }
    return performance.now() - startedAt;
};

/** Connects an owner to a VM over a narrow link; both have said their first words. */
const connect = async (ownerOptions?: SocketChannelOptions, vmOptions?: SocketChannelOptions) => {
    const stop = new AbortController();
    const address = `${host}:${nextPort++}`;
    const received: OwnerMessage[] = [];
    const atOwner: VmMessage[] = [];
    let vm: Channel<VmMessage, OwnerMessage> | undefined;
    await listenForOwners(
        address,
        channel => {
            vm = channel;
            channel.onMessage = message => received.push(message);
            channel.send({ kind: "owner-heard", epoch: 0, silence: 0 });
        },
        stop.signal,
        vmOptions,
    );
    const link = await startNarrowLink(address, bytesPerSecond);
    const outcome = await dialVm(link.address, 1_000, ownerOptions);
    if (outcome.kind !== "open") {
        throw new Error(outcome.kind);
    }
    const owner = outcome.channel;
    owner.onMessage = message => atOwner.push(message);
    await until(() => atOwner.length > 0, 1_000);
    const close = () => {
        owner.close();
        link.close();
        stop.abort();
    };
    return { owner, received, atOwner, close, vm: () => vm };
};

const hasBeat = (messages: readonly { readonly kind: string; }[]) => messages.some(({ kind }) => kind === "beat");

describe("a large message over a narrow link", () => {
    it("does not hold up others when it is sent in parts, and arrives whole", async () => {
        const { owner, received, close } = await connect({ usesCompactForms: true }, { usesCompactForms: true });
        owner.send({ kind: "configuration", configuration });
        await wait(300);
        owner.send({ kind: "beat", mayLease: true });
        const beatTook = await until(() => hasBeat(received), 5_000);
        expect(received.some(({ kind }) => kind === "configuration")).toEqual(false);
        await until(() => received.length > 1, 10_000);
        close();
        expect(beatTook < 400).toEqual(true);
        expect(received.find(({ kind }) => kind === "configuration")).toEqual({ kind: "configuration", configuration });
    });

    it("is counted by its compressed bytes", async () => {
        let bytes = 0;
        const meter = (kind: string, sent: number) => bytes += kind === "configuration" ? sent : 0;
        const { owner, received, close } = await connect({ usesCompactForms: true, meter }, { usesCompactForms: true });
        owner.send({ kind: "configuration", configuration });
        await until(() => received.length > 0, 10_000);
        close();
        expect(bytes > 100_000 && bytes < JSON.stringify(configuration).length * 0.7).toEqual(true);
    });

    it("is sent whole to a VM that does not take parts, and to one that may where they are not called for", async () => {
        for (
            const [ownerOptions, vmOptions] of [[{ usesCompactForms: true }, undefined], [undefined, {
                usesCompactForms: true,
            }]]
        ) {
            const { owner, received, atOwner, close } = await connect(ownerOptions, vmOptions);
            owner.send({ kind: "configuration", configuration });
            owner.send({ kind: "beat", mayLease: true });
            await until(() => received.length > 1, 10_000);
            close();
            expect(received.map(({ kind }) => kind)).toEqual(["configuration", "beat"]);
            expect(atOwner.map(({ kind }) => kind)).toEqual(["owner-heard"]);
        }
    });

    it("leaves starts in order, with their payloads restored", async () => {
        const { owner, received, close } = await connect({ usesCompactForms: true }, { usesCompactForms: true });
        const starts = Array.from({ length: 20 }, (_, index) => ({
            kind: "command" as const,
            command: {
                kind: "start" as const,
                worker: workerId("w"),
                task: taskAddress(`job/0/0/${index}`),
                run: runNumber(index),
                payload: `${index % 3}`.repeat(2_000),
                checkpoint: "",
            },
        }));
        owner.send({ kind: "configuration", configuration });
        starts.forEach(message => owner.send(message));
        await until(() => received.length >= starts.length, 5_000);
        close();
        expect<unknown>(received).toEqual(starts);
    });

    it("reaches several VMs whole, although it is serialized once", async () => {
        const options = { usesCompactForms: true };
        const all = await Promise.all([connect(options, options), connect(options, options), connect(options)]);
        all.forEach(({ owner }) => owner.send({ kind: "configuration", configuration }));
        await until(() => all.every(({ received }) => received.length > 0), 10_000);
        all.forEach(({ close }) => close());
        all.forEach(({ received }) => expect(received).toEqual([{ kind: "configuration", configuration }]));
    });

    it("is dropped with its connection", async () => {
        const { owner, received, close, vm } = await connect({ usesCompactForms: true }, { usesCompactForms: true });
        owner.send({ kind: "configuration", configuration });
        await wait(200);
        vm()?.close();
        await until(() => !owner.isOpen, 2_000);
        owner.send({ kind: "configuration", configuration });
        await wait(50);
        close();
        expect(received).toEqual([]);
    });
});
