import { logEvents, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createLogger, maxLineLength, maxLinesPerPeriod, rateLimitPeriod } from "../../src/index.js";

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

    /* Guards against logs of unbounded volume: a line once held all 60,000 labels of one entry. */
    for (
        const [what, value] of [
            ["a long text", "s".repeat(500_000)],
            ["many texts", Array.from({ length: 60_000 }, (_, index) => `label-${index}`)],
            ["many long texts", Array.from({ length: 100 }, () => "s".repeat(10_000))],
            ["many names", Object.fromEntries(Array.from({ length: 20_000 }, (_, index) => [`name-${index}`, index]))],
            ["long names", { ["n".repeat(100_000)]: { ["m".repeat(100_000)]: 1 } }],
            ["names of inherited properties", JSON.parse(`{"__proto__":"${"s".repeat(100_000)}"}`) as unknown],
        ] as const
    ) {
        it(`shortens a line with ${what}, and keeps what tells which event it is`, () => {
            const texts: string[] = [];
            const target = { write: (line: string) => void texts.push(line) };
            const logger = createLogger({
                program: "test",
                name: "vm-1",
                level: "info",
                clock: new ManualClock(),
                target,
            });
            logger.log(logEvents.workerListed, { worker: "w1", value, last: 7 });
            expect(texts.map(({ length }) => length <= maxLineLength)).toEqual([true]);
            const { program, name, event, worker, last, msg } = JSON.parse(texts[0]) as Record<string, unknown>;
            expect([program, name, event, worker, last, msg]).toEqual([
                "test",
                "vm-1",
                logEvents.workerListed.number,
                "w1",
                7,
                logEvents.workerListed.message,
            ]);
        });
    }

    it("writes warnings while lines of lower levels are dropped", () => {
        const { lines, logger } = createTestLogger();
        for (let index = 0; index < maxLinesPerPeriod * 2; index++) {
            logger.log(logEvents.jobAccepted, { job: `j${index}` });
        }
        logger.log(logEvents.runLost, { task: "t" });
        expect(lines.at(-1)?.event).toEqual(logEvents.runLost.number);
    });
});
