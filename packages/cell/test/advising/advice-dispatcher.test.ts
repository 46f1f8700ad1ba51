import { ManualClock, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { AdviceDispatcher } from "../../src/index.js";

const makeDispatcher = (...names: string[]) => {
    const asked: { vm: string; question: number; step: string; }[] = [];
    const clock = new ManualClock();
    const unwanted = new Set<string>();
    const dropped: string[] = [];
    const requester = {
        isAdviceWanted: (step: string) => !unwanted.has(step),
        dropAdvice: (step: string) => void dropped.push(step),
    };
    const dispatcher = new AdviceDispatcher(() => clock.monotonic(), requester);
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
    it("are distributed so that a quick one never waits behind a slow one while there are other VMs", () => {
        const { asked, ask } = makeDispatcher("a", "b", "c");
        ["s1", "s2", "s3", "s4"].forEach(step => ask(step, 800));
        ask("quick", 10, 0);
        const vmOfQuick = asked.find(entry => entry.step === "quick")?.vm;
        const slow = asked.filter(entry => entry.step !== "quick");
        expect(slow.length).toEqual(2);
        expect(slow.some(entry => entry.vm === vmOfQuick)).toEqual(false);
    });

    it("are sent one after the other with a single VM", () => {
        const { dispatcher, asked, ask } = makeDispatcher("a");
        ask("slow", 800);
        ask("next", 800);
        expect(asked.map(entry => entry.step)).toEqual(["slow"]);
        dispatcher.complete(asked[0].question);
        expect(asked.map(entry => entry.step)).toEqual(["slow", "next"]);
    });

    it("are sent to another VM when theirs is gone", () => {
        const { dispatcher, asked, ask } = makeDispatcher("a", "b");
        ask("step", 10);
        dispatcher.leave(asked[0].vm);
        expect(asked.length).toEqual(2);
        expect(asked[1].vm === asked[0].vm).toEqual(false);
        expect(dispatcher.complete(asked[1].question)?.step).toEqual("step");
    });

    it("are sent in the order of their urgency", () => {
        const { dispatcher, asked, ask } = makeDispatcher("a");
        ask("first", 800, 2);
        ask("deferrable", 800, 2);
        ask("urgent", 800, 0);
        dispatcher.complete(asked[0].question);
        expect(asked[1].step).toEqual("urgent");
    });

    it("are not starved by more urgent ones that keep arriving", () => {
        const { dispatcher, asked, ask, clock } = makeDispatcher("a");
        ask("first", 800, 1);
        ask("deferrable", 800, 6);
        for (let next = 0; next < 10 && !asked.some(entry => entry.step === "deferrable"); next++) {
            ask(`urgent-${next}`, 800, 1);
            clock.advance(800);
            dispatcher.complete(asked.at(-1)!.question);
        }
        expect(asked.some(entry => entry.step === "deferrable")).toEqual(true);
    });

    it("are discarded once their answers are of no use", () => {
        const { dispatcher, asked, ask, unwanted, dropped } = makeDispatcher("a");
        ["first", "cancelled", "next"].forEach(step => ask(step, 800));
        unwanted.add("cancelled");
        dispatcher.complete(asked[0].question);
        expect(asked.map(entry => entry.step)).toEqual(["first", "next"]);
        expect(dropped).toEqual(["cancelled"]);
    });
});

const workersOf = (count: number) => Array.from({ length: count }, (_, index) => workerId(`w${index}`));

