import { jobId, type Milliseconds, SeededRandom, shardId, type SubmitOutcome, SystemClock } from "@pebbledale/core";
import { expect } from "earl";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { addJobRoutes, createCallerServer, NoOwnerError, type OwnerAnswer, type OwnerClient } from "../../src/index.js";

/** Answers every call with the answer that a test sets, and records the messages. */
class FakeOwnerClient implements OwnerClient {
    readonly sent: unknown[] = [];
    answer: OwnerAnswer | Error = { kind: "accepted", job: "shard-0.1.1", repeated: false } as OwnerAnswer;

    async call<Answer extends OwnerAnswer>(
        shard: string,
        _limit: Milliseconds,
        make: (calls: never, signal: AbortSignal) => Promise<Answer>,
    ) {
        const record = (message: unknown) => {
            this.sent.push(message);
            return Promise.resolve(this.answer);
        };
        const calls = new Proxy({}, { get: () => ({ mutate: record, query: record }) });
        await make(calls as never, new AbortController().signal);
        if (this.answer instanceof Error) {
            throw this.answer;
        }
        return this.answer as Exclude<Answer, { kind: "not-owner"; }>;
    }
}

const startServer = () => {
    const owners = new FakeOwnerClient();
    const server = createCallerServer({
        bodyLimit: 2_000,
        logger: { log: () => undefined },
        random: new SeededRandom(1),
    });
    addJobRoutes(server, { owners, clock: new SystemClock(), random: new SeededRandom(2), shardCount: 1 });
    const post = async (body: string) => {
        const answer = await server.inject({
            method: "POST",
            url: "/jobs",
            headers: { "content-type": "application/json" },
            payload: body,
        });
        return { status: answer.statusCode, headers: answer.headers, body: answer.json<Record<string, unknown>>() };
    };
    return { owners, server, post };
};

const jobBody = (changes: object) =>
    JSON.stringify({ class: "batch", size: { processors: 1, memoryMebibytes: 10 }, ...changes });
const places = (body: Record<string, unknown>) => (body.findings as { place: string; }[]).map(finding => finding.place);

describe("invalid input of callers", () => {
    it("refuses malformed JSON without calling an owner", async () => {
        const { post, owners } = startServer();
        const answer = await post("{\"class\": \"batch\", ");
        expect(answer.status).toEqual(400);
        expect(answer.body.error).toEqual("bad-request");
        expect(owners.sent).toEqual([]);
    });

    it("reports all findings of a submission, each with its place", async () => {
        const { post, owners } = startServer();
        const answer = await post(
            jobBody({ tasks: -1, size: { processors: -4, memoryMebibytes: 1e12 }, class: "gang", priority: "loud" }),
        );
        expect(answer.status).toEqual(400);
        expect(places(answer.body)).toEqual(["/priority", "/tasks", "/size/processors", "/size/memoryMebibytes"]);
        expect(owners.sent).toEqual([]);
    });

    it("refuses unknown fields and values in the wrong unit", async () => {
        const { post } = startServer();
        expect((await post(jobBody({ colour: "red" }))).status).toEqual(400);
        const answer = await post(
            jobBody({ deadlineMilliseconds: "10s", size: { processors: 1, memoryMebibytes: "4GB" } }),
        );
        expect(places(answer.body)).toEqual(["/deadlineMilliseconds", "/size/memoryMebibytes"]);
    });

    it("refuses a body that exceeds the size limit", async () => {
        const { post } = startServer();
        const answer = await post(jobBody({ payload: "x".repeat(3_000) }));
        expect(answer.status).toEqual(413);
        expect(answer.body.error).toEqual("body-too-large");
    });

    it("forwards the reason and the retry delay of a refusal", async () => {
        const { post, owners } = startServer();
        const refusal: SubmitOutcome = {
            kind: "refused",
            refusal: { error: "queue-full", reason: "900 wait", retryAfter: 2_500 },
        };
        owners.answer = refusal;
        const answer = await post(jobBody({}));
        expect(answer.status).toEqual(429);
        expect(answer.headers["retry-after"]).toEqual("3");
        expect(answer.body.reason).toEqual("900 wait");
    });

    it("reports the key of a submission that may have been accepted", async () => {
        const { post, owners } = startServer();
        owners.answer = new NoOwnerError("shard-0" as never, true);
        const answer = await post(jobBody({ key: "build-7" }));
        expect(answer.status).toEqual(503);
        expect(answer.body.error).toEqual("not-recorded");
        expect(answer.body.reason).toEqual("ask again with key build-7");
    });

    it("reports that no owner was reached, with a retry delay", async () => {
        const { post, owners } = startServer();
        owners.answer = new NoOwnerError("shard-0" as never, false);
        const answer = await post(jobBody({ key: "build-7" }));
        expect(answer.body.error).toEqual("no-owner");
        expect(answer.headers["retry-after"]).toEqual("1");
    });

    it("generates a key for a submission that has none", async () => {
        const { post, owners } = startServer();
        await post(jobBody({}));
        const [message] = owners.sent as { submission: { key: string; }; }[];
        expect(message.submission.key).toEqual(expect.regex(/^drawn-[0-9a-f]{16}$/));
    });

    it("answers an unknown path with 404", async () => {
        const { server } = startServer();
        const answer = await server.inject({ method: "GET", url: "/nothing" });
        expect(answer.statusCode).toEqual(404);
        expect(answer.json<{ error: string; }>().error).toEqual("no-such-path");
    });

    it("answers an oversized head with 400 and closes the connection", async () => {
        const { server } = startServer();
        await server.listen({ host: "127.0.0.1", port: 0 });
        const address = server.server.address() as { port: number; };
        const socket = connect(address.port, "127.0.0.1");
        let text = "";
        const ended = new Promise<void>(resolve =>
            socket.on("data", chunk => text += String(chunk)).on("close", () => resolve()).on("error", () => resolve())
        );
        socket.write("GET /jobs/1 HTTP/1.1\r\nHost: x\r\n");
        // Node.js accepts at most 16 KiB of headers.
        for (let index = 0; index < 40 && !socket.destroyed; index++) {
            socket.write(`x-${index}: ${"y".repeat(1_000)}\r\n`);
        }
        await ended;
        await server.close();
        expect(text.startsWith("HTTP/1.1 400 ")).toEqual(true);
    });

    it("asks an existing shard about a job whose id names none", async () => {
        const { server, owners } = startServer();
        owners.answer = { kind: "no-job" };
        const answer = await server.inject({ method: "GET", url: "/jobs/elsewhere.1.1" });
        expect(answer.statusCode).toEqual(404);
        expect(owners.sent).toEqual([{ shard: shardId("shard-0"), job: jobId("elsewhere.1.1") }]);
    });
});
