/** Steps of the entry VM's tests. */
import type { StepDefinition } from "@pebbledale/cell";

/** A task of one core and one gigabyte. */
export const smallTask = { processorThousandths: 1_000, memoryMebibytes: 1_024, accelerators: 0 };

/** A step of one small task; `changes` replaces parts. */
export const makeStep = (changes: Partial<StepDefinition> = {}): StepDefinition => ({
    taskCount: 1,
    size: smallTask,
    estimate: 1_000,
    after: [],
    savesProgress: false,
    isGang: false,
    wantsOneRack: false,
    requiredLabel: undefined,
    dataRack: undefined,
    mostPerWorker: undefined,
    allowsCopies: false,
    isLasting: false,
    mayBeAway: undefined,
    image: undefined,
    latencyTarget: undefined,
    fills: false,
    ...changes,
});
