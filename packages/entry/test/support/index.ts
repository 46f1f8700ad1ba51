/** Helpers for the entry VM's tests. */
import { dataHallName, ManualClock } from "@pebbledale/core";
import type { EntryVm } from "../../src/index.js";

/** Waits until promises and callbacks that are ready have run. */
export const settle = async (): Promise<void> => {
    for (let round = 0; round < 20; round++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

/** Advances the clock in steps of 10 ms and settles after each. */
export const advanceTime = async (clock: ManualClock, milliseconds: number): Promise<void> => {
    const step = 10;
    for (let elapsed = 0; elapsed < milliseconds; elapsed += step) {
        clock.advance(step);
        await settle();
    }
};

/** Creates an entry VM; `changes` overrides its properties. */
export const makeVm = (name: string, changes: Partial<EntryVm> = {}): EntryVm => ({
    name,
    address: "127.0.0.1:1",
    dataHall: dataHallName("hall-a"),
    processorShare: 1,
    process: `process-of-${name}`,
    startedAt: 1,
    ...changes,
});
export * from "./observation.js";
