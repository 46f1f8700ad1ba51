import { logEvents, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createLogger, maxLinesPerPeriod, rateLimitPeriod } from "../../src/index.js";

const createTestLogger = () => {
    const clock = new ManualClock();
    const lines: { event: number; level: number; count?: number; }[] = [];
    const target = { write: (line: string) => void lines.push(JSON.parse(line) as (typeof lines)[number]) };
    const logger = createLogger({ program: "test", name: "vm-1", level: "info", clock, target });
    return { clock, lines, logger };
};

describe("logger", () => {
    it("writes the event's number and its fields", () => {
        const { lines, logger } = createTestLogger();
        logger.log(logEvents.jobAccepted, { job: "j1" });
        expect(lines.length).toEqual(1);
        expect(lines[0]).toEqual({ ...lines[0], event: logEvents.jobAccepted.number, job: "j1" } as never);
    });

    it("limits the lines per period, and reports how many it dropped", () => {
        const { clock, lines, logger } = createTestLogger();
        for (let index = 0; index < maxLinesPerPeriod + 300; index++) {
            logger.log(logEvents.jobAccepted, { job: `j${index}` });
        }
        expect(lines.length).toEqual(maxLinesPerPeriod);
        clock.advance(rateLimitPeriod);
        logger.log(logEvents.jobAccepted, { job: "later" });
        expect(lines.slice(maxLinesPerPeriod).map(line => [line.event, line.count])).toEqual([
            [logEvents.linesDropped.number, 300],
            [logEvents.jobAccepted.number, undefined],
        ]);
    });

    it("writes warnings while lines of lower levels are dropped", () => {
        const { lines, logger } = createTestLogger();
        for (let index = 0; index < maxLinesPerPeriod * 2; index++) {
            logger.log(logEvents.jobAccepted, { job: `j${index}` });
        }
        logger.log(logEvents.runLost, { task: "t" });
        expect(lines.at(-1)?.event).toEqual(logEvents.runLost.number);
    });
});
