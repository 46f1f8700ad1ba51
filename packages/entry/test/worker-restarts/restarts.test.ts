/*
 * Guards against lost ends after a worker restarts under its id. Links acknowledged ends to the new incarnation by the numbers of
 * the earlier one, so that finished tasks were considered lost and restarted.
 */
import { logEvents, workerIncarnation } from "@pebbledale/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type SimulationOptions, SimulationWorld } from "../support/simulation/index.js";

let world: SimulationWorld;
const begin = async (options: SimulationOptions): Promise<void> => {
    world = await SimulationWorld.begin(options);
};

/** Begins with a worker that has finished tasks and received the acknowledgements. */
const beginWithAcknowledgedTasks = async (): Promise<void> => {
    await begin({ workers: 1 });
    await world.submit("before", "done 100", 8);
    await world.advanceUntil(() => world.stateOf("before") === "completed", 2_000);
    await world.advance(500);
};

describe("a worker that restarts under its id", () => {
    afterEach(() => world.end());

    it("is polled for all ends of its new incarnation, however short its downtime, and its finished tasks are not repeated", async () => {
        for (const downtime of [0, 300]) {
            await beginWithAcknowledgedTasks();
            await world.restart(world.workers[0], downtime);
            await world.submit("after", "done 600", 2);
            const isDone = await world.advanceUntil(() => world.stateOf("after") === "completed", 10_000);
            await world.advance(1_000);
            expect(world.duplicates()).toEqual([]);
            expect(isDone).toEqual(true);
            world.end();
        }
    });

    // The owner once considered finished runs of restarted workers as running, so that gangs waited although there was enough capacity.
    it("frees the resources of its finished tasks, so that a gang starts as soon as the workers have enough capacity", async () => {
        await begin({ workers: 4 });
        await world.submit("before", "done 20", 600);
        await world.advanceUntil(() => world.stateOf("before") === "completed", 10_000);
        await world.advance(500);
        for (const worker of world.workers) {
            await world.restart(worker, 0);
        }
        await world.advance(500);
        let next = 0;
        const submitNext = () => world.submit(`small-${next++}`, "done 200", 4);
        for (let round = 0; round < 8; round++) {
            await submitNext();
            await world.advance(150);
        }
        const size = { processorThousandths: 6_000, memoryMebibytes: 1_024, accelerators: 0 };
        await world.submit("gang", "done 500", 4, { isGang: true, size });
        for (let round = 0; round < 20 && world.runsOf("gang").length === 0; round++) {
            await submitNext();
            await world.advance(200);
        }
        expect(world.runsOf("gang").length).toEqual(1);
    });

    it("delays the replacement of its runs no longer than its own leases last when it becomes silent", async () => {
        await begin({ workers: 2 });
        await world.advance(40_000);
        world.workers[1].crash();
        await world.restart(world.workers[0], 300);
        await world.advance(1_000);
        await world.submit("work", "done 5000");
        await world.advance(300);
        world.workers[0].crash();
        await world.restart(world.workers[1], 0);
        const isStartedElsewhere = await world.advanceUntil(() => world.runsOf("work").length === 2, 12_000);
        expect(isStartedElsewhere).toEqual(true);
    });

    it("counts as a crash for all its runs: a task that was running at three crashes fails", async () => {
        await begin({ workers: 4 });
        world.workers.forEach(worker => worker.tick());
        await world.submit("killer", "crash 10");
        for (let elapsed = 0; elapsed < 20_000; elapsed += 200) {
            await world.advance(200);
            for (const worker of world.workers.filter(({ isUp }) => !isUp)) {
                worker.start();
                world.publishEntry(worker);
            }
        }
        expect(world.runsOf("killer").length).toEqual(3);
        expect(world.stateOf("killer")).toEqual("failed");
    });

    it("is called at its new address", async () => {
        await begin({ workers: 1 });
        await world.restart(world.workers[0], 300, { address: "10.0.0.77:80" });
        await world.advance(1_000);
        await world.submit("after", "done 100");
        expect(await world.advanceUntil(() => world.stateOf("after") === "completed", 10_000)).toEqual(true);
    });

    it("runs an order to its earlier incarnation once, even if the order arrives late", async () => {
        await begin({ workers: 2 });
        let isFirst = true;
        world.network.outcomeOf = kind => {
            const isLate = kind === "start" && isFirst;
            isFirst &&= !isLate;
            return { executedAfter: isLate ? 250 : 0, isAnswered: !isLate };
        };
        await world.submit("late", "done 3000");
        const late = world.workers.find(worker =>
            worker.id === world.owner.cell.workers.get(worker.id)?.id
            && [...world.owner.cell.workers.get(worker.id)?.runs.values() ?? []].length > 0
        );
        await world.restart(late ?? world.workers[0], 50);
        expect(await world.advanceUntil(() => world.stateOf("late") === "completed", 20_000)).toEqual(true);
        expect(world.duplicates()).toEqual([]);
    });

    /*
     * Guards against duplicate runs. An unanswered order may be executed seconds later by a newer incarnation at the address. Unless
     * that one has seen a higher token, it starts a task that already runs elsewhere, as the previous one reported not to run it.
     */
    it("sees a higher token soon after its start while an unanswered order may still reach it", async () => {
        await begin({ workers: 2 });
        let starts = 0;
        world.network.outcomeOf = kind => ({
            executedAfter: kind === "start" && starts++ === 0 ? undefined : 0,
            isAnswered: starts !== 1 || kind !== "start",
        });
        await world.submit("doubtful", "done 3000");
        await world.advance(500);
        const [worker] = world.workers;
        const waits: number[] = [];
        for (const downtime of [290, 330, 370, 410]) {
            worker.crash();
            await world.advance(downtime);
            worker.start();
            world.publishEntry(worker);
            const startedAt = world.clock.monotonic();
            await world.advanceUntil(() => worker.token > 0, 1_000);
            waits.push(world.clock.monotonic() - startedAt);
            await world.advance(500);
        }
        expect(Math.max(...waits)).toBeLessThan(50);
    });

    it("neither loses nor repeats tasks if another owner takes over while it is down", async () => {
        await beginWithAcknowledgedTasks();
        await world.submit("across", "done 2000", 2);
        world.workers[0].crash();
        await world.advance(50);
        world.replaceOwner();
        await world.restart(world.workers[0], 100);
        await world.submit("after", "done 600", 2);
        const areDone = await world.advanceUntil(
            () => world.stateOf("after") === "completed" && world.stateOf("across") === "completed",
            15_000,
        );
        expect(world.duplicates()).toEqual([]);
        expect(areDone).toEqual(true);
    });
});

