/*
 * The owner's connection fell silent and the VM went on asking over it: it had not ended, so there was an owner, and callers were
 * told after their whole deadline that it is not known what became of their jobs (504, 650 of 1,419). The lines of the fronts (4802)
 * carried how long the owner had not been heard: it grew to the length of the silence, and nobody acted on it.
 */
import { type Epoch, fencingToken, ManualClock, runNumber, taskAddress, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type Channel, createMemoryChannel, type OwnerMessage, type VmMessage, VmSession } from "../../src/index.js";
import { advanceTime, RecordingLogger, settle } from "../support/index.js";

type Clients = ConstructorParameters<typeof VmSession>[0]["clients"];

const begin = (clients = {} as Clients) => {
    const clock = new ManualClock();
    const stop = new AbortController();
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
        onOwnerChange: () => undefined,
    });
    void session.run(stop.signal);
    return { clock, stop, session };
};

const welcome = async (owner: Channel<OwnerMessage, VmMessage>): Promise<void> => {
    owner.send({ kind: "welcome", epoch: 1 as Epoch, owner: "a" });
    await settle();
};

describe("a VM whose owner is not heard", () => {
    it("takes the connection for lost within a second and a half, and what was asked for unanswered", async () => {
        const { clock, stop, session } = begin();
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

    /*
     * An owner that comes back over a new connection gives out all links anew, also to other VMs. The links that a VM still had from
     * before, at the same epoch, went on asking their workers eight times a second with tokens that these refuse.
     */
    it("ends its links when the same owner speaks again, as that one gives them out anew", async () => {
        let looks = 0;
        const client = {
            look: () => {
                looks++;
                return Promise.resolve({ kind: "seen", look: { clock: 1, running: [], ended: [] } });
            },
            close: () => Promise.resolve(),
        };
        const { clock, stop, session } = begin({ clientOf: () => client } as never);
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(vm);
        await welcome(owner);
        const worker = workerId("w");
        owner.send({ kind: "assign", worker, address: "127.0.0.1:1", token: fencingToken(1), isLeaving: false });
        await advanceTime(clock, 2_000);
        expect(session.hasOwner).toEqual(false);
        const [again, other] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(other);
        await welcome(again);
        const before = looks;
        await advanceTime(clock, 500);
        expect([before > 0, looks - before]).toEqual([true, 0]);
        stop.abort();
    });

    /*
     * A VM that was suspended takes the owner's last word for fresh, as its steady clock did not count the time. Another owner may
     * have the cell by then, which reckons with no lease that is given later than four seconds after the last word of this one.
     */
    it("gives no lease and no order after it may have been suspended, before the owner is heard anew", async () => {
        const leases: unknown[] = [];
        const starts: unknown[] = [];
        const client = {
            look: ({ leaseUntil }: { readonly leaseUntil?: number; }) => {
                leases.push(leaseUntil);
                return Promise.resolve({ kind: "seen", look: { clock: 1, running: [], ended: [] } });
            },
            start: (order: unknown) => {
                starts.push(order);
                return Promise.resolve({ kind: "taken", clock: 1 });
            },
            close: () => Promise.resolve(),
        };
        const { clock, stop, session } = begin({ clientOf: () => client } as never);
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(vm);
        await welcome(owner);
        const worker = workerId("w");
        owner.send({ kind: "assign", worker, address: "127.0.0.1:1", token: fencingToken(1), isLeaving: false });
        await advanceTime(clock, 300);
        owner.send({ kind: "beat", mayLease: true });
        await advanceTime(clock, 100);
        expect(leases.some(lease => lease !== undefined)).toEqual(true);
        clock.suspend(5_000);
        leases.length = 0;
        const task = taskAddress("j/0/0/0");
        const order = { kind: "start", worker, task, run: runNumber(1), payload: "", checkpoint: "" } as const;
        owner.send({ kind: "command", command: order });
        // Beats that were sent before and lay in the socket say nothing of the owner that there is now.
        owner.send({ kind: "beat", mayLease: true });
        await advanceTime(clock, 200);
        expect([leases, starts]).toEqual([[], []]);
        await advanceTime(clock, 300);
        owner.send({ kind: "beat", mayLease: true });
        // A link that may not lease looks again after 120 ms.
        await advanceTime(clock, 150);
        expect(leases.some(lease => lease !== undefined)).toEqual(true);
        stop.abort();
    });

    it("keeps the connection of an owner that sends beats", async () => {
        const { clock, stop, session } = begin();
        const [owner, vm] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.attach(vm);
        await welcome(owner);
        for (let beats = 0; beats < 10; beats++) {
            await advanceTime(clock, 1_000);
            owner.send({ kind: "beat", mayLease: true });
            await settle();
        }
        expect(session.hasOwner).toEqual(true);
        stop.abort();
    });
});
