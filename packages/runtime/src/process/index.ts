/** Lifecycle of a process: settings file, stop signals, exit codes. */
import { formatFinding, logEvents, SystemClock } from "@pebbledale/core";
import { createAbortController } from "../abort/index.js";
import { createLogger, type EventLogger } from "../logging/index.js";
import {
    commonSchema,
    loadProgramSettings,
    type ProgramSchema,
    type ProgramValues,
} from "../program-settings/index.js";

/** Exit codes of the programs. */
export enum ExitCode {
    Done = 0,
    /** The program or command failed. */
    Failed = 1,
    /** The command line or a settings file is invalid. */
    Usage = 2,
}

/** Creates a signal that aborts on SIGTERM or SIGINT. */
export const createStopSignal = (): AbortSignal => {
    const controller = createAbortController();
    const stop = () => controller.abort(new Error("process received a stop signal"));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    return controller.signal;
};

/** Resolves when the signal aborts, at once if it has already. */
export const waitForAbort = (signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });

/** Prints a line for the operator. */
export type PrintLine = (line: string) => void;

/** A program that runs from a settings file. */
export interface Program<Schema extends ProgramSchema & typeof commonSchema> {
    readonly name: string;
    readonly schema: Schema;
    /** Runs the program; resolves once it has stopped. */
    readonly serve: (values: ProgramValues<Schema>, logger: EventLogger, print: PrintLine) => Promise<void>;
}

/** Runs a program from its settings file, or only validates the file. Findings are printed. */
export const runFromFile = async <Schema extends ProgramSchema & typeof commonSchema>(
    program: Program<Schema>,
    file: string,
    isCheckOnly: boolean,
    print: PrintLine,
): Promise<ExitCode> => {
    const settings = loadProgramSettings(program.schema, file);
    if (settings.isErr()) {
        settings.error.forEach(finding => print(formatFinding(finding)));
        return ExitCode.Usage;
    }
    if (isCheckOnly) {
        print(`${file}: no findings`);
        return ExitCode.Done;
    }
    const values = settings.value;
    const { "process.name": name, "process.log_level": level } = values as ProgramValues<typeof commonSchema>;
    const logger = createLogger({ program: program.name, name, level, clock: new SystemClock() });
    try {
        await program.serve(values, logger, print);
        logger.log(logEvents.processStopped);
        return ExitCode.Done;
    }
    catch (cause) {
        logger.log(logEvents.processFailed, { cause: cause instanceof Error ? cause.stack : String(cause) });
        return ExitCode.Failed;
    }
};
