import { expect } from "earl";
import { describe, it } from "node:test";
import { CellJobState, RunEnd, type StartCommand, type WorkerRun } from "../../src/index.js";
import { CellDriver, idOf, makeJob, makeStep, makeWorker, running } from "../support/index.js";

const ready = (): CellDriver => {
    const driver = new CellDriver();
    driver.addWorkers(makeWorker("w1"));
    return driver;
};

const measured = (start: StartCommand, measure: number): WorkerRun => ({ ...running(start, 100), measure });

describe("a long-running task", () => {
    it("is restarted however it ends, and does not fail its job", () => {
        const driver = ready();
        const { id } = driver.cell.submit(makeJob("j", [makeStep({ isLasting: true })]))!;
        const ends = [RunEnd.Failed, RunEnd.Done, RunEnd.Failed, RunEnd.Failed, RunEnd.Lapsed];
        ends.forEach((end, index) => {
            driver.clock.advance(1_000);
            const [start] = driver.run().starts;
            expect<number>(start.run).toEqual(index + 1);
            driver.end(start, end);
        });
        driver.run();
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Running);
    });

    it("gets a reservation before all other work, however full the workers are", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep({ taskCount: 30 })]));
        const { starts } = driver.run();
        const big = { processorThousandths: 6_000, memoryMebibytes: 1, accelerators: 0 };
        driver.cell.submit(makeJob("l", [makeStep({ isLasting: true, size: big })]));
        // The runs end one after the other, and the job has as many waiting tasks that would take their place.
        let ended = 0;
        let started: readonly StartCommand[] = [];
        while (!started.some(start => start.task.startsWith("l/")) && ended < starts.length) {
            driver.clock.advance(100);
            driver.end(starts[ended++]);
            started = [...started, ...driver.run().starts];
        }
        // Two other tasks fit beside it; no more than those start before it does.
        expect(started.filter(start => start.task.startsWith("l/")).length).toEqual(1);
        expect(started.length <= 3).toEqual(true);
    });
});

describe("long-running tasks that do not all fit", () => {
    it("get as many reservations as fit", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep({ taskCount: 30 })]));
        const { starts } = driver.run();
        const big = { processorThousandths: 6_000, memoryMebibytes: 1, accelerators: 0 };
        driver.cell.submit(makeJob("l", [makeStep({ taskCount: 2, isLasting: true, size: big })]));
        let started: readonly StartCommand[] = [];
        for (const start of starts) {
            driver.clock.advance(100);
            driver.end(start);
            started = [...started, ...driver.run().starts];
        }
        expect(started.filter(start => start.task.startsWith("l/")).length).toEqual(1);
    });
});

describe("filler tasks", () => {
    const target = 100;
    const fillerAndServer = () => {
        const driver = ready();
        driver.cell.submit(makeJob("s", [makeStep({ isLasting: true, latencyTarget: target, image: "web" })]));
        driver.cell.submit(makeJob("f", [makeStep({ fills: true, isLasting: true })]));
        const { starts } = driver.run();
        driver.confirm(...starts);
        const server = starts.find(start => start.task.startsWith("s/"))!;
        const filler = starts.find(start => start.task.startsWith("f/"))!;
        return { driver, server, filler };
    };
    const pacesOf = (driver: CellDriver): number[] => {
        driver.decide();
        return driver.commit().paces.map(pace => pace.percent);
    };

    it("reserve no processors of a worker", () => {
        const driver = ready();
        const whole = { processorThousandths: 8_000, memoryMebibytes: 1, accelerators: 0 };
        driver.cell.submit(makeJob("f", [makeStep({ fills: true, size: whole })]));
        driver.cell.submit(makeJob("j", [makeStep({ size: whole })]));
        expect(driver.run().starts.length).toEqual(2);
    });

    it("are throttled while a serving task is near its latency target, and released in steps", () => {
        const { driver, server, filler } = fillerAndServer();
        const poll = (tail: number): number[] => {
            driver.clock.advance(500);
            driver.poll("w1", [measured(server, tail), running(filler)], [], false);
            return pacesOf(driver);
        };
        expect(poll(50)).toEqual([]);
        expect(poll(90)).toEqual([50]);
        expect(poll(95)).toEqual([25]);
        expect(poll(70)).toEqual([25]);
        expect(poll(40)).toEqual([35]);
    });

    it("are paused rather than throttled to a minimal pace", () => {
        const { driver, server, filler } = fillerAndServer();
        let last: number[] = [];
        for (let poll = 0; poll < 8; poll++) {
            driver.poll("w1", [measured(server, 200), running(filler)], [], false);
            last = pacesOf(driver);
        }
        expect(last).toEqual([0]);
    });
});

