/** Logging of catalogue events through pino: JSON lines on standard output, rate-limited and written asynchronously. */
import { type Clock, type LogEvent, logEvents, type Milliseconds } from "@pebbledale/core";
import { destination, type DestinationStream, pino } from "pino";
import { shortenLine } from "./line-shortener.js";
import { LogRateLimiter } from "./log-rate-limiter.js";

export * from "./line-shortener.js";
export * from "./log-rate-limiter.js";

/** Writes events of the catalogue as log lines. */
export interface EventLogger {
    log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
    readonly program: string;
    /** Name of the process, unique in its cell. */
    readonly name: string;
    /** Minimum level that is written. */
    readonly level: string;
    readonly clock: Clock;
    /** Destination of the lines; standard output by default. */
    readonly target?: DestinationStream;
}

const standardOutputDescriptor = 1;
/** Lines are buffered up to this size, because a write per line costs more than the line itself. */
const flushThresholdBytes = 4_096;
/** Maximum time that a line stays buffered; a killed process loses the lines of this period at most. */
const flushInterval: Milliseconds = 250;
/** Maximum size of the buffer while the reader of standard output is stalled; further lines are dropped and counted. */
const maxBufferedBytes = 1_048_576;

/** Creates a logger. Lines over the rate limit are dropped, and their number is logged in the next period; long lines are shortened. */
export const createLogger = ({ program, name, level, clock, target }: LoggerOptions): EventLogger => {
    const rateLimiter = new LogRateLimiter(clock);
    const output = target ?? openStandardOutput(rateLimiter);
    const stream = { write: (line: string) => output.write(shortenLine(line)) };
    const logger = pino({ level, base: { program, name } }, stream);
    const write = (event: LogEvent, fields: Readonly<Record<string, unknown>>) =>
        logger[event.level]({ event: event.number, ...fields }, event.message);
    return {
        log: (event, fields = {}) => {
            if (rateLimiter.hasDropsToReport) {
                write(logEvents.linesDropped, { count: rateLimiter.takeDroppedCount() });
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

/** Flushes the buffer {@link flushInterval} after its first line, so that an idle process needs no periodic timer. */
class BufferedLogStream implements DestinationStream {
    #isFlushScheduled = false;

    constructor(private readonly stream: ReturnType<typeof destination>) {}

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
