/* Guards against a start with another payload than the one its job has. */
import { runNumber, taskAddress, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type CommandMessage, PayloadReceiver, PayloadSender } from "../../src/index.js";

let nextRun = 1;
const start = (payload: string): CommandMessage => ({
    kind: "command",
    command: {
        kind: "start",
        worker: workerId("w"),
        task: taskAddress("0123456789abcdef/0/0/1"),
        run: runNumber(nextRun++),
        payload,
        checkpoint: "",
    },
});
const payloadOf = (name: number) => `payload ${name} `.repeat(100);
const lengthOf = (value: unknown) => JSON.stringify(value).length;

describe("the payloads of starts on one connection", () => {
    it("are sent once as long as both ends remember them, and restored in any order of jobs", () => {
        const [sender, receiver] = [new PayloadSender(), new PayloadReceiver()];
        let seed = 7;
        let sent = 0;
        let given = 0;
        for (let count = 0; count < 5_000; count++) {
            seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
            const message = start(payloadOf(seed % 100));
            const packed = sender.pack(message);
            given += lengthOf(message);
            sent += lengthOf(packed);
            expect(receiver.unpack(JSON.parse(JSON.stringify(packed)) as typeof packed)).toEqual(message);
        }
        expect(sent < given * 0.6).toEqual(true);
    });

    it("are sent as they are when they are short, as are other orders", () => {
        const sender = new PayloadSender();
        const short = start("short");
        const stop: CommandMessage = {
            kind: "command",
            command: { kind: "stop", worker: workerId("w"), task: taskAddress("a"), run: runNumber(1) },
        };
        [short, short, stop].forEach(message => expect<unknown>(sender.pack(message)).toEqual(message));
        expect(new PayloadReceiver().unpack(stop)).toEqual(stop);
    });

    it("are not made up where a reference is unknown", () => {
        const sender = new PayloadSender();
        sender.pack(start(payloadOf(1)));
        const reference = sender.pack(start(payloadOf(1)));
        expect(new PayloadReceiver().unpack(reference)).toEqual(undefined);
    });
});