describe("a worker that reports its incarnation inconsistently", () => {
    afterEach(() => world.end());

    it("with a new one in each answer: is polled less and less often, so that it causes little load", async () => {
        await begin({ workers: 2 });
        const [faulty] = world.workers;
        faulty.changesIncarnationEachAnswer = true;
        await world.advance(10_000);
        expect(world.logged(logEvents.workerRestarted).length).toBeLessThan(20);
        await world.submit("beside", "done 100");
        expect(await world.advanceUntil(() => world.stateOf("beside") === "completed", 2_000)).toEqual(true);
        faulty.changesIncarnationEachAnswer = false;
        faulty.start();
        world.publishEntry(faulty);
        const isUsed = () => world.owner.cell.workers.get(faulty.id)?.isOpen(world.clock.monotonic()) === true;
        expect(await world.advanceUntil(isUsed, 5_000)).toEqual(true);
    });

    it("with different ones in its entry and its answers: is used under the one in its answers", async () => {
        await begin({ workers: 1 });
        const [worker] = world.workers;
        world.publishEntry(worker, { address: worker.address, born: workerIncarnation(7) });
        await world.advance(2_000);
        await world.submit("a", "done 100");
        expect(await world.advanceUntil(() => world.stateOf("a") === "completed", 2_000)).toEqual(true);
        expect(world.logged(logEvents.otherIncarnationListed).map(({ fields }) => [fields["life"], fields["listed"]]))
            .toEqual([[worker.born, 7]]);
    });

    it("at alternating addresses: is called where it answers", async () => {
        await begin({ workers: 1 });
        const [worker] = world.workers;
        for (let turn = 0; turn < 10; turn++) {
            world.publishEntry(worker, { address: "10.0.0.99:80", born: workerIncarnation(turn) });
            await world.advance(100);
            world.publishEntry(worker);
            await world.advance(100);
        }
        await world.submit("a", "done 100");
        expect(await world.advanceUntil(() => world.stateOf("a") === "completed", 2_000)).toEqual(true);
        expect(world.logged(logEvents.workerRestarted)).toEqual([]);
    });
});
