/** A program's life: signals become an abort signal, a failure becomes an exit code. */
import { logEvents } from "@pebbledale/core";
import type { EventLogger } from "../logging/index.js";

/** Exit codes of the programs. */
export enum ExitCode {
    Done = 0,
    /** What was asked for failed. */
    Failed = 1,
    /** The command line or a settings file is wrong. */
    Usage = 2,
}

/** An abort signal that fires when the process is asked to stop. */
export const stopSignal = (): AbortSignal => {
    const controller = new AbortController();
    const stop = () => controller.abort(new Error("the process was asked to stop"));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    return controller.signal;
};

/** Resolves when a signal fires. */
export const untilAborted = (signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });

/** Runs a program's body between its first and last event; resolves to the exit code. */
export const runProgram = async (logger: EventLogger, body: () => Promise<void>): Promise<ExitCode> => {
    try {
        await body();
        logger.log(logEvents.processStopped);
        return ExitCode.Done;
    }
    catch (cause) {
        logger.log(logEvents.processFailed, { cause: cause instanceof Error ? cause.stack : String(cause) });
        return ExitCode.Failed;
    }
};
