/* Guards against a VM sending requests over a hanging connection to the owner until its callers' deadlines pass. */
import type { StartCommand } from "@pebbledale/cell";
import {
    dataHallName,
    type Epoch,
    fencingToken,
    ManualClock,
    type Milliseconds,
    runNumber,
    taskAddress,
    workerId,
} from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type Channel,
    createMemoryChannel,
    HallClosureWatch,
    type HeartbeatMessage,
    type OwnerMessage,
    type VmMessage,
    VmSession,
} from "../../src/index.js";
import { advanceTime, RecordingLogger, settle } from "../support/index.js";

type Clients = ConstructorParameters<typeof VmSession>[0]["clients"];

const setUp = (clients = {} as Clients) => {
    const clock = new ManualClock();
    const stop = new AbortController();
    const halls = new HallClosureWatch({ logger: new RecordingLogger(), onChange: () => undefined });
    const session = new VmSession({
        clients,
        advice: undefined,
        clock,
        logger: new RecordingLogger(),
        leaseLength: 6_000,
        store: {} as ConstructorParameters<typeof VmSession>[0]["store"],
        onHandOver: () => undefined,
        configuration: () => undefined,
        onConfiguration: () => undefined,
        closures: () => halls.closures,
        onClosures: closures => halls.applyPeers(closures),
        isHallClosed: hall => halls.isClosed(hall),
        onOwnerChange: () => undefined,
    });
    void session.run(stop.signal);
    return { clock, stop, session, halls };
};

const welcome = async (owner: Channel<OwnerMessage, VmMessage>): Promise<void> => {
    owner.send({ kind: "welcome", epoch: 1 as Epoch, owner: "a" });
    await settle();
};

const worker = workerId("w");

const startOf = (run: number): StartCommand => ({
    kind: "start",
    worker,
    task: taskAddress("j/0/0/0"),
    run: runNumber(run),
    payload: "",
    checkpoint: "",
});

/** A client of a worker without runs, with the ends of the leases and the starts that it was sent. */
const makeClient = () => {
    const leases: unknown[] = [];
    const starts: unknown[] = [];
    const client = {
        poll: ({ leaseUntil }: { readonly leaseUntil?: number; }) => {
            leases.push(leaseUntil);
            return Promise.resolve({ kind: "seen", poll: { clock: 1, running: [], ended: [] } });
        },
        start: (order: unknown) => {
            starts.push(order);
            return Promise.resolve({ kind: "taken", clock: 1 });
        },
        close: () => Promise.resolve(),
    };
    return { client, leases, starts };
};