/** A dispatcher with this many VMs, and the questions that each was sent. */
const makeVms = (vms: number) => {
    const asked: { vm: string; question: number; workers: number; duration: number; }[] = [];
    const requester = { isAdviceWanted: () => true, dropAdvice: () => undefined };
    const dispatcher = new AdviceDispatcher(() => 0, requester);
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

    it("is split over half of the free VMs", () => {
        const { dispatcher, asked } = makeVms(40);
        dispatcher.ask(question(240));
        expect(new Set(asked.map(({ vm }) => vm)).size).toEqual(asked.length);
        expect(asked.length).toEqual(10);
        expect(asked.reduce((sum, { workers }) => sum + workers, 0)).toEqual(240);
        // A single VM would need three calls in a row of 600 ms each, plus 8.6 ms for each worker.
        expect(Math.max(...asked.map(({ duration }) => duration))).toBeLessThan(850);
    });

    it("is not split into parts too small to be worth a call", () => {
        const { dispatcher, asked } = makeVms(90);
        dispatcher.ask(question(50));
        expect(asked.map(({ workers }) => workers)).toEqual([24, 24, 2]);
    });

    it("waits with the remainder until VMs are free", () => {
        const { dispatcher, asked } = makeVms(4);
        dispatcher.ask(question(240));
        expect(asked.map(({ workers }) => workers)).toEqual([100, 100]);
        expect(dispatcher.complete(asked[0].question)?.workers.length).toEqual(100);
        expect(asked.map(({ workers }) => workers)).toEqual([100, 100, 40]);
    });

    it("has a part sent to another VM when its VM is gone", () => {
        const { dispatcher, asked } = makeVms(6);
        dispatcher.ask(question(60));
        const parts = asked.length;
        dispatcher.leave(asked[0].vm);
        expect(asked.length).toEqual(parts + 1);
        expect(asked.at(-1)?.workers).toEqual(asked[0].workers);
        expect(dispatcher.complete(asked[0].question)).toEqual(undefined);
    });
});

describe("a thousand waiting questions, as after a change of owner", () => {
    const policy = { decision: 16, eachWorker: 0.23, validity: 1_500 };

    it("are examined only as far as VMs are free, not all of them for each answer", () => {
        let checks = 0;
        const requester = { isAdviceWanted: () => ++checks > 0, dropAdvice: () => undefined };
        const dispatcher = new AdviceDispatcher(() => 0, requester);
        const asked: number[] = [];
        for (let index = 0; index < 20; index++) {
            dispatcher.join(`vm${index}`, question => asked.push(question));
        }
        for (let index = 0; index < 1_000; index++) {
            dispatcher.ask({ step: `s${index}`, workers: workersOf(12), urgency: 0, policy });
        }
        expect(asked.length).toEqual(160);
        checks = 0;
        for (let answered = 0; answered < 100; answered++) {
            dispatcher.complete(asked[answered]);
        }
        expect(asked.length).toEqual(260);
        expect(checks).toEqual(100);
    });
});

describe("questions through VMs of two regions", () => {
    const answerAfter = (delays: Readonly<Record<string, number>>, failing = "none") => {
        const clock = new ManualClock();
        const requester = { isAdviceWanted: () => true, dropAdvice: () => undefined };
        const dispatcher = new AdviceDispatcher(() => clock.monotonic(), requester);
        const asked: { vm: string; question: number; }[] = [];
        Object.keys(delays).forEach(vm =>
            dispatcher.join(vm, question => asked.push({ vm, question }), vm.slice(0, vm.indexOf("-")))
        );
        const ask = (duration: number) => {
            dispatcher.ask({
                step: "step",
                workers: [workerId("w")],
                urgency: 1,
                policy: { decision: duration, eachWorker: 0, validity: 1_500 },
            });
            return asked.at(-1)?.vm;
        };
        /** Asks one question after the other; returns who was asked the last ones. */
        const run = (duration: number, count: number): (string | undefined)[] =>
            Array.from({ length: count }, () => {
                const vm = ask(duration);
                const isFailing = vm?.startsWith(failing) === true;
                clock.advance(isFailing ? 2 : duration + delays[vm ?? ""]);
                dispatcher.complete(asked.at(-1)?.question ?? 0, !isFailing);
                return vm;
            }).slice(-3);
        return { ask, run, asked };
    };

    it("go to the region that is answered sooner, after both were measured", () => {
        const { run } = answerAfter({ "far-1": 40, "far-2": 40, "near-1": 8, "near-2": 8, "near-3": 8 });
        expect(run(20, 6)).toEqual(["near-1", "near-1", "near-1"]);
        expect(run(400, 6).every(vm => vm?.startsWith("near"))).toEqual(true);
    });

    /* Guards against a region that is cut off from the service, where calls fail at once, being taken for the one answered soonest. */
    it("go to the region that is answered when those of the other fail at once", () => {
        const { run } = answerAfter({ "far-1": 40, "far-2": 40, "near-1": 8, "near-2": 8 }, "far");
        expect(run(20, 6)).toEqual(["near-1", "near-1", "near-1"]);
    });

    it("use the other region when the sooner one is busy for longer than the difference", () => {
        const { ask, run } = answerAfter({ "far-1": 40, "near-1": 8 });
        run(20, 6);
        expect([ask(100), ask(20)]).toEqual(["near-1", "far-1"]);
    });
});
