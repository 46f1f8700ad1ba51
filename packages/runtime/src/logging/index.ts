/** Logs of numbered events through pino. */
import type { LogEvent } from "@pebbledale/core";
import { destination, pino } from "pino";

/** Writes events of the catalogue. */
export interface EventLogger {
    /** Writes one event with its particulars. */
    log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}

/** Makes a logger that writes JSON lines to standard error. */
export const createLogger = (program: string, name: string, level: string): EventLogger => {
    const logger = pino({ level, base: { program, name } }, destination({ dest: 2, sync: true }));
    return {
        log: (event, fields = {}) => logger[event.level]({ event: event.number, ...fields }, event.message),
    };
};