describe("a VM session", () => {
    it("drops a silent owner after a second and a half and resolves open requests without a reply", async () => {
        const { clock, stop, session } = setUp();
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(vm);
        await welcome(owner);
        const asked = session.ask({ kind: "pending", queue: "q" as never });
        let reply: unknown = "none yet";
        void asked.then(answer => reply = answer);
        await advanceTime(clock, 1_200);
        expect([session.hasOwner, reply]).toEqual([true, "none yet"]);
        await advanceTime(clock, 600);
        expect([session.hasOwner, reply]).toEqual([false, undefined]);
        stop.abort();
    });

    it("asks the owner for its copy of the operators' keys, and has no answer once the owner is lost", async () => {
        const { stop, session } = setUp();
        expect(await session.askCopy("6")).toEqual(undefined);
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        const questions: number[] = [];
        owner.onMessage = message => message.kind === "copy-question" && questions.push(message.question);
        session.attach(vm);
        await welcome(owner);
        const [first, second] = [session.askCopy("6"), session.askCopy("6")];
        await settle();
        const copy = { cursor: "7", age: 1, version: 1, closures: { halls: [], revision: 7 }, waves: [] };
        questions.forEach(question => owner.send({ kind: "copy-answer", question, copy }));
        expect([await first, await second]).toEqual([undefined, copy]);
        const third = session.askCopy("6");
        owner.close();
        expect(await third).toEqual(undefined);
        stop.abort();
    });

    /* Guards against an owner that is cut off from the store starting tasks in a data hall that was closed meanwhile. */
    it("tells an owner that connects which data halls are closed, and corrects one that knows less", async () => {
        const { stop, session, halls } = setUp();
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        const received: VmMessage[] = [];
        owner.onMessage = message => received.push(message);
        const closed = dataHallName("hall-a");
        halls.replace({ closed: [closed], reopened: [], revision: 9 });
        session.attach(vm);
        await welcome(owner);
        owner.send({ kind: "closed-halls", closures: { halls: [], revision: 8 } });
        await settle();
        const announced = { kind: "closed-halls", closures: { halls: [closed], revision: 9 } } as const;
        expect(received.filter(({ kind }) => kind === "closed-halls")).toEqual([announced, announced]);
        owner.send({ kind: "closed-halls", closures: { halls: [], revision: 10 } });
        await settle();
        expect(halls.isClosed(closed)).toEqual(false);
        stop.abort();
    });

    /* Guards against links of a former connection polling workers with tokens that the workers refuse. */
    it("closes its links when the same owner connects again", async () => {
        let polls = 0;
        const client = {
            poll: () => {
                polls++;
                return Promise.resolve({ kind: "seen", poll: { clock: 1, running: [], ended: [] } });
            },
            close: () => Promise.resolve(),
        };
        const { clock, stop, session } = setUp({ clientOf: () => client } as never);
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(vm);
        await welcome(owner);
        owner.send({ kind: "assign", worker, address: "127.0.0.1:1", token: fencingToken(1), isLeaving: false });
        await advanceTime(clock, 2_000);
        expect(session.hasOwner).toEqual(false);
        const [again, other] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(other);
        await welcome(again);
        const before = polls;
        await advanceTime(clock, 500);
        expect([before > 0, polls - before]).toEqual([true, 0]);
        stop.abort();
    });

    /*
     * Guards against a suspended VM, whose monotonic clock did not advance, granting leases for an owner that has been
     * replaced.
     */
    it("grants no leases and forwards no orders after a possible suspension until the owner is heard again", async () => {
        const { client, leases, starts } = makeClient();
        const { clock, stop, session } = setUp({ clientOf: () => client } as never);
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(vm);
        await welcome(owner);
        owner.send({ kind: "assign", worker, address: "127.0.0.1:1", token: fencingToken(1), isLeaving: false });
        await advanceTime(clock, 300);
        owner.send({ kind: "beat", mayLease: true });
        await advanceTime(clock, 100);
        expect(leases.some(lease => lease !== undefined)).toEqual(true);
        clock.suspend(5_000);
        leases.length = 0;
        owner.send({ kind: "command", command: startOf(1) });
        // Heartbeats that were buffered in the socket may come from before the suspension.
        owner.send({ kind: "beat", mayLease: true });
        await advanceTime(clock, 200);
        expect([leases, starts]).toEqual([[], []]);
        await advanceTime(clock, 300);
        owner.send({ kind: "beat", mayLease: true });
        // A link that may not grant leases polls again after 120 ms.
        await advanceTime(clock, 150);
        expect(leases.some(lease => lease !== undefined)).toEqual(true);
        stop.abort();
    });

    /*
     * Guards against a task running twice: a VM that was stopped for longer than the owner waits for its links sent the starts
     * that it found in its connection, although their tasks had been started elsewhere meanwhile.
     */
    it("forwards no starts and grants no leases for messages that waited in the connection while it was stopped", async () => {
        const { client, leases, starts } = makeClient();
        const { clock, stop, session } = setUp({ clientOf: () => client } as never);
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        const beats: HeartbeatMessage[] = [];
        owner.onMessage = message => message.kind === "beat" && beats.push(message);
        session.attach(vm);
        // The owner's clock is 70 s ahead of the VM's.
        const ownerTime = () => clock.monotonic() + 70_000;
        const beat = (sentAt: Milliseconds): void => {
            const last = beats.splice(0).at(-1);
            const echo = last?.sentAt === undefined ? {} : { echo: { sentAt: last.sentAt, receivedAt: ownerTime() } };
            owner.send({ kind: "beat", mayLease: true, sentAt, ...echo });
        };
        owner.send({ kind: "welcome", epoch: 1 as Epoch, owner: "a", sentAt: ownerTime() });
        await settle();
        owner.send({ kind: "assign", worker, address: "127.0.0.1:1", token: fencingToken(1), isLeaving: false });
        for (let passed = 0; passed < 1_000; passed += 250) {
            beat(ownerTime());
            await advanceTime(clock, 250);
        }
        owner.send({ kind: "command", command: startOf(1) });
        await settle();
        expect([starts.length, leases.some(lease => lease !== undefined)]).toEqual([1, true]);
        leases.length = 0;
        const stoppedAt = ownerTime();
        clock.advance(8_000);
        for (const age of [0, 250, 500, 750, 1_000]) {
            owner.send({ kind: "beat", mayLease: true, sentAt: stoppedAt + age });
            owner.send({ kind: "command", command: startOf(2) });
        }
        await advanceTime(clock, 100);
        expect([starts.length, leases.filter(lease => lease !== undefined)]).toEqual([1, []]);
        beat(ownerTime());
        owner.send({ kind: "command", command: startOf(3) });
        await advanceTime(clock, 200);
        expect([starts.length, leases.some(lease => lease !== undefined)]).toEqual([2, true]);
        stop.abort();
    });

    /* Guards against a VM that is stopped right after an owner has connected to it taking the owner's first messages for recent ones. */
    it("forwards no starts of an owner that has connected to it before it was stopped", async () => {
        const { client, starts } = makeClient();
        const { clock, stop, session } = setUp({ clientOf: () => client } as never);
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(vm);
        clock.advance(8_000);
        owner.send({ kind: "welcome", epoch: 1 as Epoch, owner: "a", sentAt: 20 });
        owner.send({ kind: "assign", worker, address: "127.0.0.1:1", token: fencingToken(1), isLeaving: false });
        owner.send({ kind: "command", command: startOf(1) });
        owner.send({ kind: "beat", mayLease: true, sentAt: 270 });
        owner.send({ kind: "command", command: startOf(2) });
        await advanceTime(clock, 100);
        expect(starts).toEqual([]);
        stop.abort();
    });

    it("keeps the connection of an owner that sends heartbeats", async () => {
        const { clock, stop, session } = setUp();
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(vm);
        await welcome(owner);
        for (let heartbeats = 0; heartbeats < 10; heartbeats++) {
            await advanceTime(clock, 1_000);
            owner.send({ kind: "beat", mayLease: true });
            await settle();
        }
        expect(session.hasOwner).toEqual(true);
        stop.abort();
    });
});
