/* Guards against a process that ends because a large message cannot be compressed, and against messages of connections that are closed. */
import { expect } from "earl";
import { once } from "node:events";
import { describe, it } from "node:test";
import { WebSocket, WebSocketServer } from "ws";
import { BulkReceiver, BulkSender, CompressibleText, minBulkLength, SocketChannel } from "../../src/index.js";

const wait = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

interface TextMessage {
    readonly kind: string;
    readonly text?: string;
}

describe("BulkSender", () => {
    it("reports a message that cannot be compressed, and does not reject unseen", async () => {
        const text = {
            length: 1,
            text: "a",
            compressed: Promise.reject(new Error("out of memory")),
        } as CompressibleText;
        let failures = 0;
        const sender = new BulkSender(() => undefined, () => failures++);
        sender.add("configuration", text);
        await wait(0);
        expect(failures).toEqual(1);
    });
});

describe("BulkReceiver", () => {
    it("delivers nothing once it is closed, also what has arrived before", async () => {
        const received: string[] = [];
        const receiver = new BulkReceiver(text => received.push(text), () => received.push("failed"));
        const compressed = await new CompressibleText("a".repeat(minBulkLength)).compressed;
        receiver.receive(Buffer.concat([Buffer.of(1), compressed]));
        receiver.close();
        await wait(20);
        expect(received).toEqual([]);
    });
});

describe("SocketChannel", () => {
    /* A later version may send other entries of the channel itself; they must not count as the arrival of a part. */
    it("ignores entries for the channel that it does not know", async () => {
        const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
        await once(server, "listening");
        const socket = new WebSocket(`ws://127.0.0.1:${(server.address() as { port: number; }).port}`);
        const connected = once(server, "connection") as Promise<[WebSocket]>;
        await once(socket, "open");
        const [peer] = await connected;
        let parts = 0;
        peer.on("message", (_data, isBinary) => parts += isBinary ? 1 : 0);
        const channel = new SocketChannel<TextMessage, TextMessage>(socket, { usesCompactForms: true });
        channel.onMessage = () => undefined;
        peer.send(JSON.stringify([["takes-compact-forms"]]));
        await wait(20);
        const text = Array.from({ length: 20_000 }, () => Math.random().toString(36)).join("");
        channel.send({ kind: "store-answer", text });
        await wait(50);
        const before = parts;
        peer.send(JSON.stringify([["of-a-later-version"], ["of-a-later-version"]]));
        await wait(50);
        expect([before, parts]).toEqual([2, 2]);
        peer.send(JSON.stringify([["part-arrived"]]));
        await wait(50);
        expect(parts).toEqual(3);
        channel.close();
        peer.terminate();
        server.close();
    });
});
