/** Benchmarks of fault situations, simulated in virtual time with fixed seeds. */
import { type JobId, SeededRandom } from "@pebbledale/core";
import { atLeast, atMost, type Figure, figure } from "./figures.js";
import { VirtualCell } from "./virtual/index.js";
import { bayanihanMix, generateJob, retrouveMix, type WorkloadMix } from "./workload-mixes.js";

const second = 1_000;
const minute = 60 * second;

/** A simulated cell under a workload mix, with the jobs whose acceptance was committed. */
class Situation {
    readonly cell: VirtualCell;
    readonly accepted: JobId[] = [];
    readonly #runDurations = new Map<JobId, number>();
    readonly failingJobs = new Set<JobId>();
    readonly #random: SeededRandom;
    #index = 0;

    constructor(
        readonly mix: WorkloadMix,
        seed: number,
        settings: readonly string[] = [],
        usageFactorOf?: (job: JobId) => number,
    ) {
        this.#random = new SeededRandom(seed);
        this.cell = new VirtualCell({
            shape: mix.shape,
            seed,
            settings: [...mix.settings, "result.retention = 30d", ...settings],
            runDurationOf: job => this.#runDurations.get(job) ?? second,
            failsEverywhere: job => this.failingJobs.has(job),
            usageFactorOf,
        });
    }

    /** Submits the given job, or the next one of the mix; undefined when it is refused or the shard has no owner. */
    submit(job?: object, runDuration = second): JobId | undefined {
        const generated = generateJob(this.mix, this.#random, this.#index++);
        const outcome = this.cell.submit(job ?? generated.submission, id => this.accepted.push(id));
        if (outcome?.kind !== "accepted") {
            return undefined;
        }
        this.#runDurations.set(outcome.job, job === undefined ? generated.runDuration : runDuration);
        return outcome.job;
    }

    /** Submits jobs of the mix at a constant rate until a time in milliseconds. */
    submitAtRate(perSecond: number, until: number): void {
        this.cell.clock.every(second / perSecond, () => this.submit(), () => this.cell.clock.monotonic() > until);
    }

    /** Runs until a time, and then until all jobs have ended, for at most `limit` milliseconds. */
    run(until: number, limit = 60 * minute): void {
        this.cell.clock.runUntil(until);
        while (this.unfinishedJobs().length > 0 && this.cell.clock.monotonic() < until + limit) {
            this.cell.clock.runUntil(this.cell.clock.monotonic() + 5 * second);
        }
        this.cell.finish();
    }

    /** Accepted jobs that are not in a final state. */
    unfinishedJobs(): JobId[] {
        return this.accepted.filter(job => {
            const state = this.cell.scheduler.view(job)?.state;
            return state === undefined || state === "queued" || state === "running" || state === "cancelling";
        });
    }

    countInState(state: string): number {
        return this.accepted.filter(job => this.cell.scheduler.view(job)?.state === state).length;
    }

    /** Figures for the guarantees that hold in every situation; their target is 0. */
    invariantFigures(name: string): Figure[] {
        const { statistics } = this.cell;
        const unrepeatableTwice = [...statistics.startsByTask].filter(([task, count]) => {
            const job = this.cell.scheduler.registry.jobs.get(task.slice(0, task.lastIndexOf("/")) as JobId);
            return count > 1 && job?.submission.unrepeatable === true;
        }).length;
        const violations = statistics.concurrentStarts + statistics.overCapacityStarts + unrepeatableTwice;
        return [
            atMost(`${name}: lost without an answer`, this.unfinishedJobs().length, "jobs", 0),
            atMost(`${name}: run in two places, repeated against the mark, or over capacity`, violations, "times", 0),
        ];
    }
}

/** Processor use, and use beyond grants, in percent of the granted processors over three minutes. */
const measureUsage = (situation: Situation): { usedOfGranted: number; overGrant: number; } => {
    let granted = 0;
    let used = 0;
    let over = 0;
    situation.submitAtRate(10, 3 * minute);
    situation.cell.clock.every(second, () => {
        for (const worker of situation.cell.workers.values()) {
            const use = worker.processorUsage();
            granted += use.granted;
            used += use.used;
            over += use.overGrant;
        }
    }, () => situation.cell.clock.monotonic() > 3 * minute);
    situation.run(3 * minute);
    return { usedOfGranted: used / granted * 100, overGrant: over / granted * 100 };
};

const declaredSizes = (): Figure[] => {
    const random = new SeededRandom(31);
    const factors = new Map<JobId, number>();
    const factorOf = (job: JobId): number => {
        const factor = factors.get(job) ?? 4 ** (random.next() * 2 - 1);
        factors.set(job, factor);
        return factor;
    };
    const situation = new Situation(bayanihanMix, 11, [], factorOf);
    const { usedOfGranted, overGrant } = measureUsage(situation);
    return [
        figure("declared sizes off by up to 4 times either way: granted processors that are used", usedOfGranted, "%"),
        figure("declared sizes off by up to 4 times either way: use above grants", overGrant, "% of granted"),
        ...situation.invariantFigures("declared sizes off"),
    ];
};

/** One task in ten demands eight times its grant, with throttling and without it as a baseline. */
const hog = (): Figure[] => {
    const isHog = (job: JobId) => job.endsWith("0");
    const createSituation = () => new Situation(bayanihanMix, 12, [], job => isHog(job) ? 8 : 0.9);
    const unthrottled = createSituation();
    unthrottled.cell.workers.forEach(worker => {
        worker.ignoresThrottle = true;
    });
    const situation = createSituation();
    return [
        figure(
            "one task in ten uses 8 times its grant: use above grants",
            measureUsage(situation).overGrant,
            "% of granted",
        ),
        figure("baseline, nothing holds them: use above grants", measureUsage(unthrottled).overGrant, "% of granted"),
        ...situation.invariantFigures("hogs"),
    ];
};

const cancellationWave = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 1, ["queue.limit = 100000"]);
    const jobs = Array.from({ length: 10_000 }, () => situation.submit()).filter(job => job !== undefined);
    situation.cell.clock.runUntil(5 * second);
    const started = performance.now();
    jobs.forEach(job => situation.cell.cancel(job));
    const perJob = (performance.now() - started) / jobs.length * 1_000;
    situation.run(20 * second);
    return [
        figure("wave of 10,000 cancellations: time each", perJob, "us"),
        figure("wave of 10,000 cancellations: cancelled", situation.countInState("cancelled"), "jobs"),
        ...situation.invariantFigures("wave of cancellations"),
    ];
};

