import { ManualClock, processId, type SlotGrant, type SlotRequest, type TaskId, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RetryBudget, type Slot, SlotBroker, type SlotOutcome } from "../../src/index.js";

/** Waits until pending promise callbacks have run. */
const flushPromises = () => new Promise<void>(resolve => setImmediate(resolve));

const grantOf = (index: number, slots: number): SlotGrant => ({
    task: `shard-0.1.1/${index}` as TaskId,
    worker: workerId(`worker-${index}`),
    address: `127.0.0.1:${9_000 + index}`,
    slots,
});

/** A broker on a manual clock, with an owner whose answers the test sets. */
class BrokerFixture {
    readonly clock = new ManualClock();
    readonly end = new AbortController();
    readonly requests: SlotRequest[] = [];
    grants: SlotGrant[] | undefined = [];
    isOwnerReachable = true;
    readonly broker = new SlotBroker({
        clock: this.clock,
        signal: this.end.signal,
        gateway: processId("gateway-0"),
        dataHall: "hall-0",
        waitLimit: () => 200,
        requestSlots: async request => {
            this.requests.push(request);
            if (!this.isOwnerReachable) {
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
            await flushPromises();
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
    it("acquires slots without a call and balances them by load", async () => {
        const fixture = new BrokerFixture([grantOf(0, 2), grantOf(1, 2)]);
        await flushPromises();
        const calls = fixture.requests.length;
        const slots = await Promise.all([1, 2, 3, 4].map(() => fixture.broker.acquire()));
        expect(slots.map(outcome => slotOf(outcome).worker).sort()).toEqual(
            ["worker-0", "worker-0", "worker-1", "worker-1"].map(workerId),
        );
        expect(fixture.requests.length).toEqual(calls);
        fixture.end.abort();
    });

    it("stops asking for a service that does not exist two seconds after the last request", async () => {
        const fixture = new BrokerFixture(undefined);
        await flushPromises();
        expect((await fixture.broker.acquire()).kind).toEqual("no-service");
        await fixture.advance(3_000);
        const calls = fixture.requests.length;
        await fixture.advance(10_000);
        expect(fixture.requests.length).toEqual(calls);
        fixture.end.abort();
    });

    it("refuses a request at once if its expected wait exceeds the limit, with a retry delay", async () => {
        const fixture = new BrokerFixture([grantOf(0, 1)]);
        await flushPromises();
        await fixture.broker.acquire();
        // One slot with an assumed hold time of 50 ms: four requests may wait, the fifth would wait 250 ms.
        const waiting = [1, 2, 3, 4].map(() => fixture.broker.acquire());
        expect(await fixture.broker.acquire()).toEqual({ kind: "overloaded", retryAfter: 250 });
        expect(fixture.broker.waitingCount).toEqual(4);
        await fixture.advance(250);
        expect((await Promise.all(waiting)).map(outcome => outcome.kind)).toEqual(
            Array.from({ length: 4 }, () => "overloaded"),
        );
        fixture.end.abort();
    });

    it("serves waiting requests in order of arrival", async () => {
        const fixture = new BrokerFixture([grantOf(0, 1)]);
        await flushPromises();
        const first = slotOf(await fixture.broker.acquire());
        const order: number[] = [];
        const takeAs = async (place: number): Promise<SlotOutcome> => {
            const outcome = await fixture.broker.acquire();
            order.push(place);
            return outcome;
        };
        const second = takeAs(1);
        const third = takeAs(2);
        fixture.broker.release(first, 10, false);
        fixture.broker.release(slotOf(await second), 10, false);
        await third;
        expect(order).toEqual([1, 2]);
        fixture.end.abort();
    });

    it("uses its bundle while no owner answers, but not after it has expired", async () => {
        const fixture = new BrokerFixture([grantOf(0, 1)]);
        await flushPromises();
        fixture.isOwnerReachable = false;
        await fixture.advance(9_000);
        const slot = slotOf(await fixture.broker.acquire());
        fixture.broker.release(slot, 10, false);
        await fixture.advance(1_500);
        expect((await fixture.broker.acquire()).kind).toEqual("no-owner");
        fixture.end.abort();
    });

    it("prefers other instances after one has failed", async () => {
        const fixture = new BrokerFixture([grantOf(0, 4), grantOf(1, 4)]);
        await flushPromises();
        const first = slotOf(await fixture.broker.acquire());
        fixture.broker.release(first, 1, true);
        const next = slotOf(await fixture.broker.acquire());
        const after = slotOf(await fixture.broker.acquire());
        expect([next.worker, after.worker].includes(first.worker)).toEqual(false);
        fixture.end.abort();
    });

    it("drops an instance that is no longer granted and reports its slots in use to the owner", async () => {
        const fixture = new BrokerFixture([grantOf(0, 2)]);
        await flushPromises();
        const used = slotOf(await fixture.broker.acquire());
        fixture.grants = [grantOf(1, 2)];
        await fixture.advance(600);
        expect(slotOf(await fixture.broker.acquire()).worker).toEqual(workerId("worker-1"));
        await fixture.advance(600);
        expect(fixture.requests.at(-1)?.held).toEqual([
            { task: used.task, slots: 1 },
            { task: grantOf(1, 2).task, slots: 2 },
        ]);
        fixture.end.abort();
    });

    it("reports an unknown service", async () => {
        const fixture = new BrokerFixture(undefined);
        expect(await fixture.broker.acquire()).toEqual({ kind: "no-service" });
        fixture.end.abort();
    });
});

describe("RetryBudget", () => {
    it("allows a burst, then a share of first attempts", () => {
        const budget = new RetryBudget();
        const burst = Array.from({ length: 20 }, () => budget.tryConsume()).filter(taken => taken).length;
        expect(burst).toEqual(10);
        Array.from({ length: 25 }, () => budget.recordFirstAttempt(0.1));
        expect([budget.tryConsume(), budget.tryConsume(), budget.tryConsume()]).toEqual([true, true, false]);
    });
});
