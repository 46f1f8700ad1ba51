/** Walks through a scenario. */
import type { Milliseconds } from "@pebbledale/core";
import { createHash } from "node:crypto";
import { SimulationWorld } from "../support/simulation/index.js";
import { type ChoicePoint, Choices, type Deviation } from "./choices.js";
import { FaultInjector } from "./fault-injector.js";
import { isSettled, rules, strayDuplicates } from "./rules.js";
import type { Scenario, ScenarioJob } from "./scenarios.js";

/** Time between two possible faults of workers or the owner. */
const slotTime: Milliseconds = 100;
/** Number of such opportunities. */
const slots = 12;
/** Time for all jobs to end: covers leases of 6 s, a grace period of 10 s for silent workers, and trial runs. */
const maxSettling: Milliseconds = 45_000;
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
    const { workers, namesIncarnations, maxListedEnds = Infinity, jobs } = scenario;
    const world = await SimulationWorld.begin({ workers, namesIncarnations, maxListedEnds, journalTime });
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

/** Plays the time in which faults are injected; resolves to the jobs that were accepted by its end or soon after. */
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

/** Repeats a submission while it has no answer. */
const submitUntilAccepted = async (world: SimulationWorld, job: ScenarioJob, accepted: Set<string>): Promise<void> => {
    for (let tries = 0; tries < 100; tries++) {
        if (await world.sendJob(job.name, job.payload, job.tasks, job.step) === "accepted") {
            accepted.add(job.name);
            return;
        }
        await world.clock.sleep(slotTime);
    }
};

/** Hashes the state of a simulation: two with equal hashes go on alike. */
const hashState = (world: SimulationWorld, faults: FaultInjector): string => {
    const now = world.clock.monotonic();
    const round = (time: Milliseconds) => Math.round(time / stateTime);
    const { cell } = world.owner;
    const state = [
        round(now),
        world.workers.map(worker => worker.describe()),
        world.history.runs.map((
            { task, run, endedAt, end, isAcknowledged },
        ) => [task, run, endedAt === undefined, end, isAcknowledged]),
        cell.snapshot().jobs.map(({ id, state: jobState, occurrences }) => [id, jobState, occurrences]),
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
