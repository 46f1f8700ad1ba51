import { expect } from "earl";
import { describe, it } from "node:test";
import {
    backlogLoad,
    closedHallLoad,
    crashingLoad,
    grownLoad,
    hotLoad,
    type LoadPattern,
    type Outcome,
    Replay,
    sharedLoad,
    steadyLoad,
    worstLoad,
} from "../support/load/index.js";

const play = (pattern: LoadPattern, seed: number): Outcome => new Replay({ ...pattern, seed }).run();

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** The share of their demand that wide gangs were served in each outcome. */
const servedWideShares = (outcomes: readonly Outcome[]): readonly number[] =>
    outcomes.map(({ queues }) => queues["wide"].all.share);

const expectOthersServed = ({ queues, violations }: Outcome): void => {
    expect(queues["urgent"].all.share).toBeGreaterThan(0.97);
    expect(queues["patient"].all.share).toBeGreaterThan(0.98);
    expect(violations).toEqual([]);
};

describe("load of urgent jobs, deferrable jobs, and wide gangs that a quarter of the workers may run", () => {
    it("serves gangs at three quarters of the capacity", () => {
        const outcome = play(steadyLoad, 2);
        expect(outcome.queues["wide"].all.share).toBeGreaterThan(0.93);
        expectOthersServed(outcome);
    });

    it("serves gangs during bursts and while workers leave", () => {
        const outcomes = [play(worstLoad, 1), play(worstLoad, 2)];
        expect(meanOf(servedWideShares(outcomes))).toBeGreaterThan(0.85);
        outcomes.forEach(expectOthersServed);
    });

    it("serves gangs during bursts on 245 workers", () => {
        const outcomes = [play(grownLoad, 1), play(grownLoad, 2)];
        expect(meanOf(servedWideShares(outcomes))).toBeGreaterThan(0.82);
        outcomes.forEach(expectOthersServed);
    });

    it("spreads questions about hundreds of steps over the workers after three seconds without an owner", () => {
        const outcomes = [play(backlogLoad, 1), play(backlogLoad, 2)];
        expect(meanOf(outcomes.map(({ questions }) => questions))).toBeLessThan(5_500);
        expect(meanOf(outcomes.map(({ queues }) => queues["urgent"].all.share))).toBeGreaterThan(0.755);
        expect(meanOf(servedWideShares(outcomes))).toBeGreaterThan(0.88);
    });
});

describe("load of twenty organisations with limits, one of which sends eight times its usual urgent jobs", () => {
    it("serves urgent jobs beside deferrable ones of the same organisation, and never exceeds a limit", () => {
        const outcomes = [play(sharedLoad, 1), play(sharedLoad, 2)];
        outcomes.forEach(({ violations }) => expect(violations).toEqual([]));
        expect(meanOf(outcomes.map(({ queues }) => queues["urgent"].all.share))).toBeGreaterThan(0.95);
    });
});

describe("load of a small cell with tasks that crash their workers, while workers also crash for other reasons", () => {
    it("gives up only these tasks, each after at most three workers, and continues to serve urgent jobs", () => {
        const outcomes = [play(crashingLoad, 1), play(crashingLoad, 2)];
        for (const { queues, violations, mostCrashes } of outcomes) {
            expect(violations).toEqual([]);
            expect(mostCrashes <= 3).toEqual(true);
            expect(queues["faulty"].all.submitted > 0).toEqual(true);
            expect(queues["urgent"].all.share).toBeGreaterThan(0.88);
            expect(queues["patient"].all.share).toBeGreaterThan(0.9);
        }
    });
});

describe("load of twenty organisations, the largest of which sends three and a half times its usual for sixteen seconds", () => {
    it("serves entitled jobs within 0.03 of what they get without the surplus", () => {
        const differences = [3, 4].map(seed => {
            const alone = play({ ...hotLoad, excludesSurplus: true }, seed);
            return alone.total - play(hotLoad, seed).total;
        });
        expect(meanOf(differences)).toBeLessThan(0.03);
    });
});

describe("load of a full cell, a quarter of which is closed for eight seconds and half as fast for five after that", () => {
    it("starts nothing there meanwhile, and keeps urgent jobs away from slow workers", () => {
        const outcomes = [play(closedHallLoad, 2), play(closedHallLoad, 7), play(closedHallLoad, 8)];
        outcomes.forEach(({ violations }) => expect(violations).toEqual([]));
        expect(meanOf(outcomes.map(({ queues }) => queues["urgent"].all.share))).toBeGreaterThan(0.96);
    });
});
