import {
    type OrderAnswer,
    OrderRefusal,
    type PollAnswer,
    type PollRequest,
    type PollResult,
    RunEnd,
    type StartCommand,
    type StartOrder,
    type TaskWorkerClient,
} from "@pebbledale/cell";
import { fencingToken, ManualClock, runNumber, taskAddress, workerId, WorkerUnreachableError } from "@pebbledale/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { LossMonitor, WorkerLink, type WorkerReport } from "../../src/index.js";
import { advanceTime, RecordingLogger, settle } from "../support/index.js";

const worker = workerId("w");
const leaseLength = 6_000;
const emptyLook: PollResult = { clock: 1_000, running: [], ended: [] };

const command: StartCommand = {
    kind: "start",
    worker,
    task: taskAddress("j/0/0/0"),
    run: runNumber(1),
    payload: "",
    checkpoint: "",
};

/** A worker whose answers the test gives. */
class FakeClient implements TaskWorkerClient {
    readonly looks: PollRequest[] = [];
    readonly starts: StartOrder[] = [];
    answerLook: (request: PollRequest, limit: number) => Promise<PollAnswer> = () => seen(emptyLook);
    answerStart: () => Promise<OrderAnswer> = () => Promise.resolve({ kind: "taken", clock: 1_000 });

    poll(request: PollRequest, limit: number): Promise<PollAnswer> {
        this.looks.push(request);
        return this.answerLook(request, limit);
    }

    start(order: StartOrder): Promise<OrderAnswer> {
        this.starts.push(order);
        return this.answerStart();
    }

    async stop(): Promise<OrderAnswer> {
        return { kind: "taken", clock: 1_000 };
    }

    async pace(): Promise<OrderAnswer> {
        return { kind: "taken", clock: 1_000 };
    }

    async close(): Promise<void> {}
}

const seen = (poll: PollResult): Promise<PollAnswer> => Promise.resolve({ kind: "seen", poll: poll });
const noAnswer = <Answer>(): Promise<Answer> => Promise.reject(new WorkerUnreachableError("no answer"));
const untilEnded = <Answer>(): Promise<Answer> => new Promise(() => undefined);

const links: WorkerLink[] = [];
const make = (client: FakeClient, mayRenew = () => true) => {
    const clock = new ManualClock();
    const sent: WorkerReport[] = [];
    const logger = new RecordingLogger();
    const link = new WorkerLink({
        assignment: { kind: "assign", worker, address: "127.0.0.1:1", token: fencingToken(100), isLeaving: false },
        client,
        clock,
        logger,
        leaseLength,
        mayPoll: mayRenew,
        lossMonitor: new LossMonitor(clock, logger),
        send: message => sent.push(message),
    });
    links.push(link);
    return { clock, sent, link };
};

/** The first look is answered at once, later ones wait. */
const firstThenWaiting = (): FakeClient => {
    const client = new FakeClient();
    client.answerLook = () => client.looks.length === 1 ? seen(emptyLook) : untilEnded();
    return client;
};

