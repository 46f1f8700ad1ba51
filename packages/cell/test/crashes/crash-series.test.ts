/* Guards against jobs that wait with the workers free after a series of crashes: their tasks waited for trials a few at a time. */
import { jobId, type Milliseconds, SeededRandom } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellJobState } from "../../src/index.js";
import { CrashingCell, makeJob, makeStep } from "../support/index.js";

const workers = 33;
const stepTime: Milliseconds = 50;
/** Within this time after the end of the load no task may wait while most of the workers' capacity is free. */
const settlingTime: Milliseconds = 14_000;

interface Series {
    readonly crashes: number;
    readonly gap: Milliseconds;
    /** Share of the workers that crash each time. */
    readonly share: number;
}

/** Submits short jobs at a steady rate while workers crash, and lets the cell settle. */
const play = (seed: number, { crashes, gap, share }: Series): ReadonlyMap<string, CellJobState | undefined> => {
    const random = new SeededRandom(seed);
    const cell = new CrashingCell(workers, () => ({ crashesAfter: undefined, duration: 650 }));
    const jobs: string[] = [];
    const size = { processorThousandths: 500, memoryMebibytes: 64, accelerators: 0 };
    for (let passed = 0; passed < crashes * gap; passed += stepTime) {
        for (let count = 0; count < 6; count++) {
            const job = `job${jobs.length}`;
            jobs.push(job);
            cell.driver.cell.submit(makeJob(job, [makeStep({ taskCount: 2, size })]));
        }
        if (passed % gap === 0) {
            for (let index = 0; index < workers; index++) {
                if (random.next() < share) {
                    cell.crash(index);
                }
            }
        }
        cell.advance(stepTime);
    }
    cell.advance(settlingTime);
    return new Map(jobs.map(job => [job, cell.driver.cell.stateOf(jobId(job))]));
};

const openJobsBySeed = (series: Series): number[] =>
    [1, 2, 3, 4].map(seed => [...play(seed, series).values()].filter(state => state !== CellJobState.Completed).length);

describe("innocent tasks in a series of crashes", () => {
    it("are all done soon after the last one, as the workers are free", () => {
        expect(openJobsBySeed({ crashes: 20, gap: 1_000, share: 0.14 })).toEqual([0, 0, 0, 0]);
    });

    it("are all done soon after a long series of smaller ones", () => {
        expect(openJobsBySeed({ crashes: 40, gap: 1_000, share: 0.12 })).toEqual([0, 0, 0, 0]);
    });
});
