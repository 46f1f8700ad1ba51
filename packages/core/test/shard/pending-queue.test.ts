import { expect } from "earl";
import { describe, it } from "node:test";
import { jobId, noResources, PendingQueue, type PendingUnit, Priority, type TaskId } from "../../src/index.js";

const unit = (sequence: number, priority = Priority.Normal, equivalenceKey = "small"): PendingUnit => ({
    job: jobId(`job-${sequence}`),
    tasks: [`job-${sequence}/0` as TaskId],
    size: noResources,
    priority,
    equivalenceKey,
    sequence,
    since: 0,
});

const placeAll = (queue: PendingQueue): number[] => {
    const order: number[] = [];
    queue.offer(entry => order.push(entry.sequence) > 0);
    return order;
};

describe("PendingQueue", () => {
    it("offers by priority, then by age across sizes", () => {
        const queue = new PendingQueue();
        [unit(1, Priority.Patient), unit(2), unit(3, Priority.Urgent), unit(4, Priority.Normal, "large"), unit(5)]
            .forEach(entry => queue.add(entry));
        expect(placeAll(queue)).toEqual([3, 2, 4, 5, 1]);
    });

    it("skips units equivalent to one that did not fit, and continues with others", () => {
        const queue = new PendingQueue();
        [unit(1, Priority.Normal, "large"), unit(2, Priority.Normal, "large"), unit(3)].forEach(entry =>
            queue.add(entry)
        );
        const offered: number[] = [];
        queue.offer(entry => {
            offered.push(entry.sequence);
            return entry.equivalenceKey === "small";
        });
        expect(offered).toEqual([1, 3]);
        expect(queue.length).toEqual(2);
    });

    it("skips removed units", () => {
        const queue = new PendingQueue();
        const entries = Array.from({ length: 10_000 }, (_, index) => unit(index));
        entries.forEach(entry => queue.add(entry));
        entries.filter(entry => entry.sequence !== 7).forEach(entry => queue.remove(entry.tasks[0]));
        expect(queue.length).toEqual(1);
        expect(queue.positionOf(entries[7])).toEqual(8);
        expect(placeAll(queue)).toEqual([7]);
    });

    it("accepts a task that was removed before", () => {
        const queue = new PendingQueue();
        queue.add(unit(1));
        queue.remove("job-1/0" as TaskId);
        queue.add({ ...unit(1), sequence: 2 });
        expect(placeAll(queue)).toEqual([2]);
    });
});
