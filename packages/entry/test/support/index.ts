/** Support of the entry VM's tests. */
import { ManualClock } from "@pebbledale/core";
import type { EntryVm } from "../../src/index.js";

/** Lets all that is ready run: promises and what they set off. */
export const settle = async (): Promise<void> => {
    for (let round = 0; round < 20; round++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

/** Moves time on in small steps and lets what is due run in each. */
export const advanceTime = async (clock: ManualClock, milliseconds: number): Promise<void> => {
    const step = 10;
    for (let elapsed = 0; elapsed < milliseconds; elapsed += step) {
        clock.advance(step);
        await settle();
    }
};

/** An entry VM. */
export const makeVm = (name: string, changes: Partial<EntryVm> = {}): EntryVm => ({
    name,
    address: "127.0.0.1:1",
    dataHall: "hall-a",
    processorShare: 1,
    process: `process-of-${name}`,
    startedAt: 1,
    ...changes,
});
export * from "./observation.js";
