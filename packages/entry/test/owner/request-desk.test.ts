/*
 * An owner was suspended for three seconds and replaced meanwhile. When it went on it told callers of five accepted jobs that there
 * is no such job: the next owner had taken them. The log of its VM shows 4514 (time was missed), then 4503 "another owner speaks"; in
 * between it answered from what it knew before.
 */
import type { CellScheduler } from "@pebbledale/cell";
import { jobId, type Journal, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RetryLaterReason } from "../../src/index.js";
import { RequestHandler } from "../../src/owner/request-desk.js";

/** A cell that knows no job. */
const emptyCell = {
    stateOf: () => undefined,
    cancel: () => false,
    jobs: new Map(),
} as unknown as CellScheduler;

const begin = (isConfirmed: () => boolean): RequestHandler =>
    new RequestHandler({
        cell: emptyCell,
        journal: {} as Journal,
        clock: new ManualClock(),
        lost: new AbortController().signal,
        runTurn: () => Promise.resolve(true),
        isConfirmed,
    });

const notNow = { kind: "not-now", retryAfter: 1_000, reason: RetryLaterReason.OwnerUnconfirmed };

describe("an owner that is asked for a job which it does not know", () => {
    it("says so only while it is confirmed to own the cell", async () => {
        let isConfirmed = false;
        const desk = begin(() => isConfirmed);
        const job = jobId("0123456789abcdef");
        expect(await desk.reply({ kind: "state", job })).toEqual(notNow as never);
        expect(await desk.reply({ kind: "cancel", job })).toEqual(notNow as never);
        isConfirmed = true;
        expect(await desk.reply({ kind: "state", job })).toEqual({ kind: "unknown-job" });
        expect(await desk.reply({ kind: "cancel", job })).toEqual({ kind: "unknown-job" });
    });
});
