import { CellJobState } from "@pebbledale/cell";
import { jobId, logEvents, ManualClock, queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { JobService, type OwnerAccess, type OwnerReply, type OwnerRequest, RetryLaterReason } from "../../src/index.js";
import { advanceTime, makeRequestLog } from "../support/index.js";

const definition = {
    job: jobId("j"),
    queue: queueName("q"),
    payload: "",
    steps: [],
    timetable: undefined,
};

/** An owner with the given answers in turn; undefined stands for a connection that ends. */
const accessOf = (...replies: (OwnerReply | undefined)[]) => {
    const asked: OwnerRequest[] = [];
    const access: OwnerAccess = {
        hasOwner: () => replies.length > asked.length,
        ask: body => {
            asked.push(body);
            return Promise.resolve(replies[asked.length - 1]);
        },
        waitForOwner: () => Promise.resolve(),
    };
    const clock = new ManualClock();
    const { log, logger, metrics } = makeRequestLog(clock);
    return { asked, service: new JobService(access, clock, log), logged: logger.logged, metrics };
};

describe("the job service", () => {
    it("refuses a job with a retry delay if it was never sent to an owner", async () => {
        const answer = await accessOf().service.submit(definition, 3_000);
        expect(answer.kind).toEqual("refused");
    });

    it("answers uncertain if a job was sent and got no answer", async () => {
        const answer = await accessOf(undefined).service.submit(definition, 3_000);
        expect(answer.kind).toEqual("uncertain");
    });

    it("does not send a job when too little time is left to persist its record, and refuses it", async () => {
        const { service, asked } = accessOf({ kind: "accepted" });
        expect((await service.submit(definition, 40)).kind).toEqual("refused");
        expect(asked).toEqual([]);
    });

    it("sends a job when 0.1 s of the caller's time is left, which is enough to persist its record", async () => {
        const { service } = accessOf({ kind: "accepted" });
        expect((await service.submit(definition, 100)).kind).toEqual("accepted");
    });

    it("answers requests before the process ends, even if they arrive while its VM is stopping", async () => {
        const clock = new ManualClock();
        const access: OwnerAccess = {
            hasOwner: () => true,
            ask: () => new Promise(() => undefined),
            waitForOwner: () => Promise.resolve(),
        };
        const service = new JobService(access, clock, makeRequestLog(clock).log);
        service.limitAnswersTo(1_000);
        let answer: string | undefined;
        void service.submit(definition, 3_000).then(({ kind }) => answer = kind);
        await advanceTime(clock, 900);
        expect(answer).toEqual(undefined);
        await advanceTime(clock, 100);
        expect(answer).toEqual("uncertain");
    });

    it("asks the next owner again", async () => {
        const { service, asked } = accessOf(undefined, { kind: "accepted" });
        expect((await service.submit(definition, 3_000)).kind).toEqual("accepted");
        expect(asked.length).toEqual(2);
    });

    it("asks the next owner when the previous one rejected the request during a handover", async () => {
        const { service, asked } = accessOf({ kind: "handing-over" }, { kind: "accepted" });
        expect((await service.submit(definition, 3_000)).kind).toEqual("accepted");
        expect(asked.length).toEqual(2);
    });

    it("refuses a job that no owner accepted, without waiting long", async () => {
        const { service, asked } = accessOf({ kind: "handing-over" }, { kind: "handing-over" }, { kind: "accepted" });
        expect((await service.submit(definition, 3_000)).kind).toEqual("refused");
        expect(asked.length).toEqual(2);
    });

    it("answers uncertain if a job was sent to an owner before the handover", async () => {
        const { service } = accessOf(undefined, { kind: "handing-over" }, { kind: "handing-over" });
        expect((await service.submit(definition, 3_000)).kind).toEqual("uncertain");
    });

    it("refuses a query without an answer, as it has no effect", async () => {
        const answer = await accessOf(undefined).service.state(jobId("j"), undefined, 3_000);
        expect(answer.kind).toEqual("refused");
    });

    it("denies a job only if the owner does", async () => {
        expect((await accessOf({ kind: "unknown-job" }).service.state(jobId("j"), undefined, 3_000)).kind).toEqual(
            "unknown-job",
        );
        expect((await accessOf().service.state(jobId("j"), undefined, 3_000)).kind).toEqual("refused");
    });

    it("forwards a state", async () => {
        const answer = await accessOf({ kind: "state", state: CellJobState.Running }).service.state(
            jobId("j"),
            undefined,
            3_000,
        );
        expect(answer).toEqual({ kind: "state", state: CellJobState.Running });
    });

    it("answers a queue's count from memory for a while", async () => {
        const { service, asked } = accessOf({ kind: "pending", count: 3 }, { kind: "pending", count: 4 });
        const queue = queueName("q");
        expect(await service.pending(queue, 3_000)).toEqual({ kind: "pending", count: 3 });
        expect(await service.pending(queue, 3_000)).toEqual({ kind: "pending", count: 3 });
        expect(asked.length).toEqual(1);
    });

    it("logs each refusal with the job, the reason and the contact with the owner", async () => {
        const stalled = { kind: "not-now", retryAfter: 1_000, reason: RetryLaterReason.JournalStalled } as const;
        const { service, logged, metrics } = accessOf(stalled);
        await service.submit(definition, 3_000);
        const { event, fields } = logged[0];
        expect(event).toEqual(logEvents.callerRefused);
        expect([fields["job"], fields["epoch"], fields["ownerSilence"], fields["retryAfter"]])
            .toEqual(["j", 7, 120, 1_000]);
        const text = await metrics.metrics.registry.metrics();
        expect(text.includes("pebbledale_requests_total{request=\"submit\",outcome=\"refused\"} 1")).toEqual(true);
    });

    it("logs each uncertain answer", async () => {
        const { service, logged } = accessOf(undefined);
        await service.cancel(jobId("j"), undefined, 3_000);
        expect(logged.map(({ event }) => event)).toEqual([logEvents.callerUncertain]);
    });
});
