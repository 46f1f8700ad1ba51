import { ManualClock, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { AdviceDispatcher } from "../../src/index.js";

const make = (...names: string[]) => {
    const asked: { vm: string; question: number; step: string; }[] = [];
    const clock = new ManualClock();
    const unwanted = new Set<string>();
    const dropped: string[] = [];
    const questioner = {
        isAdviceWanted: (step: string) => !unwanted.has(step),
        dropAdvice: (step: string) => void dropped.push(step),
    };
    const dispatcher = new AdviceDispatcher(() => clock.monotonic(), questioner);
    names.forEach(vm => dispatcher.join(vm, (question, { step }) => asked.push({ vm, question, step })));
    const ask = (step: string, duration: number, urgency = 1) =>
        dispatcher.ask({
            step,
            workers: [workerId("w")],
            urgency,
            policy: { decision: duration, eachWorker: 0, validity: 1_500 },
        });
    return { dispatcher, asked, ask, clock, unwanted, dropped };
};

describe("questions to the advice service", () => {
    it("are spread: a quick one never waits behind a slow one while there are other VMs", () => {
        const { asked, ask } = make("a", "b", "c");
        ["s1", "s2", "s3", "s4"].forEach(step => ask(step, 800));
        ask("quick", 10, 0);
        const vmOfQuick = asked.find(entry => entry.step === "quick")?.vm;
        const slow = asked.filter(entry => entry.step !== "quick");
        expect(slow.length).toEqual(2);
        expect(slow.some(entry => entry.vm === vmOfQuick)).toEqual(false);
    });

    it("go on with one VM alone", () => {
        const { dispatcher, asked, ask } = make("a");
        ask("slow", 800);
        ask("next", 800);
        expect(asked.map(entry => entry.step)).toEqual(["slow"]);
        dispatcher.complete(asked[0].question);
        expect(asked.map(entry => entry.step)).toEqual(["slow", "next"]);
    });

    it("of a VM that is gone are asked by another", () => {
        const { dispatcher, asked, ask } = make("a", "b");
        ask("step", 10);
        dispatcher.leave(asked[0].vm);
        expect(asked.length).toEqual(2);
        expect(asked[1].vm === asked[0].vm).toEqual(false);
        expect(dispatcher.complete(asked[1].question)?.step).toEqual("step");
    });

    it("wait in the order of their urgency", () => {
        const { dispatcher, asked, ask } = make("a");
        ask("first", 800, 2);
        ask("patient", 800, 2);
        ask("urgent", 800, 0);
        dispatcher.complete(asked[0].question);
        expect(asked[1].step).toEqual("urgent");
    });

    it("are not put off for ever by urgent ones that keep coming", () => {
        const { dispatcher, asked, ask, clock } = make("a");
        ask("first", 800, 1);
        ask("patient", 800, 6);
        for (let next = 0; next < 10 && !asked.some(entry => entry.step === "patient"); next++) {
            ask(`urgent-${next}`, 800, 1);
            clock.advance(800);
            dispatcher.complete(asked.at(-1)!.question);
        }
        expect(asked.some(entry => entry.step === "patient")).toEqual(true);
    });

    it("are dropped once their answers are of no use", () => {
        const { dispatcher, asked, ask, unwanted, dropped } = make("a");
        ["first", "cancelled", "next"].forEach(step => ask(step, 800));
        unwanted.add("cancelled");
        dispatcher.complete(asked[0].question);
        expect(asked.map(entry => entry.step)).toEqual(["first", "next"]);
        expect(dropped).toEqual(["cancelled"]);
    });
});

const workersOf = (count: number) => Array.from({ length: count }, (_, index) => workerId(`w${index}`));

/** As many VMs, and what each was asked. */
const makeMany = (vms: number) => {
    const asked: { vm: string; question: number; workers: number; duration: number; }[] = [];
    const questioner = { isAdviceWanted: () => true, dropAdvice: () => undefined };
    const dispatcher = new AdviceDispatcher(() => 0, questioner);
    for (let index = 0; index < vms; index++) {
        const vm = `vm${index}`;
        dispatcher.join(
            vm,
            (question, { workers }, duration) => asked.push({ vm, question, workers: workers.length, duration }),
        );
    }
    return { dispatcher, asked };
};

describe("a slow question about many workers", () => {
    const policy = { decision: 600, eachWorker: 8.6, validity: 1_500 };
    const question = (workers: number) => ({ step: "s", workers: workersOf(workers), urgency: 1, policy });

    it("goes in parts to half of the VMs that are free", () => {
        const { dispatcher, asked } = makeMany(40);
        dispatcher.ask(question(240));
        expect(new Set(asked.map(({ vm }) => vm)).size).toEqual(asked.length);
        expect(asked.length).toEqual(10);
        expect(asked.reduce((sum, { workers }) => sum + workers, 0)).toEqual(240);
        // One VM alone would take 600 ms and 8.6 ms a worker for each 100 of them, one after the other.
        expect(Math.max(...asked.map(({ duration }) => duration))).toBeLessThan(850);
    });

    it("names at least so many workers a part that naming them is worth a call", () => {
        const { dispatcher, asked } = makeMany(90);
        dispatcher.ask(question(50));
        expect(asked.map(({ workers }) => workers)).toEqual([24, 24, 2]);
    });

    it("waits with what no VM is free for, and goes on as answers come", () => {
        const { dispatcher, asked } = makeMany(4);
        dispatcher.ask(question(240));
        expect(asked.map(({ workers }) => workers)).toEqual([100, 100]);
        expect(dispatcher.complete(asked[0].question)?.workers.length).toEqual(100);
        expect(asked.map(({ workers }) => workers)).toEqual([100, 100, 40]);
    });

    it("keeps its parts when a VM that had one is gone", () => {
        const { dispatcher, asked } = makeMany(6);
        dispatcher.ask(question(60));
        const parts = asked.length;
        dispatcher.leave(asked[0].vm);
        expect(asked.length).toEqual(parts + 1);
        expect(asked.at(-1)?.workers).toEqual(asked[0].workers);
        expect(dispatcher.complete(asked[0].question)).toEqual(undefined);
    });
});

describe("a thousand questions that wait, as after a change of owner", () => {
    const policy = { decision: 16, eachWorker: 0.23, validity: 1_500 };

    it("are looked at only as far as VMs are free: an answer costs no look at all of them", () => {
        let looks = 0;
        const questioner = { isAdviceWanted: () => ++looks > 0, dropAdvice: () => undefined };
        const dispatcher = new AdviceDispatcher(() => 0, questioner);
        const asked: number[] = [];
        for (let index = 0; index < 20; index++) {
            dispatcher.join(`vm${index}`, question => asked.push(question));
        }
        for (let index = 0; index < 1_000; index++) {
            dispatcher.ask({ step: `s${index}`, workers: workersOf(12), urgency: 0, policy });
        }
        expect(asked.length).toEqual(160);
        looks = 0;
        for (let answered = 0; answered < 100; answered++) {
            dispatcher.complete(asked[answered]);
        }
        expect(asked.length).toEqual(260);
        expect(looks).toEqual(100);
    });
});