const failingWorkers = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 2);
    for (const name of ["worker-3", "worker-11", "worker-20"]) {
        situation.cell.workers.get(name)!.failsAll = true;
    }
    situation.submitAtRate(10, 5 * minute);
    situation.run(5 * minute);
    const { statistics } = situation.cell;
    return [
        figure("3 of 30 workers fail all: failed attempts of all", statistics.failed / statistics.starts * 100, "%"),
        atLeast(
            "3 of 30 workers fail all: repeatable jobs that succeed",
            repeatableSuccessShare(situation) * 100,
            "%",
            99,
        ),
        ...situation.invariantFigures("failing workers"),
    ];
};

const repeatableSuccessShare = (situation: Situation): number => {
    const repeatable = situation.accepted.map(job => situation.cell.scheduler.registry.jobs.get(job)!)
        .filter(job => !job.submission.unrepeatable);
    return repeatable.filter(job => job.state === "succeeded").length / repeatable.length;
};

const failingJob = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 3);
    for (let index = 0; index < 200; index++) {
        const job = situation.submit({ class: "batch", size: { processors: 2, memoryMebibytes: 1_024 } });
        situation.failingJobs.add(job!);
    }
    situation.submitAtRate(10, 2 * minute);
    situation.cell.clock.runUntil(minute);
    const quarantined = [...situation.cell.scheduler.workers.values()]
        .filter(entry => entry.quarantinedUntil > situation.cell.clock.monotonic()).length;
    situation.run(2 * minute);
    return [
        atMost("200 jobs that fail everywhere: workers in quarantine", quarantined, "of 30", 0),
        figure("200 jobs that fail everywhere: answered as failed", situation.countInState("failed"), "jobs"),
        ...situation.invariantFigures("failing jobs"),
    ];
};

const rackGone = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 4);
    situation.submitAtRate(10, 3 * minute);
    situation.cell.clock.after(minute, () => {
        for (let index = 8; index < 16; index++) {
            situation.cell.workers.get(`worker-${index}`)!.kill();
        }
    });
    situation.run(3 * minute);
    return [
        figure("a rack gone: unrepeatable jobs answered as not known", situation.countInState("unknown"), "jobs"),
        atLeast("a rack gone: repeatable jobs that succeed", repeatableSuccessShare(situation) * 100, "%", 100),
        ...situation.invariantFigures("a rack gone"),
    ];
};

const halfLeaves = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 5);
    situation.submitAtRate(5, 4 * minute);
    for (let index = 0; index < 15; index++) {
        situation.cell.clock.after(minute + index * 5 * second, () => {
            situation.cell.workers.get(`worker-${index}`)!.isLeaving = true;
            situation.cell.publishWorkerList();
        });
        situation.cell.clock.after(
            3 * minute + index * 5 * second,
            () => situation.cell.removeWorker(`worker-${index}`),
        );
    }
    situation.run(4 * minute);
    return [
        atMost("half the VMs leave in a planned round: not known", situation.countInState("unknown"), "jobs", 0),
        ...situation.invariantFigures("a planned round"),
    ];
};

