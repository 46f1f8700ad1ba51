/** Abort signals that combine several sources and can be detached from them. */
import { setMaxListeners } from "node:events";

/** A signal that aborts with the first of its sources, until it is released. */
export interface LinkedSignal {
    readonly signal: AbortSignal;
    /** Removes the listeners from the sources and clears the timeout: the signal does not abort any more. */
    release(): void;
}

/** Creates a controller whose signal accepts any number of listeners without a warning. */
export const createAbortController = (): AbortController => {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
};

/**
 * Creates a signal that aborts with the first of the sources, or with a `TimeoutError` after `timeout` milliseconds unless what has
 * arrived by then ends the wait.
 *
 * It replaces `AbortSignal.any`, which on Node.js 20 leaks about 1 KB per call on a source that outlives the call.
 */
export const linkSignals = (sources: readonly (AbortSignal | undefined)[], timeout?: number): LinkedSignal => {
    const controller = createAbortController();
    const definedSources = sources.filter(source => source !== undefined);
    const listeners = definedSources.map(source => {
        const listener = () => controller.abort(source.reason);
        source.addEventListener("abort", listener, { once: true });
        return listener;
    });
    let isReleased = false;
    const abortUnlessReleased = () => {
        if (!isReleased) {
            controller.abort(new DOMException(`timed out after ${timeout} ms`, "TimeoutError"));
        }
    };
    // After a pause of this process due timers run before sockets are read: what has arrived by then is read first.
    const timer = timeout === undefined ? undefined : setTimeout(
        () => setImmediate(() => setImmediate(abortUnlessReleased)),
        Math.ceil(timeout),
    );
    const abortedSource = definedSources.find(source => source.aborted);
    if (abortedSource !== undefined) {
        controller.abort(abortedSource.reason);
    }
    return {
        signal: controller.signal,
        release: () => {
            isReleased = true;
            clearTimeout(timer);
            definedSources.forEach((source, index) => source.removeEventListener("abort", listeners[index]));
        },
    };
};

/** Runs `action` with a linked signal, which is released once the action settles. */
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

/** Resolves once the promise is fulfilled or the signal aborts; rejects if the promise rejects first. */
export const settledOrAborted = (promise: Promise<unknown>, signal: AbortSignal): Promise<void> =>
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
