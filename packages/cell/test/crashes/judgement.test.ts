import { jobId, logEvents, type Milliseconds, type TaskAddress } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellJobState } from "../../src/index.js";
import { CrashingCell, makeJob, makeStep, type TaskBehaviour } from "../support/index.js";

const innocent: TaskBehaviour = { crashesAfter: undefined, duration: 2_000 };
const behaviourOf = (crashesAfter: Milliseconds) => (task: TaskAddress): TaskBehaviour =>
    task.startsWith("bad") ? { crashesAfter, duration: crashesAfter + 1_000 } : innocent;

const stateOf = (cell: CrashingCell, job: string): CellJobState | undefined => cell.driver.cell.stateOf(jobId(job));

describe("a task whose worker was lost", () => {
    it("is retried in isolation", () => {
        const cell = new CrashingCell(8, behaviourOf(10));
        cell.driver.cell.submit(makeJob("bad", [makeStep()]));
        cell.advance(3_500);
        const [, trial] = cell.startsOf("bad/0/0/0");
        cell.driver.cell.submit(makeJob("good", [makeStep({ taskCount: 16 })]));
        cell.advance(100);
        const beside = cell.starts.filter(start => start.task.startsWith("good") && start.worker === trial.worker);
        expect(beside).toEqual([]);
    });

    it("is not given up when it was lost twice beside a task at fault", () => {
        const cell = new CrashingCell(2, behaviourOf(10));
        cell.driver.cell.submit(makeJob("good", [makeStep({ taskCount: 6 })]));
        cell.driver.cell.submit(makeJob("bad", [makeStep({ taskCount: 6 })]));
        cell.advance(60_000);
        expect(stateOf(cell, "good")).toEqual(CellJobState.Completed);
        expect(stateOf(cell, "bad")).toEqual(CellJobState.Failed);
    });

    it("is not given up after four crashes at its start that are part of a series", () => {
        const cell = new CrashingCell(24, behaviourOf(10));
        cell.driver.cell.submit(makeJob("good", [makeStep()]));
        const starts = () => cell.startsOf("good/0/0/0");
        let crashes = 0;
        for (let passed = 0; passed < 40_000; passed += 50) {
            if (passed % 1_000 === 0) {
                cell.crashOthers(starts().at(-1)?.worker, 2);
            }
            cell.advance(50);
            if (starts().length > crashes && crashes < 4) {
                crashes++;
                cell.crashWorker(starts().at(-1)!.worker);
            }
        }
        expect([starts().length, stateOf(cell, "good")]).toEqual([5, CellJobState.Completed]);
    });

    it("is given up after five crashes when these come late in its runs", () => {
        const cell = new CrashingCell(8, behaviourOf(1_500));
        cell.driver.cell.submit(makeJob("bad", [makeStep()]));
        cell.advance(60_000);
        expect(cell.startsOf("bad/0/0/0").length).toEqual(5);
        expect(stateOf(cell, "bad")).toEqual(CellJobState.Failed);
    });

    it("is not given up because of silences: it waits for an explanation and then continues", () => {
        const cell = new CrashingCell(8, behaviourOf(10));
        cell.driver.cell.submit(makeJob("good", [makeStep()]));
        for (let silences = 0; silences < 6; silences++) {
            cell.advance(50);
            const at = cell.starts.at(-1)!.worker;
            cell.disconnectWorker(at, 40_000);
            cell.advance(7_000);
        }
        expect(stateOf(cell, "good")).toEqual(CellJobState.Running);
        cell.advance(90_000);
        expect(stateOf(cell, "good")).toEqual(CellJobState.Completed);
    });

    it("ends its job only once when the explanation of one silence convicts two of its tasks", () => {
        const cell = new CrashingCell(8, behaviourOf(10));
        cell.driver.cell.submit(makeJob("bad", [makeStep({ taskCount: 2 })]));
        cell.advance(40_000);
        const ended = cell.driver.logged.filter(({ event }) => event === logEvents.jobEnded);
        expect(ended.length).toEqual(1);
        expect(cell.driver.logged.filter(({ event }) => event === logEvents.taskGivenUp).length).toEqual(1);
    });

    it("is given up also if it is a long-running task, whose failed runs are not limited", () => {
        const cell = new CrashingCell(8, behaviourOf(10));
        cell.driver.cell.submit(makeJob("bad", [makeStep({ isLasting: true })]));
        cell.advance(60_000);
        expect(cell.startsOf("bad/0/0/0").length).toEqual(3);
        expect(stateOf(cell, "bad")).toEqual(CellJobState.Failed);
    });

    it("keeps its strikes from one occurrence of its job to the next", () => {
        const cell = new CrashingCell(8, behaviourOf(10));
        const timetable = { occurrences: 20, firstAt: cell.clock.now().getTime(), interval: 4_000 };
        cell.driver.cell.submit(makeJob("bad", [makeStep()], { timetable }));
        cell.advance(80_000);
        expect(cell.starts.filter(start => start.task.startsWith("bad")).length <= 5).toEqual(true);
        expect(stateOf(cell, "bad")).toEqual(CellJobState.Failed);
    });

    it("takes down at most a tenth of the workers at a time once it has crashed one, however many tasks are at fault", () => {
        const workers = 30;
        const cell = new CrashingCell(workers, behaviourOf(10));
        for (let job = 0; job < 20; job++) {
            cell.driver.cell.submit(makeJob(`bad${job}`, [makeStep()]));
        }
        let mostDown = 0;
        for (let waited = 0; waited < 120_000; waited += 50) {
            cell.advance(50);
            const repeated = cell.crashes.filter(({ by, at, backAt }) =>
                backAt > cell.clock.monotonic()
                && cell.crashes.some(other => other.tasks.includes(by!) && other.at < at)
            );
            mostDown = Math.max(mostDown, repeated.length);
        }
        expect(mostDown <= workers / 10).toEqual(true);
        expect(Array.from({ length: 20 }, (_, job) => stateOf(cell, `bad${job}`)).every(isFailed)).toEqual(true);
    });
});

const isFailed = (state: CellJobState | undefined): boolean => state === CellJobState.Failed;