const largeGang = (): Figure[] => {
    const situation = new Situation(retrouveMix, 6, ["placement.gang_patience = 30s"]);
    const submitSmallTask = () =>
        situation.submit(
            { class: "batch", size: { processors: 8, memoryMebibytes: 16_384 }, expectedRunMilliseconds: 20 * second },
            20 * second,
        );
    situation.cell.clock.every(second / 14, submitSmallTask, () => situation.cell.clock.monotonic() > 15 * minute);
    let gang: JobId | undefined;
    let startedAfter = Infinity;
    const from = 2 * minute;
    situation.cell.clock.after(from, () => {
        gang = situation.submit(
            { class: "gang", tasks: 60, size: { processors: 16, memoryMebibytes: 32_768, slots: 2 } },
            5 * minute,
        );
    });
    situation.cell.clock.every(second, () => {
        if (
            gang !== undefined && startedAfter === Infinity && situation.cell.scheduler.view(gang)?.state === "running"
        ) {
            startedAfter = (situation.cell.clock.monotonic() - from) / second;
        }
    }, () => situation.cell.clock.monotonic() > 15 * minute);
    situation.run(15 * minute);
    return [
        atMost("a gang of half the cell behind a stream of small tasks: starts after", startedAfter, "s", 300),
        figure("a gang of half the cell: small tasks succeeded meanwhile", situation.countInState("succeeded"), "jobs"),
        ...situation.invariantFigures("a large gang"),
    ];
};

const twoGangs = (): Figure[] => {
    const situation = new Situation(retrouveMix, 7, ["placement.gang_patience = 5s"]);
    for (let index = 0; index < 120; index++) {
        situation.submit({ class: "batch", size: { processors: 16, memoryMebibytes: 65_536, slots: 2 } }, minute);
    }
    const gang = { class: "gang", tasks: 20, size: { processors: 48, memoryMebibytes: 131_072, slots: 4 } };
    situation.cell.clock.after(second, () => {
        situation.submit(gang, minute);
        situation.submit(gang, minute);
    });
    situation.run(10 * minute);
    return [
        figure("two gangs that each want two thirds: succeeded", situation.countInState("succeeded"), "of 122 jobs"),
        ...situation.invariantFigures("two gangs"),
    ];
};

const ownerDeath = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 8);
    situation.submitAtRate(20, 2 * minute);
    let starts = 0;
    let lastStart = 0;
    let longestPause = 0;
    situation.cell.clock.every(100, () => {
        const now = situation.cell.clock.monotonic();
        if (situation.cell.statistics.starts > starts) {
            longestPause = lastStart > 0 ? Math.max(longestPause, now - lastStart) : 0;
            starts = situation.cell.statistics.starts;
            lastStart = now;
        }
    }, () => situation.cell.clock.monotonic() > 2 * minute);
    situation.cell.clock.after(minute, () => situation.cell.killOwner());
    situation.run(2 * minute);
    return [
        figure("owner dies at the peak: longest pause between starts", longestPause, "ms"),
        atMost("owner dies at the peak: answered as not known", situation.countInState("unknown"), "jobs", 0),
        ...situation.invariantFigures("an owner's death"),
    ];
};

const platformDown = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 9, ["owner.horizon = 15m"]);
    situation.submitAtRate(10, 15 * minute);
    situation.cell.clock.after(minute, () => situation.cell.setPlatformState(true));
    situation.cell.clock.after(11 * minute, () => situation.cell.setPlatformState(false));
    situation.run(15 * minute);
    return [
        atMost(
            "platform down ten minutes: work lost that ran",
            situation.countInState("unknown") + situation.countInState("failed"),
            "jobs",
            0,
        ),
        ...situation.invariantFigures("platform down"),
    ];
};

const platformSlow = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 10);
    situation.submitAtRate(10, 62 * minute);
    situation.cell.clock.after(minute, () => situation.cell.setPlatformState(false, 2 * second));
    situation.cell.clock.after(61 * minute, () => situation.cell.setPlatformState(false));
    situation.run(62 * minute);
    return [
        figure(
            "platform answers after 2 s for an hour: succeeded",
            situation.countInState("succeeded") / situation.accepted.length * 100,
            "%",
        ),
        figure("platform answers after 2 s for an hour: writes", situation.cell.segmentCount / (62 * 60), "/s"),
        ...situation.invariantFigures("platform slow"),
    ];
};

const situations = {
    declaredSizes,
    hog,
    cancellationWave,
    failingWorkers,
    failingJob,
    rackGone,
    halfLeaves,
    largeGang,
    twoGangs,
    ownerDeath,
    platformDown,
    platformSlow,
};

/** Runs the situations with the given names, or all when there are none. */
export const benchSituations = (names: readonly string[] = []): Figure[] =>
    Object.entries(situations).filter(([name]) => names.length === 0 || names.includes(name)).flatMap(([, run]) =>
        run()
    );
