import { ManualClock, processId, type SlotGrant, type SlotRequest, type TaskId, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RetryBudget, type Slot, SlotBroker, type SlotOutcome } from "../../src/index.js";

/** Lets promises settle. */
const settle = () => new Promise<void>(resolve => setImmediate(resolve));

const grantOf = (index: number, slots: number): SlotGrant => ({
    task: `shard-0.1.1/${index}` as TaskId,
    worker: workerId(`worker-${index}`),
    address: `127.0.0.1:${9_000 + index}`,
    slots,
});

/** A broker whose owner answers as the test says, in time that the test moves. */
class Bench {
    readonly clock = new ManualClock();
    readonly end = new AbortController();
    readonly asked: SlotRequest[] = [];
    grants: SlotGrant[] | undefined = [];
    ownerAnswers = true;
    readonly broker = new SlotBroker({
        clock: this.clock,
        signal: this.end.signal,
        gateway: processId("gateway-0"),
        dataHall: "hall-0",
        waitLimit: () => 200,
        ask: async request => {
            this.asked.push(request);
            if (!this.ownerAnswers) {
                throw new Error("no owner");
            }
            return this.grants === undefined ? undefined : { grants: this.grants, duration: 10_000 };
        },
    });

    constructor(grants: SlotGrant[] | undefined) {
        this.grants = grants;
        void this.broker.run();
    }

    async advance(duration: number): Promise<void> {
        for (let passed = 0; passed < duration; passed += 50) {
            this.clock.advance(50);
            await settle();
        }
    }
}

const slotOf = (outcome: SlotOutcome): Slot => {
    if (outcome.kind !== "slot") {
        throw new Error(`no slot: ${outcome.kind}`);
    }
    return outcome.slot;
};

describe("SlotBroker", () => {
    it("takes slots without a call and spreads them by load", async () => {
        const bench = new Bench([grantOf(0, 2), grantOf(1, 2)]);
        await settle();
        const calls = bench.asked.length;
        const slots = await Promise.all([1, 2, 3, 4].map(() => bench.broker.take()));
        expect(slots.map(outcome => slotOf(outcome).worker).sort()).toEqual(
            ["worker-0", "worker-0", "worker-1", "worker-1"].map(workerId),
        );
        expect(bench.asked.length).toEqual(calls);
        bench.end.abort();
    });

    it("refuses at once what would wait longer than the limit, and says when to come back", async () => {
        const bench = new Bench([grantOf(0, 1)]);
        await settle();
        await bench.broker.take();
        // One slot, held for 50 ms in the mean at first: four may wait, the fifth would wait for 250 ms.
        const waiting = [1, 2, 3, 4].map(() => bench.broker.take());
        expect(await bench.broker.take()).toEqual({ kind: "overloaded", retryAfter: 250 });
        expect(bench.broker.waitingCount).toEqual(4);
        await bench.advance(250);
        expect((await Promise.all(waiting)).map(outcome => outcome.kind)).toEqual(
            Array.from({ length: 4 }, () => "overloaded"),
        );
        bench.end.abort();
    });

    it("serves those who wait in the order they came", async () => {
        const bench = new Bench([grantOf(0, 1)]);
        await settle();
        const first = slotOf(await bench.broker.take());
        const order: number[] = [];
        const takeAs = async (place: number): Promise<SlotOutcome> => {
            const outcome = await bench.broker.take();
            order.push(place);
            return outcome;
        };
        const second = takeAs(1);
        const third = takeAs(2);
        bench.broker.release(first, 10, false);
        bench.broker.release(slotOf(await second), 10, false);
        await third;
        expect(order).toEqual([1, 2]);
        bench.end.abort();
    });

    it("goes on with its bundle while no owner answers, and not beyond its end", async () => {
        const bench = new Bench([grantOf(0, 1)]);
        await settle();
        bench.ownerAnswers = false;
        await bench.advance(9_000);
        const slot = slotOf(await bench.broker.take());
        bench.broker.release(slot, 10, false);
        await bench.advance(1_500);
        expect((await bench.broker.take()).kind).toEqual("no-owner");
        bench.end.abort();
    });

    it("prefers another instance after one failed", async () => {
        const bench = new Bench([grantOf(0, 4), grantOf(1, 4)]);
        await settle();
        const first = slotOf(await bench.broker.take());
        bench.broker.release(first, 1, true);
        const next = slotOf(await bench.broker.take());
        const after = slotOf(await bench.broker.take());
        expect([next.worker, after.worker].includes(first.worker)).toEqual(false);
        bench.end.abort();
    });

    it("drops an instance that is no longer granted and tells the owner what it uses", async () => {
        const bench = new Bench([grantOf(0, 2)]);
        await settle();
        const used = slotOf(await bench.broker.take());
        bench.grants = [grantOf(1, 2)];
        await bench.advance(600);
        expect(slotOf(await bench.broker.take()).worker).toEqual(workerId("worker-1"));
        await bench.advance(600);
        expect(bench.asked.at(-1)?.held).toEqual([
            { task: used.task, slots: 1 },
            { task: grantOf(1, 2).task, slots: 2 },
        ]);
        bench.end.abort();
    });

    it("says that a service is not known", async () => {
        const bench = new Bench(undefined);
        expect(await bench.broker.take()).toEqual({ kind: "no-service" });
        bench.end.abort();
    });
});

describe("RetryBudget", () => {
    it("allows a burst, then a share of first sends", () => {
        const budget = new RetryBudget();
        const burst = Array.from({ length: 20 }, () => budget.tryConsume()).filter(taken => taken).length;
        expect(burst).toEqual(10);
        Array.from({ length: 25 }, () => budget.recordFirstAttempt(0.1));
        expect([budget.tryConsume(), budget.tryConsume(), budget.tryConsume()]).toEqual([true, true, false]);
    });
});
