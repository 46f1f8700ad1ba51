/** Plays one walk: a scenario with some things amiss, until all has come to rest, and what it breaks. */
import type { Milliseconds } from "@pebbledale/core";
import { createHash } from "node:crypto";
import { SimulationWorld } from "../support/lives/index.js";
import { type ChoicePoint, Choices, type Deviation } from "./choices.js";
import { FaultInjector } from "./faults.js";
import { isSettled, rules, strayDuplicates } from "./rules.js";
import type { Scenario, ScenarioJob } from "./scenarios.js";

/** Time between two moments at which something may befall a worker or the owner. */
const slotTime: Milliseconds = 100;
/** How many such moments there are. */
const slots = 12;
/** By then all jobs have their ends: leases of 6 s, a wait of 10 s for word of a silent worker, and the trials of a task. */
const maxSettling: Milliseconds = 45_000;
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
    const { workers, namesIncarnations: namesLives, jobs } = scenario;
    const world = await SimulationWorld.begin({ workers, namesIncarnations: namesLives, journalTime });
    try {
        await world.submit("before", "done 20", 3);
        await world.advance(300);
        const choices: Choices = new Choices(deviations, () => hashState(world, faults));
        const faults: FaultInjector = new FaultInjector(world, choices);
        const accepted = await injectFaults(world, scenario, faults);
        await world.advanceUntil(() => jobs.every(job => isSettled(world, job)), maxSettling);
        await world.advance(quietTime);
        const outcome = { world, scenario, accepted, deviations: deviations.length };
        const broken = Object.entries(rules).flatMap(([name, rule]) => rule(outcome).map(line => `${name}: ${line}`));
        return {
            scenario,
            deviations,
            points: choices.points,
            story: choices.story,
            broken,
            strays: strayDuplicates(outcome).length,
        };
    }
    finally {
        world.end();
    }
};

/** The time in which things may be amiss; names of the jobs that are accepted by its end or soon after. */
const injectFaults = async (
    world: SimulationWorld,
    { jobs }: Scenario,
    faults: FaultInjector,
): Promise<Set<string>> => {
    const accepted = new Set<string>();
    faults.begin();
    for (let slot = 0; slot < slots; slot++) {
        const at = slot * slotTime;
        faults.injectAt(at);
        jobs.filter(job => job.at === at).forEach(job => void submitUntilAccepted(world, job, accepted));
        await world.advance(slotTime);
    }
    faults.heal();
    await world.advanceUntil(() => accepted.size === jobs.length, maxSettling);
    return accepted;
};

/** A caller hands its job in again while it has no answer. */
const submitUntilAccepted = async (world: SimulationWorld, job: ScenarioJob, accepted: Set<string>): Promise<void> => {
    for (let tries = 0; tries < 100; tries++) {
        if (await world.sendJob(job.name, job.payload, job.tasks, job.step) === "accepted") {
            accepted.add(job.name);
            return;
        }
        await world.clock.sleep(slotTime);
    }
};

/** Names the state of a world: two with one name go on alike. */
const hashState = (world: SimulationWorld, faults: FaultInjector): string => {
    const now = world.clock.monotonic();
    const round = (time: Milliseconds) => Math.round(time / stateTime);
    const { cell } = world.owner;
    const state = [
        round(now),
        world.workers.map(machine => machine.describe()),
        world.history.runs.map((
            { task, run, endedAt, end, isAcknowledged: isNoted },
        ) => [task, run, endedAt === undefined, end, isNoted]),
        cell.snapshot().jobs.map(({ id, state: shown, occurrences }) => [id, shown, occurrences]),
        [...cell.workers.values()].map(worker => [
            worker.id,
            worker.address,
            worker.isClaimed,
            worker.silentSince === undefined,
            worker.unlistedSince === undefined,
            worker.entry === undefined,
            worker.pendingEntry === undefined,
            worker.endsAppliedThrough,
            [...worker.runs.values()].map(run => [run.task.address, run.run, run.phase, run.sentAt === undefined]),
        ]),
        world.network.pending.map(({ kind, worker, sentAt }) => [kind, worker, round(now - sentAt)]),
        faults.describe(),
        world.epoch,
        world.journal.length,
    ];
    return createHash("sha1").update(JSON.stringify(state)).digest("base64url").slice(0, 16);
};
