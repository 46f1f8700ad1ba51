/** Seeded runs of what goes wrong, each with its figure; lost, run twice and over capacity must be 0 in all. */
import { type JobId, SeededRandom } from "@pebbledale/core";
import { bayanihanMix, drawJob, type Mix, retrouveMix } from "./mixes.js";
import { atLeast, atMost, type Figure, figure } from "./table.js";
import { VirtualCell } from "./virtual/index.js";

const second = 1_000;
const minute = 60 * second;

/** A cell under a steady stream of a mix, with what callers were told. */
class Situation {
    readonly cell: VirtualCell;
    readonly accepted: JobId[] = [];
    readonly #runs = new Map<JobId, number>();
    readonly broken = new Set<JobId>();
    readonly #random: SeededRandom;
    #index = 0;

    constructor(
        readonly mix: Mix,
        seed: number,
        settings: readonly string[] = [],
        usesFactorOf?: (job: JobId) => number,
    ) {
        this.#random = new SeededRandom(seed);
        this.cell = new VirtualCell({
            shape: mix.shape,
            seed,
            settings: [...mix.settings, "result.retention = 30d", ...settings],
            runOf: job => this.#runs.get(job) ?? second,
            failsEverywhere: job => this.broken.has(job),
            usesFactorOf,
        });
    }

    /** Submits one job of the mix, or one that the caller describes. */
    submit(job?: object, runs = second): JobId | undefined {
        const drawn = drawJob(this.mix, this.#random, this.#index++);
        const outcome = this.cell.submit(job ?? drawn.job, id => this.accepted.push(id));
        if (outcome?.kind !== "accepted") {
            return undefined;
        }
        this.#runs.set(outcome.job, job === undefined ? drawn.runs : runs);
        return outcome.job;
    }

    /** Submits jobs of the mix at a rate until a time. */
    stream(perSecond: number, until: number): void {
        this.cell.clock.every(second / perSecond, () => this.submit(), () => this.cell.clock.monotonic() > until);
    }

    /** Runs to a time, then until all is answered or `limit` has passed as well. */
    run(until: number, limit = 60 * minute): void {
        this.cell.clock.runUntil(until);
        while (this.open().length > 0 && this.cell.clock.monotonic() < until + limit) {
            this.cell.clock.runUntil(this.cell.clock.monotonic() + 5 * second);
        }
        this.cell.finish();
    }

    /** Jobs without a final answer. */
    open(): JobId[] {
        return this.accepted.filter(job => {
            const state = this.cell.core.view(job)?.state;
            return state === undefined || state === "queued" || state === "running" || state === "cancelling";
        });
    }

    /** Jobs by their final state. */
    count(state: string): number {
        return this.accepted.filter(job => this.cell.core.view(job)?.state === state).length;
    }

    /** Rows that every situation has. */
    promises(name: string): Figure[] {
        const { notes } = this.cell;
        const unrepeatableTwice = [...notes.startsOfTask].filter(([task, count]) => {
            const job = this.cell.core.registry.jobs.get(task.slice(0, task.lastIndexOf("/")) as JobId);
            return count > 1 && job?.submission.unrepeatable === true;
        }).length;
        const broken = notes.runTwice + notes.overCapacity + unrepeatableTwice;
        return [
            atMost(`${name}: lost without an answer`, this.open().length, "jobs", 0),
            atMost(`${name}: run in two places, repeated against the mark, or over capacity`, broken, "times", 0),
        ];
    }
}

/** What tasks use, and use above their grants, as means over a stream of a mix. */
const measureUse = (situation: Situation): { usedOfGranted: number; overGrant: number; } => {
    let granted = 0;
    let used = 0;
    let over = 0;
    situation.stream(10, 3 * minute);
    situation.cell.clock.every(second, () => {
        for (const worker of situation.cell.workers.values()) {
            const use = worker.use();
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
    const { usedOfGranted, overGrant } = measureUse(situation);
    return [
        figure("declared sizes off by up to 4 times either way: granted processors that are used", usedOfGranted, "%"),
        figure("declared sizes off by up to 4 times either way: use above grants", overGrant, "% of granted"),
        ...situation.promises("declared sizes off"),
    ];
};

const hog = (): Figure[] => {
    const isHog = (job: JobId) => job.endsWith("0");
    const make = () => new Situation(bayanihanMix, 12, [], job => isHog(job) ? 8 : 0.9);
    const unheld = make();
    unheld.cell.workers.forEach(worker => {
        worker.ignoresThrottle = true;
    });
    const situation = make();
    return [
        figure(
            "one task in ten uses 8 times its grant: use above grants",
            measureUse(situation).overGrant,
            "% of granted",
        ),
        figure("baseline, nothing holds them: use above grants", measureUse(unheld).overGrant, "% of granted"),
        ...situation.promises("hogs"),
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
        figure("wave of 10,000 cancellations: cancelled", situation.count("cancelled"), "jobs"),
        ...situation.promises("wave of cancellations"),
    ];
};

const failingWorkers = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 2);
    for (const name of ["worker-3", "worker-11", "worker-20"]) {
        situation.cell.workers.get(name)!.failsAll = true;
    }
    situation.stream(10, 5 * minute);
    situation.run(5 * minute);
    const { notes } = situation.cell;
    return [
        figure("3 of 30 workers fail all: failed attempts of all", notes.failed / notes.starts * 100, "%"),
        atLeast("3 of 30 workers fail all: repeatable jobs that succeed", repeatableSuccess(situation) * 100, "%", 99),
        ...situation.promises("failing workers"),
    ];
};

const repeatableSuccess = (situation: Situation): number => {
    const repeatable = situation.accepted.map(job => situation.cell.core.registry.jobs.get(job)!)
        .filter(job => !job.submission.unrepeatable);
    return repeatable.filter(job => job.state === "succeeded").length / repeatable.length;
};

const failingJob = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 3);
    for (let index = 0; index < 200; index++) {
        const job = situation.submit({ class: "batch", size: { processors: 2, memoryMebibytes: 1_024 } });
        situation.broken.add(job!);
    }
    situation.stream(10, 2 * minute);
    situation.cell.clock.runUntil(minute);
    const quarantined = [...situation.cell.core.workers.values()]
        .filter(entry => entry.quarantinedUntil > situation.cell.clock.monotonic()).length;
    situation.run(2 * minute);
    return [
        atMost("200 jobs that fail everywhere: workers in quarantine", quarantined, "of 30", 0),
        figure("200 jobs that fail everywhere: answered as failed", situation.count("failed"), "jobs"),
        ...situation.promises("failing jobs"),
    ];
};

