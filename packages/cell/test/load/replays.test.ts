import { expect } from "earl";
import { describe, it } from "node:test";
import {
    backlogLoad,
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

/** What callers of wide gangs had of each outcome, as a share of what they asked for. */
const wideShares = (outcomes: readonly Outcome[]): readonly number[] =>
    outcomes.map(({ queues }) => queues["wide"].all.share);

const expectOthersServed = ({ queues, violations: broken }: Outcome): void => {
    expect(queues["urgent"].all.share).toBeGreaterThan(0.97);
    expect(queues["patient"].all.share).toBeGreaterThan(0.98);
    expect(broken).toEqual([]);
};

describe("load of urgent jobs, patient ones, and wide gangs that a quarter of the workers may run", () => {
    it("at three quarters of the room: gangs learn in time which workers may run them", () => {
        const outcome = play(steadyLoad, 2);
        expect(outcome.queues["wide"].all.share).toBeGreaterThan(0.93);
        expectOthersServed(outcome);
    });

    it("with bursts, and workers that leave: patient work leaves room for gangs, and those that are lost start again", () => {
        const outcomes = [play(worstLoad, 1), play(worstLoad, 2)];
        expect(meanOf(wideShares(outcomes))).toBeGreaterThan(0.85);
        outcomes.forEach(expectOthersServed);
    });

    it("with bursts on 245 workers: patient work leaves room for gangs while it has time", () => {
        const outcomes = [play(grownLoad, 1), play(grownLoad, 2)];
        expect(meanOf(wideShares(outcomes))).toBeGreaterThan(0.82);
        outcomes.forEach(expectOthersServed);
    });

    it("after three seconds without an owner: hundreds of steps are not all asked about at the same workers", () => {
        const outcomes = [play(backlogLoad, 1), play(backlogLoad, 2)];
        expect(meanOf(outcomes.map(({ questions }) => questions))).toBeLessThan(5_500);
        expect(meanOf(outcomes.map(({ queues }) => queues["urgent"].all.share))).toBeGreaterThan(0.755);
        expect(meanOf(wideShares(outcomes))).toBeGreaterThan(0.88);
    });
});

describe("load of twenty organisations, each under its limit, one of which sends eight times its usual urgent jobs", () => {
    it("serves urgent jobs beside patient ones of the same organisation, and never more than a limit holds", () => {
        const outcomes = [play(sharedLoad, 1), play(sharedLoad, 2)];
        outcomes.forEach(({ violations: broken }) => expect(broken).toEqual([]));
        expect(meanOf(outcomes.map(({ queues }) => queues["urgent"].all.share))).toBeGreaterThan(0.95);
    });
});

describe("load of a small cell with tasks that crash their workers, while workers also crash for reasons of their own", () => {
    // Without trials and a limit such a task crashes one worker after the other until the end.
    it("gives each of these tasks up after three workers, nothing else, and goes on serving urgent jobs", () => {
        const outcomes = [play(crashingLoad, 1), play(crashingLoad, 2)];
        for (const { queues, violations: broken, mostCrashes } of outcomes) {
            expect(broken).toEqual([]);
            expect(mostCrashes <= 3).toEqual(true);
            expect(queues["faulty"].all.submitted > 0).toEqual(true);
            expect(queues["urgent"].all.share).toBeGreaterThan(0.88);
            expect(queues["patient"].all.share).toBeGreaterThan(0.9);
        }
    });
});

describe("load of twenty organisations, the largest of which sends three and a half times its usual of all for sixteen seconds", () => {
    it("serves what each is owed within 0.03 of what it has when nobody sends more than that", () => {
        const differences = [3, 4].map(seed => {
            const alone = play({ ...hotLoad, excludesSurplus: true }, seed);
            return alone.total - play(hotLoad, seed).total;
        });
        expect(meanOf(differences)).toBeLessThan(0.03);
    });
});
