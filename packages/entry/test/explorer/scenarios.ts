/** Scenarios for the explorer. */
import type { Milliseconds } from "@pebbledale/core";
import type { StepChanges } from "../support/simulation/index.js";

/** A job of a scenario. */
export interface ScenarioJob {
    readonly name: string;
    readonly payload: string;
    readonly tasks: number;
    /** Time of its submission, counted from the first possible fault. */
    readonly at: Milliseconds;
    readonly step?: StepChanges;
}

/** A small cell and the jobs that its callers submit. */
export interface Scenario {
    readonly name: string;
    readonly workers: number;
    readonly namesIncarnations: boolean;
    /** Maximum number of ends in one answer of a worker; unlimited by default. */
    readonly maxListedEnds?: number;
    readonly jobs: readonly ScenarioJob[];
}

/** Size of a task of which a worker can run only one at a time. */
const wide = { processorThousandths: 5_000, memoryMebibytes: 1_024, accelerators: 0 };

const plain = (name: string, at: Milliseconds, tasks = 2): ScenarioJob => ({ name, payload: "done 300", tasks, at });

/** All scenarios; each has another kind of job or worker. */
export const scenarios: readonly Scenario[] = [
    { name: "plain tasks, one worker", workers: 1, namesIncarnations: true, jobs: [plain("a", 0), plain("b", 400, 1)] },
    {
        name: "plain tasks, two workers",
        workers: 2,
        namesIncarnations: true,
        jobs: [plain("a", 0, 3), plain("b", 400, 1)],
    },
    {
        name: "plain tasks, lives without names",
        workers: 2,
        namesIncarnations: false,
        jobs: [plain("a", 0), plain("b", 400)],
    },
    {
        name: "plain tasks, one end in each answer",
        workers: 2,
        namesIncarnations: true,
        maxListedEnds: 1,
        jobs: [plain("a", 0, 4), plain("b", 300, 3)],
    },
    {
        name: "a gang of two",
        workers: 2,
        namesIncarnations: true,
        jobs: [{ name: "gang", payload: "gang 2 300", tasks: 2, at: 0, step: { isGang: true, size: wide } }],
    },
    {
        name: "a gang of two among others, three workers",
        workers: 3,
        namesIncarnations: true,
        jobs: [
            { name: "gang", payload: "gang 2 300", tasks: 2, at: 0, step: { isGang: true, size: wide } },
            plain("a", 300, 2),
        ],
    },
    {
        name: "a task that crashes its worker",
        workers: 2,
        namesIncarnations: true,
        jobs: [{ name: "killer", payload: "crash 10", tasks: 1, at: 0 }, plain("a", 100)],
    },
    {
        name: "a task that lasts",
        workers: 2,
        namesIncarnations: true,
        jobs: [{ name: "lasting", payload: "lasting", tasks: 1, at: 0, step: { isLasting: true } }, plain("a", 200, 1)],
    },
    {
        name: "a task whose copies may run beside it, and one that fails",
        workers: 2,
        namesIncarnations: true,
        jobs: [
            { name: "copied", payload: "copied 300", tasks: 1, at: 0, step: { allowsCopies: true } },
            { name: "failing", payload: "failed 50", tasks: 1, at: 100 },
        ],
    },
];
