import { expect } from "earl";
import { getEventListeners } from "node:events";
import { stat } from "node:fs";
import { describe, it } from "node:test";
import { createAbortController, linkSignals, withLinkedSignal } from "../../src/index.js";

describe("linked signals", () => {
    it("aborts with any source, with its reason", () => {
        const [first, second] = [createAbortController(), createAbortController()];
        const { signal } = linkSignals([first.signal, undefined, second.signal]);
        second.abort("the second");
        expect([signal.aborted, signal.reason]).toEqual([true, "the second"]);
    });

    it("is aborted from the start if a source is", () => {
        const source = createAbortController();
        source.abort("before");
        expect(linkSignals([source.signal]).signal.reason).toEqual("before");
    });

    it("leaves no listeners on a source that outlives it", async () => {
        const source = createAbortController();
        for (let index = 0; index < 100; index++) {
            await withLinkedSignal([source.signal], 60_000, async signal => {
                signal.addEventListener("abort", () => undefined);
            });
        }
        await withLinkedSignal([source.signal], 60_000, () => Promise.reject(new Error("failed"))).catch(() =>
            undefined
        );
        expect(getEventListeners(source.signal, "abort").length).toEqual(0);
    });

    it("does not abort after its release", () => {
        const source = createAbortController();
        const linked = linkSignals([source.signal]);
        linked.release();
        source.abort();
        expect(linked.signal.aborted).toEqual(false);
    });

    it("aborts with a TimeoutError at its timeout", async () => {
        const failure = await withLinkedSignal(
            [],
            1,
            signal => new Promise((_resolve, reject) => signal.addEventListener("abort", () => reject(signal.reason))),
        )
            .catch((cause: Error) => cause);
        expect((failure as Error).name).toEqual("TimeoutError");
    });

    /* Guards against answers that are given up unread: after a pause of the process, due timers run before sockets are read. */
    it("does not time out an action whose result arrived while the process paused", async () => {
        // A callback of setImmediate is followed by timers.
        await new Promise(resolve => setImmediate(resolve));
        const answered = withLinkedSignal([], 20, signal =>
            new Promise((resolve, reject) => {
                signal.addEventListener("abort", () => reject(signal.reason as Error));
                stat(".", () => resolve("answered"));
            }));
        const pausedUntil = performance.now() + 100;
        while (performance.now() < pausedUntil) {
            // The process is busy.
        }
        expect(await answered).toEqual("answered");
    });
});
