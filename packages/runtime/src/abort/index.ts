/**
 * Abort signals that are joined and let go of again.
 *
 * `AbortSignal.any` over a signal that lives as long as the process keeps about 1 KB a call for good on Node.js 20 once
 * someone listens; at 30 heartbeats a second that is gigabytes a day. A linked signal is let go of when its work is done.
 */
import { setMaxListeners } from "node:events";

/** A signal that fires with any of its sources, until it is released. */
export interface LinkedSignal {
    readonly signal: AbortSignal;
    /** Lets go of the sources. The signal does not fire any more. */
    release(): void;
}

/** Makes a controller whose signal many may listen to at once. */
export const createAbortController = (): AbortController => {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
};

/** Joins signals. `limit`: fires by itself after this many milliseconds, with a `TimeoutError`. */
export const linkSignals = (sources: readonly (AbortSignal | undefined)[], timeout?: number): LinkedSignal => {
    const controller = createAbortController();
    const definedSources = sources.filter(source => source !== undefined);
    const listeners = definedSources.map(source => {
        const listener = () => controller.abort(source.reason);
        source.addEventListener("abort", listener, { once: true });
        return listener;
    });
    const timer = timeout === undefined ? undefined : setTimeout(
        () => controller.abort(new DOMException(`no end within ${timeout} ms`, "TimeoutError")),
        Math.ceil(timeout),
    );
    const abortedSource = definedSources.find(source => source.aborted);
    if (abortedSource !== undefined) {
        controller.abort(abortedSource.reason);
    }
    return {
        signal: controller.signal,
        release: () => {
            clearTimeout(timer);
            definedSources.forEach((source, index) => source.removeEventListener("abort", listeners[index]));
        },
    };
};

/** Does something under a linked signal and lets go of the sources when it is done. */
export const withLinkedSignal = async <Value>(
    sources: readonly (AbortSignal | undefined)[],
    timeout: number | undefined,
    action: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> => {
    const linked = linkSignals(sources, timeout);
    try {
        return await action(linked.signal);
    }
    finally {
        linked.release();
    }
};

/** Resolves once a promise has settled well or a signal fires; rejects as the promise does. */
export const unlessAborted = (promise: Promise<unknown>, signal: AbortSignal): Promise<void> =>
    withLinkedSignal([signal], undefined, async linked => {
        await Promise.race([
            promise,
            new Promise<void>(resolve => {
                if (linked.aborted) {
                    resolve();
                }
                linked.addEventListener("abort", () => resolve(), { once: true });
            }),
        ]);
    });