const rackGone = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 4);
    situation.stream(10, 3 * minute);
    situation.cell.clock.after(minute, () => {
        for (let index = 8; index < 16; index++) {
            situation.cell.workers.get(`worker-${index}`)!.kill();
        }
    });
    situation.run(3 * minute);
    return [
        figure("a rack gone: unrepeatable jobs answered as not known", situation.count("unknown"), "jobs"),
        atLeast("a rack gone: repeatable jobs that succeed", repeatableSuccess(situation) * 100, "%", 100),
        ...situation.promises("a rack gone"),
    ];
};

const halfLeaves = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 5);
    situation.stream(5, 4 * minute);
    for (let index = 0; index < 15; index++) {
        situation.cell.clock.after(minute + index * 5 * second, () => {
            situation.cell.workers.get(`worker-${index}`)!.isLeaving = true;
            situation.cell.relist();
        });
        situation.cell.clock.after(3 * minute + index * 5 * second, () => situation.cell.remove(`worker-${index}`));
    }
    situation.run(4 * minute);
    return [
        atMost("half the VMs leave in a planned round: not known", situation.count("unknown"), "jobs", 0),
        ...situation.promises("a planned round"),
    ];
};

const largeGang = (): Figure[] => {
    const situation = new Situation(retrouveMix, 6, ["placement.gang_patience = 30s"]);
    const small = () =>
        situation.submit(
            { class: "batch", size: { processors: 8, memoryMebibytes: 16_384 }, expectedRunMilliseconds: 20 * second },
            20 * second,
        );
    situation.cell.clock.every(second / 14, small, () => situation.cell.clock.monotonic() > 15 * minute);
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
        if (gang !== undefined && startedAfter === Infinity && situation.cell.core.view(gang)?.state === "running") {
            startedAfter = (situation.cell.clock.monotonic() - from) / second;
        }
    }, () => situation.cell.clock.monotonic() > 15 * minute);
    situation.run(15 * minute);
    return [
        atMost("a gang of half the cell behind a stream of small tasks: starts after", startedAfter, "s", 300),
        figure("a gang of half the cell: small tasks succeeded meanwhile", situation.count("succeeded"), "jobs"),
        ...situation.promises("a large gang"),
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
        figure("two gangs that each want two thirds: succeeded", situation.count("succeeded"), "of 122 jobs"),
        ...situation.promises("two gangs"),
    ];
};

const ownerDeath = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 8);
    situation.stream(20, 2 * minute);
    let starts = 0;
    let lastStart = 0;
    let longestPause = 0;
    situation.cell.clock.every(100, () => {
        const now = situation.cell.clock.monotonic();
        if (situation.cell.notes.starts > starts) {
            longestPause = lastStart > 0 ? Math.max(longestPause, now - lastStart) : 0;
            starts = situation.cell.notes.starts;
            lastStart = now;
        }
    }, () => situation.cell.clock.monotonic() > 2 * minute);
    situation.cell.clock.after(minute, () => situation.cell.killOwner());
    situation.run(2 * minute);
    return [
        figure("owner dies at the peak: longest pause between starts", longestPause, "ms"),
        atMost("owner dies at the peak: answered as not known", situation.count("unknown"), "jobs", 0),
        ...situation.promises("an owner's death"),
    ];
};

const platformDown = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 9, ["owner.horizon = 15m"]);
    situation.stream(10, 15 * minute);
    situation.cell.clock.after(minute, () => situation.cell.setPlatform(true));
    situation.cell.clock.after(11 * minute, () => situation.cell.setPlatform(false));
    situation.run(15 * minute);
    return [
        atMost(
            "platform down ten minutes: work lost that ran",
            situation.count("unknown") + situation.count("failed"),
            "jobs",
            0,
        ),
        ...situation.promises("platform down"),
    ];
};

const platformSlow = (): Figure[] => {
    const situation = new Situation(bayanihanMix, 10);
    situation.stream(10, 62 * minute);
    situation.cell.clock.after(minute, () => situation.cell.setPlatform(false, 2 * second));
    situation.cell.clock.after(61 * minute, () => situation.cell.setPlatform(false));
    situation.run(62 * minute);
    return [
        figure(
            "platform answers after 2 s for an hour: succeeded",
            situation.count("succeeded") / situation.accepted.length * 100,
            "%",
        ),
        figure("platform answers after 2 s for an hour: writes", situation.cell.segments / (62 * 60), "/s"),
        ...situation.promises("platform slow"),
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

/** Runs all situations, or those that are named. */
export const benchSituations = (names: readonly string[] = []): Figure[] =>
    Object.entries(situations).filter(([name]) => names.length === 0 || names.includes(name)).flatMap(([, run]) =>
        run()
    );
