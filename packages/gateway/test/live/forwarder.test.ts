import { expect } from "earl";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { request } from "undici";
import { Forwarder, type LiveRequest, type SendOutcome } from "../../src/index.js";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const closing: (() => void)[] = [];

const listen = (handler: Handler): Promise<string> =>
    new Promise(resolve => {
        const server: Server = createServer(handler).listen(0, "127.0.0.1", () => {
            resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
        });
        closing.push(() => {
            server.closeAllConnections();
            server.close();
        });
    });

const live: LiveRequest = {
    id: "request-1",
    method: "POST",
    path: "/x?y=1",
    headers: { "x-own": "kept" },
    body: Buffer.from("body"),
};

/** Passes one request through a forwarder to an instance; the outcome, and what the caller saw. */
const pass = async (
    address: string,
): Promise<{ outcome: SendOutcome; status?: number; text?: string; headers?: IncomingMessage["headers"]; }> => {
    const forwarder = new Forwarder();
    let settle!: (outcome: SendOutcome) => void;
    const outcome = new Promise<SendOutcome>(resolve => {
        settle = resolve;
    });
    const front = await listen(async (_request, response) => {
        const result = await forwarder.send(live, address, response, 5_000, new AbortController().signal);
        if (result.kind === "not-run" || result.kind === "may-have-run") {
            response.writeHead(502).end();
        }
        settle(result);
    });
    try {
        const answer = await request(`http://${front}/`);
        const text = await answer.body.text();
        return {
            outcome: await outcome,
            status: answer.statusCode,
            text,
            headers: answer.headers as IncomingMessage["headers"],
        };
    }
    catch {
        return { outcome: await outcome };
    }
};

describe("Forwarder", () => {
    afterEach(() => closing.splice(0).forEach(close => close()));

    it("keeps method, headers, status and body, byte for byte", async () => {
        const address = await listen((incoming, response) => {
            const chunks: Buffer[] = [];
            incoming.on("data", (chunk: Buffer) => chunks.push(chunk)).on("end", () => {
                response.writeHead(418, {
                    "x-seen": `${incoming.method} ${incoming.url} ${incoming.headers["x-own"]}`,
                });
                response.write("first ");
                response.end(Buffer.concat(chunks));
            });
        });
        const { outcome, status, text, headers } = await pass(address);
        expect(outcome).toEqual({ kind: "answered", status: 418 });
        expect(status).toEqual(418);
        expect(text).toEqual("first body");
        expect(headers?.["x-seen"]).toEqual("POST /x?y=1 kept");
        expect(headers?.["pebbledale-request-id"]).toEqual("request-1");
    });

    for (const framing of ["of known length", "in chunks"]) {
        it(`makes an answer ${framing} that breaks off an error at the caller, never a short success`, async () => {
            const address = await listen((_incoming, response) => {
                response.writeHead(200, framing === "in chunks" ? {} : { "content-length": 100 });
                response.write("only half", () => response.destroy());
            });
            const { outcome, text } = await pass(address);
            expect(outcome.kind).toEqual("cut");
            expect(text).toEqual(undefined);
        });
    }

    it("gives no caller the answer to another request", async () => {
        const address = await listen((_incoming, response) => {
            response.writeHead(200, { "pebbledale-request-id": "request-2" }).end("not yours");
        });
        const { outcome, status } = await pass(address);
        expect(outcome.kind).toEqual("may-have-run");
        expect(status).toEqual(502);
    });

    it("knows that a refused request was not run", async () => {
        const address = await listen((_incoming, response) => {
            response.writeHead(503, { "pebbledale-refused": "busy" }).end();
        });
        expect((await pass(address)).outcome).toEqual({ kind: "not-run", cause: "busy" });
    });

    it("knows that a request was not run when nothing listens", async () => {
        const address = await listen(() => undefined);
        closing.splice(0).forEach(close => close());
        expect((await pass(address)).outcome.kind).toEqual("not-run");
    });

    it("does not know when the connection ends before an answer began", async () => {
        const address = await listen(incoming => incoming.socket.destroy());
        expect((await pass(address)).outcome.kind).toEqual("may-have-run");
    });
});
