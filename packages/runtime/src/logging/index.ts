/** Logs of numbered events through pino: JSON lines on standard output, bounded, never waited for. */
import { type Clock, type LogEvent, logEvents, type Milliseconds } from "@pebbledale/core";
import { destination, type DestinationStream, pino } from "pino";
import { LogRateLimiter } from "./log-rate-limiter.js";

export * from "./log-rate-limiter.js";

/** Writes events of the catalogue. */
export interface EventLogger {
    /** Writes one event with its particulars. */
    log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}

/** What a logger is made from. */
export interface LoggerOptions {
    readonly program: string;
    /** Name of the process in its cell. */
    readonly name: string;
    /** Least level that is written. */
    readonly level: string;
    readonly clock: Clock;
    /** Where lines go; standard output when it is left out. */
    readonly target?: DestinationStream;
}

const standardOutputDescriptor = 1;
/** Lines are gathered up to this many bytes before they are written: one write a line costs more than the line. */
const flushThresholdBytes = 4_096;
/** Gathered lines are written after this time at the latest. A process that is killed loses at most these. */
const flushInterval: Milliseconds = 250;
/** Most bytes that wait for a reader that does not read; lines beyond are dropped and counted. */
const maxBufferedBytes = 1_048_576;

/** Makes a logger that writes JSON lines. */
export const createLogger = ({ program, name, level, clock, target }: LoggerOptions): EventLogger => {
    const rateLimiter = new LogRateLimiter(clock);
    const logger = pino({ level, base: { program, name } }, target ?? openStandardOutput(rateLimiter));
    const write = (event: LogEvent, fields: Readonly<Record<string, unknown>>) =>
        logger[event.level]({ event: event.number, ...fields }, event.message);
    return {
        log: (event, fields = {}) => {
            if (rateLimiter.hasDropsToReport) {
                write(logEvents.linesLeftOut, { count: rateLimiter.takeDroppedCount() });
            }
            if (logger.isLevelEnabled(event.level) && rateLimiter.tryAcquire(event.level)) {
                write(event, fields);
            }
        },
    };
};

const openStandardOutput = (rateLimiter: LogRateLimiter): DestinationStream => {
    const stream = destination({
        dest: standardOutputDescriptor,
        sync: false,
        minLength: flushThresholdBytes,
        maxLength: maxBufferedBytes,
    });
    stream.on("drop", () => rateLimiter.recordDropped());
    return new BufferedLogStream(stream);
};

/** Has what was gathered written once the first line of it is so old: a process that logs nothing wakes for nothing. */
class BufferedLogStream implements DestinationStream {
    #isFlushScheduled = false;

    constructor(private readonly stream: ReturnType<typeof destination>) {}

    /** Takes one line. */
    write(line: string): void {
        this.stream.write(line);
        if (!this.#isFlushScheduled) {
            this.#isFlushScheduled = true;
            setTimeout(() => {
                this.#isFlushScheduled = false;
                this.stream.flush();
            }, flushInterval).unref();
        }
    }
}
