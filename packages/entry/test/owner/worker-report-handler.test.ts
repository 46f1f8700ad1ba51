/*
 * Guards against a poll of a replaced link settling orders of the new one, by which a gang could be started again after
 * it had ended. Only polls of the new link carry a token high enough for the worker to refuse earlier orders.
 */
import { type CellScheduler, WorkerState } from "@pebbledale/cell";
import { epoch, ManualClock, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    Assignments,
    type AssignMessage,
    createMemoryChannel,
    type OwnerMessage,
    ownerSilenceLimit,
    VmLink,
    type VmMessage,
    type WorkerMessage,
    WorkerReportHandler,
} from "../../src/index.js";
import { makeVm, settle } from "../support/index.js";

const worker = workerId("w");

const setUp = () => {
    const clock = new ManualClock();
    const settledTimes: number[] = [];
    const leaseEnds: (number | undefined)[] = [];
    const cell = {
        workers: new Map([[worker, new WorkerState(worker, "127.0.0.1:1")]]),
        applyPoll: (...[, , , resolvedBefore]: Parameters<CellScheduler["applyPoll"]>) =>
            settledTimes.push(resolvedBefore),
        applySilence: (...[, leasesExpireAt]: Parameters<CellScheduler["applySilence"]>) =>
            leaseEnds.push(leasesExpireAt),
    } as unknown as CellScheduler;
    const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
    const assigned: AssignMessage[] = [];
    vmEnd.onMessage = message => message.kind === "assign" && assigned.push(message);
    const link = new VmLink(makeVm("a"), ownerEnd, clock);
    const assignments = new Assignments(epoch(1), "nobody", () => clock.monotonic());
    const handler = new WorkerReportHandler({
        cell,
        assignments,
        clock,
        formerLeasesExpireAt: 0,
        onFenced: () => undefined,
    });
    const assign = async (): Promise<AssignMessage> => {
        clock.advance(10);
        assignments.remove(worker);
        assignments.assignUnlinked(cell.workers.values(), [link]);
        await settle();
        return assigned[assigned.length - 1];
    };
    const pollMessageOf = ({ token }: AssignMessage, mayHaveMoreEnds = false): WorkerMessage => ({
        kind: "looked",
        worker,
        look: { clock: 0, running: [], ended: [], mayHaveMoreEnds },
        age: 0,
        assignment: token,
    });
    const silenceMessageOf = ({ token }: AssignMessage): WorkerMessage => ({
        kind: "silent",
        worker,
        lapsesIn: 6_000,
        cause: "no answer",
        assignment: token,
    });
    return { clock, handler, link, settledTimes, leaseEnds, assign, pollMessageOf, silenceMessageOf };
};

describe("a report of a VM on a worker", () => {
    it("applies to the assignment that it was made under and not to a later one", async () => {
        const { handler, link, settledTimes, assign, pollMessageOf } = setUp();
        const former = await assign();
        const present = await assign();
        handler.handle(link, pollMessageOf(former));
        expect(settledTimes).toEqual([]);
        handler.handle(link, pollMessageOf(present));
        expect(settledTimes).toEqual([20]);
    });

    /* Guards against orders that are never settled: the first poll of a link may list only some of the worker's ends. */
    it("settles the orders of former links with the first poll that lists all ends", async () => {
        const { handler, link, settledTimes, assign, pollMessageOf } = setUp();
        const present = await assign();
        handler.handle(link, pollMessageOf(present, true));
        handler.handle(link, pollMessageOf(present));
        handler.handle(link, pollMessageOf(present));
        expect(settledTimes).toEqual([10, 10, -Infinity]);
    });

    /*
     * Guards against a task running twice: a VM that is cut off from the owner with a worker renews the worker's lease until it counts the
     * owner as lost, which is after the owner has given its link to another VM.
     */
    it("lets the leases of an unreachable worker expire only after those of a former link", async () => {
        const { clock, handler, link, leaseEnds, assign, silenceMessageOf } = setUp();
        const first = await assign();
        handler.handle(link, silenceMessageOf(first));
        expect(leaseEnds).toEqual([10 + 6_000]);
        const movedAt = clock.monotonic() + 10;
        const second = await assign();
        clock.advance(500);
        handler.handle(link, silenceMessageOf(second));
        expect(leaseEnds.at(-1)).toEqual(movedAt + ownerSilenceLimit + 6_000);
    });

    it("does not count on a former link once the present one has polled the worker, which then refuses its orders", async () => {
        const { clock, handler, link, leaseEnds, assign, pollMessageOf, silenceMessageOf } = setUp();
        await assign();
        const present = await assign();
        handler.handle(link, pollMessageOf(present));
        clock.advance(500);
        handler.handle(link, silenceMessageOf(present));
        expect(leaseEnds).toEqual([clock.monotonic() + 6_000]);
    });
});
