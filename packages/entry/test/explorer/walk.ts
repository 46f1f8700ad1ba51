/** Walks through a scenario. */
import type { Milliseconds } from "@pebbledale/core";
import { createHash } from "node:crypto";
import { LivesWorld } from "../support/lives/index.js";
import { type ChoicePoint, Choices, type Deviation } from "./choices.js";
import { Faults } from "./faults.js";
import { isOver, rules, strayRepeats } from "./rules.js";
import type { Scenario, ScenarioJob } from "./scenarios.js";

/** Time between two possible faults of workers or the owner. */
const slotTime: Milliseconds = 100;
/** Number of such opportunities. */
const slots = 12;
/** Time for all jobs to end: covers leases of 6 s, a grace period of 10 s for silent workers, and trial runs. */
const longestRest: Milliseconds = 45_000;
/** Time after which the final state is checked: covers poll intervals and detection of silent workers. */
const quietTime: Milliseconds = 2_000;
/** Time until the journal has persisted a record. */
const journalTime: Milliseconds = 10;
/** Resolution of times in hashes of states. */
const stateTime: Milliseconds = 50;

/** Result of a walk. */
export interface Walk {
    readonly scenario: Scenario;
    readonly deviations: readonly Deviation[];
    readonly points: readonly ChoicePoint[];
    /** Description of each fault, one line each. */
    readonly story: readonly string[];
    /** Violations of rules, one line each. */
    readonly broken: readonly string[];
    /** Number of duplicates that are caused by orders to earlier incarnations. */
    readonly strays: number;
}

/** Plays a scenario with the given deviations until it has settled, and checks the rules. */
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

/** Plays the time in which faults are injected; resolves to the jobs that were accepted by its end or soon after. */
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

/** Repeats a submission while it has no answer. */
const handIn = async (world: LivesWorld, job: ScenarioJob, accepted: Set<string>): Promise<void> => {
    for (let tries = 0; tries < 100; tries++) {
        if (await world.handIn(job.name, job.payload, job.tasks, job.step) === "accepted") {
            accepted.add(job.name);
            return;
        }
        await world.clock.sleep(slotTime);
    }
};

/** Hashes the state of a simulation: two with equal hashes go on alike. */
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
