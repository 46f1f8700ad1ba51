/** Plays one walk: a scenario with some things amiss, until all has come to rest, and what it breaks. */
import type { Milliseconds } from "@pebbledale/core";
import { createHash } from "node:crypto";
import { LivesWorld } from "../support/lives/index.js";
import { type ChoicePoint, Choices, type Deviation } from "./choices.js";
import { Faults } from "./faults.js";
import { isOver, rules, strayRepeats } from "./rules.js";
import type { Scenario, ScenarioJob } from "./scenarios.js";

/** Time between two moments at which something may befall a worker or the owner. */
const slotTime: Milliseconds = 100;
/** How many such moments there are. */
const slots = 12;
/** By then all jobs have their ends: leases of 6 s, a wait of 10 s for word of a silent worker, and the trials of a task. */
const longestRest: Milliseconds = 45_000;
/** What is wrong for a moment only is not wrong: silences and look intervals. */
const quietTime: Milliseconds = 2_000;
/** The store takes as long to keep a record. */
const journalTime: Milliseconds = 10;
/** Times in names of states are rounded to this. */
const stateTime: Milliseconds = 50;

/** What a walk showed. */
export interface Walk {
    readonly scenario: Scenario;
    readonly deviations: readonly Deviation[];
    readonly points: readonly ChoicePoint[];
    /** What was amiss, a line each. */
    readonly story: readonly string[];
    /** Broken rules, a line each. */
    readonly broken: readonly string[];
    /** Repeats that come of orders to former lives. */
    readonly strays: number;
}

/** See the module's comment. */
export const playWalk = async (scenario: Scenario, deviations: readonly Deviation[]): Promise<Walk> => {
    const { workers, namesLives, jobs } = scenario;
    const world = await LivesWorld.begin({ workers, namesLives, journalTime });
    try {
        await world.submit("before", "done 20", 3);
        await world.pass(300);
        const choices: Choices = new Choices(deviations, () => nameOf(world, faults));
        const faults: Faults = new Faults(world, choices);
        const accepted = await suffer(world, scenario, faults);
        await world.until(() => jobs.every(job => isOver(world, job)), longestRest);
        await world.pass(quietTime);
        const outcome = { world, scenario, accepted, deviations: deviations.length };
        const broken = Object.entries(rules).flatMap(([name, rule]) => rule(outcome).map(line => `${name}: ${line}`));
        return {
            scenario,
            deviations,
            points: choices.points,
            story: choices.story,
            broken,
            strays: strayRepeats(outcome).length,
        };
    }
    finally {
        world.end();
    }
};

/** The time in which things may be amiss; names of the jobs that are accepted by its end or soon after. */
const suffer = async (world: LivesWorld, { jobs }: Scenario, faults: Faults): Promise<Set<string>> => {
    const accepted = new Set<string>();
    faults.begin();
    for (let slot = 0; slot < slots; slot++) {
        const at = slot * slotTime;
        faults.strike(at);
        jobs.filter(job => job.at === at).forEach(job => void handIn(world, job, accepted));
        await world.pass(slotTime);
    }
    faults.heal();
    await world.until(() => accepted.size === jobs.length, longestRest);
    return accepted;
};

/** A caller hands its job in again while it has no answer. */
const handIn = async (world: LivesWorld, job: ScenarioJob, accepted: Set<string>): Promise<void> => {
    for (let tries = 0; tries < 100; tries++) {
        if (await world.handIn(job.name, job.payload, job.tasks, job.step) === "accepted") {
            accepted.add(job.name);
            return;
        }
        await world.clock.sleep(slotTime);
    }
};

/** Names the state of a world: two with one name go on alike. */
const nameOf = (world: LivesWorld, faults: Faults): string => {
    const now = world.clock.monotonic();
    const round = (time: Milliseconds) => Math.round(time / stateTime);
    const { cell } = world.owner;
    const state = [
        round(now),
        world.machines.map(machine => machine.describe()),
        world.record.runs.map((
            { task, run, endedAt, end, isNoted },
        ) => [task, run, endedAt === undefined, end, isNoted]),
        cell.snapshot().jobs.map(({ id, state: shown, occurrences }) => [id, shown, occurrences]),
        [...cell.workers.values()].map(worker => [
            worker.id,
            worker.address,
            worker.isClaimed,
            worker.silentSince === undefined,
            worker.unlistedSince === undefined,
            worker.entry === undefined,
            worker.nextEntry === undefined,
            worker.takenThrough,
            [...worker.runs.values()].map(run => [run.task.address, run.run, run.phase, run.sentAt === undefined]),
        ]),
        world.network.pending.map(({ kind, worker, sentAt }) => [kind, worker, round(now - sentAt)]),
        faults.describe(),
        world.epoch,
        world.journal.length,
    ];
    return createHash("sha1").update(JSON.stringify(state)).digest("base64url").slice(0, 16);
};
