/** What must hold in each walk, by what workers and callers see. */
import { RunEnd } from "@pebbledale/cell";
import { describeDuplicate, type DuplicateRun, type SimulationWorld, TaskKind } from "../support/lives/index.js";
import type { Scenario, ScenarioJob } from "./scenarios.js";

/** A walk at its end. */
export interface Outcome {
    readonly world: SimulationWorld;
    readonly scenario: Scenario;
    /** Names of jobs whose callers were told that they are accepted. */
    readonly accepted: ReadonlySet<string>;
    /** How much was amiss. */
    readonly deviations: number;
}

/** A rule; it gives a line for each breach. */
export type Rule = (outcome: Outcome) => string[];

/** How often a task may fail by its own fault, as the queue says. */
const attempts = 3;
/** Starts of a task that crashes its workers: proved three times it is given up. Each fault may hide one crash. */
const crashingStarts = 3;
const workerCapacity = 8_000;

/**
 * An order that was sent to a former life is carried out by the next one before that has heard of a higher token, and its task had been
 * started elsewhere by then, as the former life had shown that it has no such run. Nothing that is sent can keep it from starting, so
 * it is counted and not held against the product. What is ordered after it has started is.
 */
const isStrayDuplicate = ({ run, other }: DuplicateRun): boolean =>
    run.isStray || other.isStray && run.sentAt <= other.startedAt;

/** Repeats that come of orders to former lives. */
export const strayDuplicates = ({ world }: Outcome): DuplicateRun[] =>
    world.history.duplicates().filter(isStrayDuplicate);

const doneOnce: Rule = ({ world }) =>
    world.history.duplicates().filter(repeat => !isStrayDuplicate(repeat) && repeat.isAfterDone).map(describeDuplicate);

const oneAtWork: Rule = ({ world }) =>
    world.history.duplicates().filter(repeat => !isStrayDuplicate(repeat) && !repeat.isAfterDone).map(
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
        const noted = world.runsOf(name).filter(run => run.end === RunEnd.Failed && run.isAcknowledged);
        const last = noted[attempts - 1];
        const later = world.runsOf(name)
            .filter(run => last !== undefined && !run.isStray && run.startedAt > last.endedAt!);
        return later.length > 0 ? [`${name} was started after ${attempts} failed runs`] : [];
    });

const withinRoom: Rule = ({ world }) => {
    const hasStrays = world.history.runs.some(run => run.isStray);
    return world.workers.filter(({ peakProcessorThousandths: mostCharged }) =>
        !hasStrays && mostCharged > workerCapacity
    )
        .map(({ id, peakProcessorThousandths: mostCharged }) =>
            `${id} was given ${mostCharged} thousandths of a processor`
        );
};

/** Once all is quiet the owner uses each worker that is up, as the life that it is, and believes of none that it runs what is over. */
const seesWorkers: Rule = ({ world }) =>
    world.workers.filter(machine => machine.isUp).flatMap(machine => {
        const worker = world.owner.cell.workers.get(machine.id);
        if (worker?.isOpen(world.clock.monotonic()) !== true || worker.incarnation !== machine.born) {
            return [`${machine.id} is up and not used`];
        }
        const atWork = world.history.runs.filter(run => run.worker === machine.id && run.endedAt === undefined).length;
        return worker.runs.size === atWork
            ? []
            : [`${machine.id} has ${atWork} runs, the owner knows of ${worker.runs.size}`];
    });

/** All rules by their names. */
export const rules: Readonly<Record<string, Rule>> = {
    "done once": doneOnce,
    "one run at work": oneAtWork,
    "each job has its end": hasItsEnd,
    "ends are true": trueEnds,
    "crashes are few": fewCrashes,
    "failures are few": fewFailures,
    "room is kept": withinRoom,
    "workers are seen as they are": seesWorkers,
};

/** Whether a job has come to rest. */
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
        // It can never be done, whatever crashes were held against it.
        return runs.some(run => run.hasCrashed);
    }
    const failed = runs.filter(run => run.end === RunEnd.Failed).length;
    // A task under which two workers have crashed may be given up (the users' terms); here three have.
    const wentWithWorkers = runs.filter(run => run.end === undefined && run.endedAt !== undefined).length;
    return failed >= attempts || wentWithWorkers >= crashingStarts;
};