describe("a link to a worker", () => {
    afterEach(() => links.splice(0).forEach(link => link.close()));

    it("looks before it starts anything, and then leases by the worker's clock", async () => {
        const client = firstThenWaiting();
        const { link, sent } = make(client);
        link.order(command);
        await settle();
        expect(client.looks[0].leaseUntil).toEqual(undefined);
        expect(sent[0].kind).toEqual("looked");
        expect(client.starts.map(start => start.leaseUntil)).toEqual([1_000 + leaseLength]);
    });

    /*
     * A worker said at 18.08 s that it would leave, and left at 27.01 s with a task that lasts still on it, as none of the workers that
     * may run the task had room. Its port refused connections and its entry was gone at 27.02 s (4305, 4302), but neither proves that
     * nothing runs there, and the leases that had been given up to then ran for 10 s: the task was given up at 37.50 s (4307, 4205) and
     * started again at 38.24 s. From 6 s after the end of its last run the users count it as lost.
     */
    it("gives short leases to a worker that leaves, so that what goes with it is soon known to be over", async () => {
        const client = firstThenWaiting();
        const { link, clock } = make(client);
        await settle();
        link.noteLeaving();
        client.answerLook = () => untilEnded();
        link.order(command);
        await advanceTime(clock, 700);
        expect(client.starts.map(start => start.leaseUntil)).toEqual([1_000 + 3_000]);
    });

    it("raises its token and looks when a start has no answer; what that look shows is final", async () => {
        const client = firstThenWaiting();
        client.answerStart = noAnswer;
        const { link, sent } = make(client);
        await settle();
        client.answerLook = ({ token }) => token > 100 ? seen(emptyLook) : untilEnded();
        link.order(command);
        await settle();
        expect(client.looks.some(look => look.token === fencingToken(101))).toEqual(true);
        const kinds = sent.map(message => message.kind);
        expect(kinds.slice(-2)).toEqual(["looked", "started"]);
        expect(sent.at(-1)).toEqual({
            kind: "started",
            worker,
            task: command.task,
            run: command.run,
            refusal: "not-delivered",
        });
    });

    it("tells nothing of a start without an answer while the worker is silent", async () => {
        const client = firstThenWaiting();
        client.answerStart = noAnswer;
        const { clock, link, sent } = make(client);
        await settle();
        client.answerLook = noAnswer;
        link.order(command);
        await advanceTime(clock, 2_000);
        expect(sent.some(message => message.kind === "started")).toEqual(false);
        expect(sent.some(message => message.kind === "silent")).toEqual(true);
    });

    it("gives no lease once the owner has not been heard for long", async () => {
        const client = new FakeClient();
        let isHeard = true;
        const { clock } = make(client, () => isHeard);
        client.answerLook = () => seen(emptyLook);
        await advanceTime(clock, 200);
        isHeard = false;
        await settle();
        const looks = client.looks.length;
        await advanceTime(clock, 1_000);
        expect(client.looks.length <= looks + 1).toEqual(true);
    });

    it("reports an end once, and lets the worker forget it only when it is kept", async () => {
        const client = new FakeClient();
        const end = { number: 1, task: command.task, run: command.run, end: RunEnd.Done, checkpoint: "" };
        client.answerLook = request => request.forgetThrough >= 1 ? untilEnded() : seen({ ...emptyLook, ended: [end] });
        const { clock, link, sent } = make(client);
        await advanceTime(clock, 600);
        const reported = sent.flatMap(message =>
            message.kind === "ends" ? message.ended : message.kind === "looked" ? message.look.ended : []
        );
        expect(reported.length).toEqual(1);
        expect(client.looks.every(look => look.forgetThrough === 0)).toEqual(true);
        link.acknowledge(1);
        await advanceTime(clock, 300);
        expect(client.looks.at(-1)?.forgetThrough).toEqual(1);
    });

    it("learns of an end whose answer was lost within a second, and does not take its worker for silent", async () => {
        const client = new FakeClient();
        const { clock, sent } = make(client);
        const end = { number: 1, task: command.task, run: command.run, end: RunEnd.Done, checkpoint: "" };
        client.answerLook = ({ wait }, limit) =>
            client.looks.length === 1
                ? seen(emptyLook)
                : wait === undefined
                ? seen({ ...emptyLook, ended: [end] })
                : clock.sleep(limit).then(noAnswer<PollAnswer>);
        await advanceTime(clock, 1_000);
        const reported = sent.flatMap(message => message.kind === "looked" ? message.look.ended : []);
        expect(reported).toEqual([end]);
        expect(sent.some(message => message.kind === "silent")).toEqual(false);
    });

    it("asks a worker where nothing is at work less often, and as often as ever once something is started", async () => {
        const client = new FakeClient();
        const { clock, link } = make(client);
        client.answerLook = ({ wait = 0 }) => clock.sleep(wait).then(() => seen(emptyLook));
        await advanceTime(clock, 6_000);
        expect(client.looks.at(-1)?.wait).toEqual(2_000);
        link.order(command);
        await advanceTime(clock, 2_500);
        expect(client.looks.at(-1)?.wait).toEqual(600);
    });

    it("waits for a shorter time in each look while answers are being lost", async () => {
        const client = new FakeClient();
        const { clock } = make(client);
        let isLossy = true;
        client.answerLook = ({ wait = 0 }, limit) =>
            isLossy && wait > 0
                ? clock.sleep(limit).then(noAnswer<PollAnswer>)
                : clock.sleep(wait).then(() => seen(emptyLook));
        await advanceTime(clock, 2_500);
        expect(client.looks.at(-1)?.wait ?? Infinity).toBeLessThan(300);
        isLossy = false;
        await advanceTime(clock, 7_000);
        expect(client.looks.at(-1)?.wait ?? 0).toBeGreaterThan(300);
    });

    it("ends when another life of the worker answers", async () => {
        const client = new FakeClient();
        client.answerLook = () => Promise.resolve({ kind: "refused", refusal: OrderRefusal.WrongWorker });
        const { clock, sent } = make(client);
        await advanceTime(clock, 500);
        expect(sent.map(message => message.kind)).toEqual(["other-life"]);
    });

    it("gives a silent worker no lease, not even in looks that may arrive late, until the owner says so", async () => {
        const client = new FakeClient();
        const { clock, link } = make(client);
        await settle();
        client.answerLook = noAnswer;
        await advanceTime(clock, 100);
        const before = client.looks.length;
        await advanceTime(clock, 1_000);
        const whileSilent = client.looks.slice(before);
        expect(whileSilent.length > 0 && whileSilent.every(look => look.leaseUntil === undefined)).toEqual(true);
        client.answerLook = request => request.leaseUntil === undefined ? seen(emptyLook) : untilEnded();
        await advanceTime(clock, 300);
        expect(client.looks.at(-1)?.leaseUntil).toEqual(undefined);
        link.resumeLeases();
        await advanceTime(clock, 300);
        expect(client.looks.at(-1)?.leaseUntil === undefined).toEqual(false);
    });

    it("does not send a start to a silent worker: it was surely not carried out", async () => {
        const client = new FakeClient();
        const { clock, link, sent } = make(client);
        await settle();
        client.answerLook = noAnswer;
        await advanceTime(clock, 300);
        link.order(command);
        await settle();
        expect(client.starts.length).toEqual(0);
        const last = sent.at(-1);
        expect(last?.kind === "started" && last.refusal).toEqual("not-delivered");
    });

    it("says of a silent worker how long ago it answered last", async () => {
        const client = firstThenWaiting();
        const { clock, sent, link } = make(client);
        await settle();
        await advanceTime(clock, 100);
        link.order(command);
        await settle();
        const answeredAt = clock.monotonic();
        client.answerLook = () => noAnswer();
        client.answerStart = noAnswer;
        await advanceTime(clock, 300);
        link.order(command);
        await settle();
        const silent = sent.find(message => message.kind === "silent");
        expect(silent?.heardAgo).toEqual(clock.monotonic() - answeredAt);
    });

    it("says until when a silent worker's leases run", async () => {
        const client = new FakeClient();
        const { clock, sent } = make(client);
        await settle();
        client.answerLook = noAnswer;
        await advanceTime(clock, 300);
        const silent = sent.find(message => message.kind === "silent");
        expect(silent !== undefined && silent.lapsesIn > leaseLength * 0.9).toEqual(true);
        expect(silent !== undefined && silent.lapsesIn <= leaseLength / 0.98).toEqual(true);
    });
});
