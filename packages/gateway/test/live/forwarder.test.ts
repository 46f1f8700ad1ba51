import { expect } from "earl";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { request } from "undici";
import { Forwarder, type LiveRequest, requestIdHeader, type SendOutcome } from "../../src/index.js";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const cleanups: (() => void)[] = [];

const waitUntil = async (condition: () => boolean): Promise<void> => {
    for (let rounds = 0; rounds < 100 && !condition(); rounds++) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
};

const listen = (handler: Handler, onServer: (server: Server) => void = () => undefined): Promise<string> =>
    new Promise(resolve => {
        const server: Server = createServer(handler).listen(0, "127.0.0.1", () => {
            resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
        });
        onServer(server);
        cleanups.push(() => {
            server.closeAllConnections();
            server.close();
        });
    });

const liveRequest: LiveRequest = {
    id: "request-1",
    method: "POST",
    path: "/x?y=1",
    headers: { "x-own": "kept" },
    body: Buffer.from("body"),
};

/** Forwards one request to an instance; resolves to the outcome and the response that the caller received. */
const forward = async (
    address: string,
): Promise<{ outcome: SendOutcome; status?: number; text?: string; headers?: IncomingMessage["headers"]; }> => {
    const forwarder = new Forwarder();
    let resolveOutcome!: (outcome: SendOutcome) => void;
    const outcome = new Promise<SendOutcome>(resolve => {
        resolveOutcome = resolve;
    });
    const gateway = await listen(async (_request, response) => {
        const result = await forwarder.send(liveRequest, address, response, 5_000, new AbortController().signal);
        if (result.kind === "not-run" || result.kind === "may-have-run") {
            response.writeHead(502).end();
        }
        resolveOutcome(result);
    });
    try {
        const answer = await request(`http://${gateway}/`);
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
    afterEach(() => cleanups.splice(0).forEach(close => close()));

    it("forwards method, headers, status and body unchanged", async () => {
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
        const { outcome, status, text, headers } = await forward(address);
        expect(outcome).toEqual({ kind: "answered", status: 418 });
        expect(status).toEqual(418);
        expect(text).toEqual("first body");
        expect(headers?.["x-seen"]).toEqual("POST /x?y=1 kept");
        expect(headers?.["pebbledale-request-id"]).toEqual("request-1");
    });

    for (const framing of ["of known length", "in chunks"]) {
        it(`fails the connection of the caller when a response ${framing} breaks off`, async () => {
            const address = await listen((_incoming, response) => {
                response.writeHead(200, framing === "in chunks" ? {} : { "content-length": 100 });
                response.write("only half", () => response.destroy());
            });
            const { outcome, text } = await forward(address);
            expect(outcome.kind).toEqual("cut");
            expect(text).toEqual(undefined);
        });
    }

    it("does not forward a response to another request", async () => {
        const address = await listen((_incoming, response) => {
            response.writeHead(200, { "pebbledale-request-id": "request-2" }).end("not yours");
        });
        const { outcome, status } = await forward(address);
        expect(outcome.kind).toEqual("may-have-run");
        expect(status).toEqual(502);
    });

    it("reports a request that the instance refused as not run", async () => {
        const address = await listen((_incoming, response) => {
            response.writeHead(503, { "pebbledale-refused": "busy" }).end();
        });
        expect((await forward(address)).outcome).toEqual({ kind: "not-run", cause: "busy" });
    });

    it("reports a request as not run when the connection is refused", async () => {
        const address = await listen(() => undefined);
        cleanups.splice(0).forEach(close => close());
        expect((await forward(address)).outcome.kind).toEqual("not-run");
    });

    it("reports that a request may have run when the connection closes before a response", async () => {
        const address = await listen(incoming => incoming.socket.destroy());
        expect((await forward(address)).outcome.kind).toEqual("may-have-run");
    });

    it("drops the pool of an instance once it has neither connections nor requests", async () => {
        const servers: Server[] = [];
        const address = await listen((_incoming, response) => {
            response.writeHead(200, { [requestIdHeader]: liveRequest.id }).end("ok");
        }, server => servers.push(server));
        const forwarder = new Forwarder();
        const send = async () => {
            const gateway = await listen(async (_request, response) => {
                const result = await forwarder.send(
                    liveRequest,
                    address,
                    response,
                    5_000,
                    new AbortController().signal,
                );
                if (result.kind === "not-run") {
                    response.writeHead(502).end();
                }
            });
            const answer = await request(`http://${gateway}/`);
            await answer.body.dump();
            return answer.statusCode;
        };
        expect([await send(), await send(), forwarder.poolCount]).toEqual([200, 200, 1]);
        servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
        await waitUntil(() => forwarder.poolCount === 0);
        expect(forwarder.poolCount).toEqual(0);
        expect(await send()).toEqual(502);
        await waitUntil(() => forwarder.poolCount === 0);
        expect(forwarder.poolCount).toEqual(0);
    });
});
