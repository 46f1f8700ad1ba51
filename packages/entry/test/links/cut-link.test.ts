/* Guards against callers of a VM that a cut link separates from the owner waiting until their deadlines, or being told what is not known. */
import type { JobDefinition, TaskWorkerClients } from "@pebbledale/cell";
import { type ChangeFeed, type Epoch, type PlatformStore, SystemClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { dialVm, JobService, listenForOwners, VmSession } from "../../src/index.js";
import { makeRequestLog, RecordingLogger } from "../support/index.js";
import { startNarrowLink } from "../support/narrow-link.js";

const address = `127.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}.4:7400`;
const bytesPerSecond = 1_000_000;
const deadline = 10_000;
const job = { job: "0123456789abcdef" } as unknown as JobDefinition;

/** Resolves to an answer and the time that it took. */
const timed = async <Answer>(answer: Promise<Answer>) => {
    const startedAt = performance.now();
    return { answer: await answer, took: performance.now() - startedAt };
};

describe("a VM that a cut link separates from the owner", () => {
    it("tells callers at once what is not known, and refuses those that come later", async () => {
        const clock = new SystemClock();
        const stop = new AbortController();
        const waiters: (() => void)[] = [];
        const session = new VmSession({
            clients: {} as TaskWorkerClients,
            advice: undefined,
            clock,
            logger: new RecordingLogger(),
            leaseLength: 6_000,
            store: {} as PlatformStore & ChangeFeed,
            onHandOver: () => undefined,
            configuration: () => undefined,
            onConfiguration: () => undefined,
            closures: () => ({ halls: [], revision: 0 }),
            onClosures: () => undefined,
            isHallClosed: () => false,
            onOwnerChange: () => waiters.splice(0).forEach(wake => wake()),
        });
        await listenForOwners(address, channel => session.attach(channel), stop.signal);
        const link = await startNarrowLink(address, bytesPerSecond);
        const outcome = await dialVm(link.address, 1_000);
        const owner = outcome.kind === "open" ? outcome.channel : undefined;
        const beats = setInterval(() => owner?.send({ kind: "beat", mayLease: true }), 100);
        owner?.send({ kind: "welcome", epoch: 1 as Epoch, owner: "a" });
        void session.run(stop.signal);
        while (!session.hasOwner) {
            await clock.sleep(10);
        }
        const jobs = new JobService(
            {
                hasOwner: () => session.hasOwner,
                ask: body => session.ask(body),
                waitForOwner: wait => clock.sleep(wait),
            },
            clock,
            makeRequestLog(clock).log,
        );
        link.cut();
        const sent = await timed(jobs.submit(job, deadline));
        const later = await timed(jobs.submit(job, deadline));
        const read = await timed(jobs.state("0123456789abcdef" as never, undefined, deadline));
        clearInterval(beats);
        owner?.close();
        link.close();
        stop.abort();
        expect([sent.answer.kind, later.answer.kind, read.answer.kind]).toEqual(["uncertain", "refused", "refused"]);
        expect([sent.took < 4_000, later.took < 2_000, read.took < 2_000]).toEqual([true, true, true]);
    });
});
