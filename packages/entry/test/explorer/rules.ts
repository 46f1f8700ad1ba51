/** Rules that each walk must satisfy, checked by what workers and callers observe. */
import { RunEnd } from "@pebbledale/cell";
import { describeDuplicate, type DuplicateRun, type SimulationWorld, TaskKind } from "../support/simulation/index.js";
import type { Scenario, ScenarioJob } from "./scenarios.js";

/** A finished walk. */
export interface Outcome {
    readonly world: SimulationWorld;
    readonly scenario: Scenario;
    /** Names of the jobs whose callers were told that they are accepted. */
    readonly accepted: ReadonlySet<string>;
    /** Number of faults. */
    readonly deviations: number;
}

/** Describes each violation in one line. */
export type Rule = (outcome: Outcome) => string[];

/** Failed runs after which a task fails, as the queue is configured. */
const attempts = 3;
/** Crashes after which a task fails. Each fault may hide one of them from the product. */
const crashingStarts = 3;
const workerCapacity = 8_000;

/**
 * Whether a duplicate is unavoidable: an order to an earlier incarnation arrives at the next one before that has seen a higher token,
 * while the task was started elsewhere because the earlier incarnation had reported that it does not have the run. Orders that are
 * sent after the stray run has started are not excused.
 */
const isStrayDuplicate = ({ run, other }: DuplicateRun): boolean =>
    run.isStray || other.isStray && run.sentAt <= other.startedAt;

/** Duplicates that are caused by orders to earlier incarnations. */
export const strayDuplicates = ({ world }: Outcome): DuplicateRun[] =>
    world.history.duplicates().filter(isStrayDuplicate);

const doneOnce: Rule = ({ world }) =>
    world.history.duplicates().filter(duplicate => !isStrayDuplicate(duplicate) && duplicate.isAfterCompletion).map(
        describeDuplicate,
    );

const oneRunAtATime: Rule = ({ world }) =>
    world.history.duplicates().filter(duplicate => !isStrayDuplicate(duplicate) && !duplicate.isAfterCompletion).map(
        describeDuplicate,
    );

const hasItsEnd: Rule = ({ world, scenario, accepted }) =>
    scenario.jobs.filter(job => accepted.has(job.name) && !isSettled(world, job))
        .map(({ name }) => `${name} is ${world.stateOf(name) ?? "not known"} long after the last fault`);

const trueEnds: Rule = ({ world, scenario }) =>
    scenario.jobs.flatMap(job => {
        const state = world.stateOf(job.name);
        const isUntrue = state === "completed" && !isDone(world, job) || state === "failed" && !mayFail(world, job);
        return isUntrue ? [`${job.name} is shown as ${state}, which is not true`] : [];
    });

const fewCrashes: Rule = ({ world, scenario, deviations }) =>
    scenario.jobs.filter(({ payload }) => payload.startsWith(TaskKind.Crash)).flatMap(({ name }) => {
        const starts = world.runsOf(name).length;
        return starts > crashingStarts + deviations ? [`${name} was started ${starts} times`] : [];
    });

const fewFailures: Rule = ({ world, scenario }) =>
    scenario.jobs.filter(({ payload }) => payload.startsWith(TaskKind.Failed)).flatMap(({ name }) => {
        const acknowledged = world.runsOf(name).filter(run => run.end === RunEnd.Failed && run.isAcknowledged);
        const last = acknowledged[attempts - 1];
        const later = world.runsOf(name)
            .filter(run => last !== undefined && !run.isStray && run.startedAt > last.endedAt!);
        return later.length > 0 ? [`${name} was started after ${attempts} failed runs`] : [];
    });

const withinCapacity: Rule = ({ world }) => {
    const hasStrays = world.history.runs.some(run => run.isStray);
    return world.workers.filter(({ peakProcessorThousandths }) =>
        !hasStrays && peakProcessorThousandths > workerCapacity
    )
        .map(({ id, peakProcessorThousandths }) =>
            `${id} was given ${peakProcessorThousandths} thousandths of a processor`
        );
};

/** In the end the owner uses each running worker with its present incarnation, and knows exactly the runs that it has. */
const seesWorkers: Rule = ({ world }) =>
    world.workers.filter(worker => worker.isUp).flatMap(worker => {
        const known = world.owner.cell.workers.get(worker.id);
        if (known?.isOpen(world.clock.monotonic()) !== true || known.incarnation !== worker.born) {
            return [`${worker.id} is up and not used`];
        }
        const running = world.history.runs.filter(run => run.worker === worker.id && run.endedAt === undefined).length;
        return known.runs.size === running
            ? []
            : [`${worker.id} has ${running} runs, the owner knows of ${known.runs.size}`];
    });

/** Nothing is sent to a closed data hall, whoever has read that it is closed. */
const nothingInClosedHalls: Rule = ({ world }) => world.startsInClosedHalls;

/** All rules by name. */
export const rules: Readonly<Record<string, Rule>> = {
    "done once": doneOnce,
    "one run at work": oneRunAtATime,
    "each job has its end": hasItsEnd,
    "ends are true": trueEnds,
    "crashes are few": fewCrashes,
    "failures are few": fewFailures,
    "room is kept": withinCapacity,
    "workers are seen as they are": seesWorkers,
    "closed halls get nothing": nothingInClosedHalls,
};

/** Whether a job has reached its final state, or runs if it is a lasting one. */
export const isSettled = (world: SimulationWorld, { name, payload }: ScenarioJob): boolean => {
    const state = world.stateOf(name);
    if (payload.startsWith(TaskKind.Lasting)) {
        return state === "failed" || world.runsOf(name).some(run => run.endedAt === undefined);
    }
    return state === "completed" || state === "failed";
};

const isDone = (world: SimulationWorld, { name, payload, tasks }: ScenarioJob): boolean => {
    const hasDone = (task: number) => world.runsOf(name, task).some(run => run.end === RunEnd.Done);
    const all = Array.from({ length: tasks }, (_, task) => hasDone(task));
    return payload.startsWith(TaskKind.Gang) ? all.some(Boolean) : all.every(Boolean);
};

const mayFail = (world: SimulationWorld, { name, payload }: ScenarioJob): boolean => {
    const runs = world.runsOf(name);
    if (payload.startsWith(TaskKind.Crash)) {
        // It can never finish, whichever crashes were attributed to it.
        return runs.some(run => run.hasCrashed);
    }
    const failed = runs.filter(run => run.end === RunEnd.Failed).length;
    // The platform allows a task to fail after two workers crashed under it; the product takes three.
    const lostInCrashes = runs.filter(run => run.end === undefined && run.endedAt !== undefined).length;
    return failed >= attempts || lostInCrashes >= crashingStarts;
};