describe("a timed job", () => {
    const interval = 5_000;
    const timed = (occurrences: number) => {
        const driver = ready();
        const firstAt = driver.clock.now().getTime() + interval;
        const timetable = { occurrences, firstAt, interval };
        const { id } = driver.cell.submit(makeJob("t", [makeStep()], { timetable }))!;
        const at = (time: number): readonly StartCommand[] => {
            driver.clock.advance(time);
            driver.cell.tick();
            return driver.run().starts;
        };
        return { driver, id, at };
    };

    it("starts each occurrence when it is due and not before", () => {
        const { at } = timed(2);
        expect(at(interval - 100)).toEqual([]);
        expect(at(100).map(start => String(start.task))).toEqual(["t/0/0/0"]);
        expect(at(interval - 100)).toEqual([]);
        expect(at(100).map(start => String(start.task))).toEqual(["t/1/0/0"]);
    });

    it("is completed once all occurrences are, and the next owner knows which are", () => {
        const { driver, id, at } = timed(2);
        const [first] = at(interval);
        driver.end(first);
        driver.run();
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Running);
        driver.takeOver();
        driver.cell.updateWorkerEntries([makeWorker("w1")], []);
        driver.poll("w1");
        const [second] = at(interval);
        expect(String(second.task)).toEqual("t/1/0/0");
        driver.end(second);
        driver.run();
        expect(driver.cell.stateOf(id)).toEqual(CellJobState.Completed);
    });
});

describe("a degraded run", () => {
    it("gets a copy on another worker if its step allows copies, and the first one done stops the other", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep({ allowsCopies: true })]));
        const [first] = driver.run().starts;
        driver.confirm(first);
        driver.addWorkers(makeWorker("w2"));
        driver.cell.applySilence(idOf("w1"), driver.clock.monotonic() + 6_000);
        const [copy] = driver.run().starts;
        expect([String(copy.worker), Number(copy.run)]).toEqual(["w2", 2]);
        driver.end(copy);
        expect(driver.run().stops.map(stop => Number(stop.run))).toEqual([1]);
    });

    it("is moved from a slow worker if its step saves progress, and resumes from its checkpoint", () => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("w1"), makeWorker("w2"), makeWorker("w3"));
        driver.cell.submit(makeJob("j", [makeStep({ taskCount: 5, savesProgress: true, estimate: 2_000 })]));
        const { starts } = driver.run();
        driver.confirm(...starts);
        driver.clock.advance(1_000);
        driver.poll("w1", starts.map(start => running(start, 40, "forty")), [], false);
        driver.clock.advance(600);
        driver.poll("w1", starts.map(start => running(start, 41, "forty-one")), [], false);
        driver.cell.tick();
        const { stops } = driver.run();
        expect(stops.length).toEqual(5);
        starts.forEach(start => driver.end(start, RunEnd.Stopped, "forty-one"));
        const again = driver.run().starts;
        expect(again.every(start => start.worker !== idOf("w1") && start.checkpoint === "forty-one")).toEqual(true);
        expect(again.length).toEqual(5);
    });

    it("is moved from a worker that leaves before the run would end, if its step saves progress", () => {
        const driver = ready();
        driver.cell.submit(makeJob("j", [makeStep({ savesProgress: true, estimate: 8_000 })]));
        driver.cell.submit(makeJob("k", [makeStep({ estimate: 8_000 })]));
        const { starts } = driver.run();
        driver.confirm(...starts);
        driver.addWorkers(makeWorker("w2"));
        driver.cell.updateWorkerEntries([makeWorker("w1", { isDraining: true, leavesIn: 2_000 })], []);
        driver.cell.tick();
        expect(driver.run().stops.map(stop => String(stop.task))).toEqual(["j/0/0/0"]);
    });
});
