import { expect } from "earl";
import { describe, it } from "node:test";
import { CellDriver, idOf, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker } from "../support/index.js";

const policy = { decision: 50, eachWorker: 1, validity: 1_500 };

const advised = (): CellDriver => {
    const driver = new CellDriver(undefined, makeConfiguration(1, [makeQueue("work", { advice: policy })]));
    driver.addWorkers(makeWorker("w1"), makeWorker("w2"));
    driver.cell.submit(makeJob("j", [makeStep()]));
    return driver;
};

const permit = (worker: string, ticket: string) => ({ worker: idOf(worker), ticket });

describe("advice", () => {
    it("is asked for as soon as a job is taken, and its ticket goes with the start", () => {
        const driver = advised();
        const { questions, starts } = driver.run();
        expect(starts).toEqual([]);
        expect(questions.map(question => [question.step, question.workers.length])).toEqual([["j/0/0", 2]]);
        const answer = { kind: "advised" as const, permits: [permit("w2", "ticket-2")], validity: 1_500 };
        driver.cell.applyAdvice("j/0/0", questions[0].workers, answer);
        expect(driver.run().starts.map(start => [String(start.worker), start.ticket])).toEqual([["w2", "ticket-2"]]);
    });

    it("is asked for again for the permitted workers alone once a ticket ran out", () => {
        const driver = advised();
        const { questions } = driver.run();
        const answer = { kind: "advised" as const, permits: [permit("w2", "ticket-2")], validity: 1_500 };
        driver.cell.applyAdvice("j/0/0", questions[0].workers, answer);
        driver.clock.advance(1_500);
        const later = driver.run();
        expect(later.starts).toEqual([]);
        expect(later.questions.map(question => question.workers.map(String))).toEqual([["w2"]]);
    });

    it("does not send a start whose ticket ran out while its record was written", () => {
        const driver = advised();
        const { questions } = driver.run();
        const answer = { kind: "advised" as const, permits: [permit("w2", "ticket-2")], validity: 1_500 };
        driver.cell.applyAdvice("j/0/0", questions[0].workers, answer);
        driver.decide();
        driver.clock.advance(1_500);
        expect(driver.commit().starts).toEqual([]);
        expect(driver.run().questions.length).toEqual(1);
    });

    it("that had no answer is asked for again", () => {
        const driver = advised();
        const { questions } = driver.run();
        driver.cell.applyAdvice("j/0/0", questions[0].workers, undefined);
        driver.clock.advance(200);
        expect(driver.run().questions.length).toEqual(1);
    });
});

describe("advice on a gang", () => {
    const core = { processorThousandths: 4_000, memoryMebibytes: 1, accelerators: 0 };
    const waitingGang = () => {
        const driver = new CellDriver(undefined, makeConfiguration(1, [makeQueue("work", { advice: policy })]));
        driver.addWorkers(makeWorker("w1"), makeWorker("w2"));
        const permits = [permit("w1", "t1"), permit("w2", "t2")];
        const answer = (step: string) =>
            driver.cell.applyAdvice(step, [idOf("w1"), idOf("w2")], { kind: "advised", permits, validity: 1_500 });
        driver.cell.submit(makeJob("holder", [makeStep({ size: core, estimate: 60_000 })]));
        driver.run();
        answer("holder/0/0");
        const [holder] = driver.run().starts;
        driver.cell.submit(makeJob("gang", [makeStep({ taskCount: 4, isGang: true, size: core })]));
        driver.run();
        answer("gang/0/0");
        driver.run();
        return { driver, holder };
    };

    it("is not asked for again and again while there is no room for all of it", () => {
        const { driver } = waitingGang();
        let questions = 0;
        for (let second = 0; second < 20; second++) {
            driver.clock.advance(1_000);
            questions += driver.run().questions.length;
        }
        expect(questions).toEqual(0);
    });

    it("is asked for once there is room for all of it", () => {
        const { driver, holder } = waitingGang();
        driver.clock.advance(5_000);
        driver.run();
        driver.end(holder);
        expect(driver.run().questions.map(({ step, workers }) => [step, workers.length])).toEqual([["gang/0/0", 2]]);
    });
});

describe("the share of workers that may run a queue's steps", () => {
    it("is not learned from workers that were known to be permitted", () => {
        const driver = new CellDriver(undefined, makeConfiguration(1, [makeQueue("work", { advice: policy })]));
        const names = Array.from({ length: 100 }, (_, index) => `w${index}`);
        driver.addWorkers(...names.map(name => makeWorker(name)));
        const whole = { processorThousandths: 8_000, memoryMebibytes: 1, accelerators: 0 };
        const firstQuestion = (job: string): number => {
            driver.cell.submit(makeJob(job, [makeStep({ taskCount: 8, size: whole })]));
            return driver.run().questions[0].workers.length;
        };
        const before = firstQuestion("before");
        // Tickets of one and the same permitted worker are renewed time and again.
        for (let round = 0; round < 20; round++) {
            driver.cell.applyAdvice("before/0/0", [idOf("w0")], {
                kind: "advised",
                permits: [permit("w0", `t${round}`)],
                validity: 1,
            });
            driver.clock.advance(200);
            driver.run();
        }
        expect(firstQuestion("after") >= before / 2).toEqual(true);
    });
});
