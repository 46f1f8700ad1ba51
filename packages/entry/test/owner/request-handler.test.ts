/* Guards against an owner that was suspended and replaced denying jobs that its successor has accepted. */
import type { CellScheduler } from "@pebbledale/cell";
import { jobId, type Journal, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RetryLaterReason } from "../../src/index.js";
import { RequestHandler } from "../../src/owner/request-handler.js";

/** A cell without jobs. */
const emptyCell = {
    stateOf: () => undefined,
    cancel: () => false,
    jobs: new Map(),
} as unknown as CellScheduler;

const setUp = (isConfirmed: () => boolean): RequestHandler =>
    new RequestHandler({
        cell: emptyCell,
        journal: {} as Journal,
        clock: new ManualClock(),
        lost: new AbortController().signal,
        runTurn: () => Promise.resolve(true),
        isConfirmed,
    });

const retryLater = { kind: "not-now", retryAfter: 1_000, reason: RetryLaterReason.OwnerUnconfirmed };

describe("an owner that is asked for an unknown job", () => {
    it("reports it as unknown only while it is confirmed to own the cell", async () => {
        let isConfirmed = false;
        const handler = setUp(() => isConfirmed);
        const job = jobId("0123456789abcdef");
        expect(await handler.reply({ kind: "state", job })).toEqual(retryLater as never);
        expect(await handler.reply({ kind: "cancel", job })).toEqual(retryLater as never);
        isConfirmed = true;
        expect(await handler.reply({ kind: "state", job })).toEqual({ kind: "unknown-job" });
        expect(await handler.reply({ kind: "cancel", job })).toEqual({ kind: "unknown-job" });
    });
});
