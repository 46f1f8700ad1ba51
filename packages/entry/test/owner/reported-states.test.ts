import { CellJobState, CellScheduler } from "@pebbledale/cell";
import { jobId, type Milliseconds } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { SimulationWorld } from "../support/simulation/index.js";

const names = Array.from({ length: 20 }, (_, index) => `job-${index}`);
const submissionInterval: Milliseconds = 40;
const settlingTime: Milliseconds = 10_000;
const finalStates: readonly (string | undefined)[] = [CellJobState.Completed, CellJobState.Cancelled];

/** The state with which an owner that took over now would report a job. */
const recordedState = ({ clock, journal }: SimulationWorld, name: string): CellJobState | undefined => {
    const cell = new CellScheduler({ clock, log: { log: () => undefined } });
    cell.recover(undefined, journal);
    return cell.stateOf(jobId(name));
};

/** Submits jobs in short succession to an owner whose store is slow, and collects final states that are reported without their records. */
const playJobs = async (payload: string, isCancelled = false): Promise<string[]> => {
    const world = await SimulationWorld.begin({ workers: 2, journalTime: 180 });
    const early: string[] = [];
    world.onStep = () => {
        for (const name of names) {
            const state = world.stateOf(name);
            if (finalStates.includes(state) && recordedState(world, name) !== state) {
                early.push(`${name} is reported as ${state} before that is recorded`);
            }
        }
    };
    for (const name of names) {
        void world.sendJob(name, payload, 2);
        await world.advance(submissionInterval);
        if (isCancelled) {
            world.owner.cell.cancel(jobId(name));
        }
    }
    const haveEnded = () => names.every(name => finalStates.includes(world.stateOf(name)));
    await world.advanceUntil(haveEnded, settlingTime);
    world.end();
    return haveEnded() ? early : ["not all jobs have ended"];
};

// Callers were shown jobs as completed up to a write of the store too early; after a takeover their tasks were started again.
describe("final states of jobs that are reported while the store is slow", () => {
    it("are recorded when jobs are completed", async () => {
        expect(await playJobs("done 50")).toEqual([]);
    });

    it("are recorded when jobs are cancelled", async () => {
        expect(await playJobs("done 500", true)).toEqual([]);
    });
});
