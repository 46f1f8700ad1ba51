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
import {
    dataHallName,
    fencingToken,
    ManualClock,
    runNumber,
    taskAddress,
    workerId,
    WorkerUnreachableError,
} from "@pebbledale/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { LossMonitor, WorkerLink, type WorkerReport } from "../../src/index.js";
import { advanceTime, RecordingLogger, settle } from "../support/index.js";

const worker = workerId("w");
const leaseLength = 6_000;
const emptyPoll: PollResult = { clock: 1_000, running: [], ended: [] };

const command: StartCommand = {
    kind: "start",
    worker,
    task: taskAddress("j/0/0/0"),
    run: runNumber(1),
    payload: "",
    checkpoint: "",
};

/** A worker client whose answers are set by the test. */
class FakeClient implements TaskWorkerClient {
    readonly polls: PollRequest[] = [];
    readonly starts: StartOrder[] = [];
    answerPoll: (request: PollRequest, limit: number) => Promise<PollAnswer> = () => seen(emptyPoll);
    answerStart: () => Promise<OrderAnswer> = () => Promise.resolve({ kind: "taken", clock: 1_000 });

    poll(request: PollRequest, limit: number): Promise<PollAnswer> {
        this.polls.push(request);
        return this.answerPoll(request, limit);
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

const seen = (poll: PollResult): Promise<PollAnswer> => Promise.resolve({ kind: "seen", poll });
const noAnswer = <Answer>(): Promise<Answer> => Promise.reject(new WorkerUnreachableError("no answer"));
const neverAnswered = <Answer>(): Promise<Answer> => new Promise(() => undefined);

const links: WorkerLink[] = [];
const makeLink = (client: FakeClient, mayPoll = () => true, isHallClosed: () => boolean = () => false) => {
    const clock = new ManualClock();
    const sent: WorkerReport[] = [];
    const logger = new RecordingLogger();
    const link = new WorkerLink({
        assignment: {
            kind: "assign",
            worker,
            address: "127.0.0.1:1",
            token: fencingToken(100),
            isLeaving: false,
        },
        client,
        clock,
        logger,
        leaseLength,
        mayPoll,
        isHallClosed,
        lossMonitor: new LossMonitor(clock, logger),
        send: message => sent.push(message),
    });
    links.push(link);
    return { clock, sent, link };
};

/** A client that answers the first poll at once and leaves later ones waiting. */
const firstThenWaiting = (): FakeClient => {
    const client = new FakeClient();
    client.answerPoll = () => client.polls.length === 1 ? seen(emptyPoll) : neverAnswered();
    return client;
};

describe("a worker link", () => {
    afterEach(() => links.splice(0).forEach(link => link.close()));

    /* Guards against a task running twice at a worker whose clock is slow, where the leases of a former link last longer. */
    it("reports that leases at a worker that it has not reached may last longer by the worker's clock", async () => {
        const client = new FakeClient();
        client.answerPoll = noAnswer;
        const { sent } = makeLink(client);
        await settle();
        const silent = sent.find(message => message.kind === "silent");
        expect(silent?.lapsesIn).toEqual(leaseLength / 0.98);
    });

    it("polls before the first start and computes leases from the worker's clock", async () => {
        const client = firstThenWaiting();
        const { link, sent } = makeLink(client);
        link.forward(command);
        await settle();
        expect(client.polls[0].leaseUntil).toEqual(undefined);
        expect(sent[0].kind).toEqual("looked");
        expect(client.starts.map(start => start.leaseUntil)).toEqual([1_000 + leaseLength]);
    });

    it("forwards no start to a worker whose data hall is closed, and says that it was not delivered", async () => {
        const client = firstThenWaiting();
        const { link, sent } = makeLink(client, () => true, () => true);
        link.forward({ ...command, dataHall: dataHallName("hall-a") });
        await settle();
        expect(client.starts).toEqual([]);
        expect(sent.slice(-1)).toEqual([{
            kind: "started",
            worker,
            task: command.task,
            run: command.run,
            refusal: "not-delivered",
        }]);
    });

    /*
     * Guards against late replacement of a run that ended with its draining worker: only the expiry of its lease proves
     * that it has ended.
     */
    it("grants short leases at a draining worker", async () => {
        const client = firstThenWaiting();
        const { link, clock } = makeLink(client);
        await settle();
        link.noteDraining();
        client.answerPoll = () => neverAnswered();
        link.forward(command);
        await advanceTime(clock, 700);
        expect(client.starts.map(start => start.leaseUntil)).toEqual([1_000 + 3_000]);
    });

    it("resolves an unanswered start by a poll with a higher token", async () => {
        const client = firstThenWaiting();
        client.answerStart = noAnswer;
        const { link, sent } = makeLink(client);
        await settle();
        client.answerPoll = ({ token }) => token > 100 ? seen(emptyPoll) : neverAnswered();
        link.forward(command);
        await settle();
        expect(client.polls.some(poll => poll.token === fencingToken(101))).toEqual(true);
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

    /* Guards against a task running twice: its run may have ended, and its end may not fit into the answer. */
    it("does not report the result of an unanswered start until a poll lists all ends", async () => {
        const client = firstThenWaiting();
        client.answerStart = noAnswer;
        const { clock, link, sent } = makeLink(client);
        await settle();
        client.answerPoll = ({ token }) =>
            token > 100 ? seen({ ...emptyPoll, mayHaveMoreEnds: true }) : neverAnswered();
        link.forward(command);
        await advanceTime(clock, 1_000);
        expect(sent.some(message => message.kind === "started")).toEqual(false);
        client.answerPoll = ({ token }) => token > 100 ? seen(emptyPoll) : neverAnswered();
        await advanceTime(clock, 1_000);
        expect(sent.filter(message => message.kind === "started").map(({ refusal }) => refusal)).toEqual([
            "not-delivered",
        ]);
    });

    it("does not report the result of an unanswered start while the worker is silent", async () => {
        const client = firstThenWaiting();
        client.answerStart = noAnswer;
        const { clock, link, sent } = makeLink(client);
        await settle();
        client.answerPoll = noAnswer;
        link.forward(command);
        await advanceTime(clock, 2_000);
        expect(sent.some(message => message.kind === "started")).toEqual(false);
        expect(sent.some(message => message.kind === "silent")).toEqual(true);
    });

    it("stops polling when the owner has not been heard for too long", async () => {
        const client = new FakeClient();
        let isHeard = true;
        const { clock } = makeLink(client, () => isHeard);
        client.answerPoll = () => seen(emptyPoll);
        await advanceTime(clock, 200);
        isHeard = false;
        await settle();
        const polls = client.polls.length;
        await advanceTime(clock, 1_000);
        expect(client.polls.length <= polls + 1).toEqual(true);
    });

    it("reports an ended run once and lets the worker forget it only when it is committed", async () => {
        const client = new FakeClient();
        const end = { number: 1, task: command.task, run: command.run, end: RunEnd.Done, checkpoint: "" };
        client.answerPoll = request =>
            request.forgetThrough >= 1 ? neverAnswered() : seen({ ...emptyPoll, ended: [end] });
        const { clock, link, sent } = makeLink(client);
        await advanceTime(clock, 600);
        const reported = sent.flatMap(message =>
            message.kind === "ends" ? message.ended : message.kind === "looked" ? message.look.ended : []
        );
        expect(reported.length).toEqual(1);
        expect(client.polls.every(poll => poll.forgetThrough === 0)).toEqual(true);
        link.acknowledge(1);
        await advanceTime(clock, 300);
        expect(client.polls.at(-1)?.forgetThrough).toEqual(1);
    });

    it("sees an ended run within a second of a lost answer and does not report the worker as silent", async () => {
        const client = new FakeClient();
        const { clock, sent } = makeLink(client);
        const end = { number: 1, task: command.task, run: command.run, end: RunEnd.Done, checkpoint: "" };
        client.answerPoll = ({ wait }, limit) =>
            client.polls.length === 1
                ? seen(emptyPoll)
                : wait === undefined
                ? seen({ ...emptyPoll, ended: [end] })
                : clock.sleep(limit).then(noAnswer<PollAnswer>);
        await advanceTime(clock, 1_000);
        const reported = sent.flatMap(message => message.kind === "looked" ? message.look.ended : []);
        expect(reported).toEqual([end]);
        expect(sent.some(message => message.kind === "silent")).toEqual(false);
    });

    it("polls an idle worker with a longer wait until the next start", async () => {
        const client = new FakeClient();
        const { clock, link } = makeLink(client);
        client.answerPoll = ({ wait = 0 }) => clock.sleep(wait).then(() => seen(emptyPoll));
        await advanceTime(clock, 6_000);
        expect(client.polls.at(-1)?.wait).toEqual(2_000);
        link.forward(command);
        await advanceTime(clock, 2_500);
        expect(client.polls.at(-1)?.wait).toEqual(600);
    });

    it("polls with a shorter wait while answers are being lost", async () => {
        const client = new FakeClient();
        const { clock } = makeLink(client);
        let isLossy = true;
        client.answerPoll = ({ wait = 0 }, limit) =>
            isLossy && wait > 0
                ? clock.sleep(limit).then(noAnswer<PollAnswer>)
                : clock.sleep(wait).then(() => seen(emptyPoll));
        await advanceTime(clock, 2_500);
        expect(client.polls.at(-1)?.wait ?? Infinity).toBeLessThan(300);
        isLossy = false;
        await advanceTime(clock, 7_000);
        expect(client.polls.at(-1)?.wait ?? 0).toBeGreaterThan(300);
    });

    it("closes when another worker answers at the address", async () => {
        const client = new FakeClient();
        client.answerPoll = () => Promise.resolve({ kind: "refused", refusal: OrderRefusal.WrongWorker });
        const { clock, sent } = makeLink(client);
        await advanceTime(clock, 500);
        expect(sent.map(message => message.kind)).toEqual(["other-life"]);
    });

    it("grants a silent worker no lease, not even by polls that may arrive late, until the owner resumes the link", async () => {
        const client = new FakeClient();
        const { clock, link } = makeLink(client);
        await settle();
        client.answerPoll = noAnswer;
        await advanceTime(clock, 100);
        const before = client.polls.length;
        await advanceTime(clock, 1_000);
        const whileSilent = client.polls.slice(before);
        expect(whileSilent.length > 0 && whileSilent.every(poll => poll.leaseUntil === undefined)).toEqual(true);
        client.answerPoll = request => request.leaseUntil === undefined ? seen(emptyPoll) : neverAnswered();
        await advanceTime(clock, 300);
        expect(client.polls.at(-1)?.leaseUntil).toEqual(undefined);
        link.resumeLeases();
        await advanceTime(clock, 300);
        expect(client.polls.at(-1)?.leaseUntil === undefined).toEqual(false);
    });

    it("reports a start for a silent worker as not delivered without sending it", async () => {
        const client = new FakeClient();
        const { clock, link, sent } = makeLink(client);
        await settle();
        client.answerPoll = noAnswer;
        await advanceTime(clock, 300);
        link.forward(command);
        await settle();
        expect(client.starts.length).toEqual(0);
        const last = sent.at(-1);
        expect(last?.kind === "started" && last.refusal).toEqual("not-delivered");
    });

    it("reports how long ago a silent worker last answered", async () => {
        const client = firstThenWaiting();
        const { clock, sent, link } = makeLink(client);
        await settle();
        await advanceTime(clock, 100);
        link.forward(command);
        await settle();
        const answeredAt = clock.monotonic();
        client.answerPoll = () => noAnswer();
        client.answerStart = noAnswer;
        await advanceTime(clock, 300);
        link.forward(command);
        await settle();
        const silent = sent.find(message => message.kind === "silent");
        expect(silent?.heardAgo).toEqual(clock.monotonic() - answeredAt);
    });

    it("reports when the leases of a silent worker expire", async () => {
        const client = new FakeClient();
        const { clock, sent } = makeLink(client);
        await settle();
        client.answerPoll = noAnswer;
        await advanceTime(clock, 300);
        const silent = sent.find(message => message.kind === "silent");
        expect(silent !== undefined && silent.lapsesIn > leaseLength * 0.9).toEqual(true);
        expect(silent !== undefined && silent.lapsesIn <= leaseLength / 0.98).toEqual(true);
    });
});
