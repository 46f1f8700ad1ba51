import { expect } from "earl";
import { describe, it } from "node:test";
import { formatTimeline, TimelineBuilder } from "../../src/index.js";

const job = "0123456789abcdef";
const lineOf = (time: number, name: string, event: number, fields: object): string =>
    JSON.stringify({ level: 30, time, program: "pebbledale-entry", name, event, ...fields, msg: `event ${event}` });

const timelineOf = (...lines: readonly string[]) => {
    const builder = new TimelineBuilder(job);
    lines.forEach((text, index) => builder.add("vm.log", index + 1, text));
    return builder.build();
};

describe("a job's timeline", () => {
    it("holds the lines of all VMs that concern the job, in the order of their times", () => {
        const { rows } = timelineOf(
            lineOf(30, "b", 4204, { task: `${job}/0/0/1`, run: 1 }),
            lineOf(10, "a", 4001, { job, queue: "q" }),
            lineOf(20, "a", 4103, { step: `${job}/0/0` }),
            lineOf(15, "a", 4001, { job: "fedcba9876543210" }),
            lineOf(16, "a", 4204, { task: `${job}0/0/0/1` }),
        );
        expect(rows.map(({ time, vm, event }) => [time, vm, event])).toEqual([[10, "a", 4001], [20, "a", 4103], [
            30,
            "b",
            4204,
        ]]);
        expect(rows[0].fields).toEqual({ queue: "q" });
    });

    it("joins successive lines of a VM about the same event", () => {
        const ordered = [0, 1, 2].map(index => lineOf(10 + index, "a", 4201, { job, first: `${job}/0/0/${index}` }));
        const { rows } = timelineOf(...ordered, lineOf(20, "a", 4204, { task: `${job}/0/0/0` }));
        expect(rows.map(({ event, lines }) => [event, lines])).toEqual([[4201, 3], [4204, 1]]);
    });

    it("counts lines that are no log lines, names the first ones, and reads lines with a prefix", () => {
        const timeline = timelineOf("started", "{\"time\": 1", "", "null", `vm-1 | ${lineOf(10, "a", 4001, { job })}`);
        expect([timeline.lines, timeline.unreadable, timeline.rows.length]).toEqual([4, 3, 1]);
        expect(timeline.examples.map(({ line }) => line)).toEqual([1, 2, 4]);
    });

    it("does not fail to print a line whose time is no date, and counts it as none", () => {
        const timeline = timelineOf(lineOf(1e300, "a", 4001, { job }));
        expect(formatTimeline(timeline).split("\n").length).toEqual(1);
        expect(timeline.unreadable).toEqual(1);
    });

    it("is printed with the time since its first line", () => {
        const text = formatTimeline(timelineOf(
            lineOf(1_000, "a", 4001, { job, queue: "q" }),
            lineOf(1_250, "a", 4004, { job, state: "completed" }),
        ));
        expect(text.split("\n").at(-1)).toEqual("00:00:01.250  250 ms  a   4004   1      event 4004  state=completed");
    });
});
