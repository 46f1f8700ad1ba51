/** Step definitions for the entry VM's tests. */
import type { StepDefinition } from "@pebbledale/cell";

/** Size of a task with one core and one gibibyte of memory. */
export const smallTask = { processorThousandths: 1_000, memoryMebibytes: 1_024, accelerators: 0 };

/** Creates a step with one small task; `changes` overrides its properties. */
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
