/**
 * Stops runs of less urgent queues for urgent work that is short of room: those whose progress is saved and whose jobs have ample time.
 * What comes free by itself within the time of a stop is waited for.
 */
import type { Milliseconds } from "@pebbledale/core";
import {
    addAmounts,
    expectedEnd,
    freeResourcesOf,
    type ResourceAmounts,
    resourcesOfRun,
    stopTime,
} from "../choosing/index.js";
import { RunPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { PreemptionPolicy, RunPreemptor } from "../yielding/index.js";
import { maxStopsPerCycle } from "./constants.js";
import type { ServiceHeadroom } from "./service-room.js";

/** A run that may be stopped. */
interface Victim {
    readonly run: TaskRun;
    /** How many more usual urgent tasks fit its worker without it. */
    readonly gain: number;
    /** How many for each core that it holds. */
    readonly gainPerProcessor: number;
}

/** See the module's comment. */
export class HeadroomPreemptor {
    constructor(private readonly policy: PreemptionPolicy, private readonly stopper: RunPreemptor) {}

    /** Makes room for `needed` usual urgent tasks of a priority in all. */
    preempt(
        workers: readonly WorkerState[],
        room: ServiceHeadroom,
        needed: number,
        priority: number,
        now: Milliseconds,
    ): void {
        let missing = needed;
        const victims: Victim[] = [];
        for (const worker of workers) {
            const soon = resourcesSoon(worker, priority, now);
            missing -= room.countTypicalIn(soon);
            victims.push(...this.#victimsAt(worker, soon, room, priority, now));
        }
        let stops = 0;
        for (const { run, gain } of victims.sort(byGainPerProcessor)) {
            if (missing <= 0 || stops >= maxStopsPerCycle) {
                break;
            }
            this.stopper.preempt(run, "urgent work that is short of room");
            missing -= gain;
            stops++;
        }
    }

    /** One run of a worker at most: how much another would add depends on the first. */
    #victimsAt(
        worker: WorkerState,
        soon: ResourceAmounts,
        room: ServiceHeadroom,
        priority: number,
        now: Milliseconds,
    ): Victim[] {
        const fitting = room.countTypicalIn(soon);
        return [...worker.runs.values()]
            .filter(run =>
                expectedEnd(run, now) > now + stopTime && this.policy.mayPreemptForPriority(run, priority, now)
            )
            .map(run => {
                const freed = resourcesOfRun(run);
                const gain = room.countTypicalIn(addAmounts(soon, freed)) - fitting;
                return { run, gain, gainPerProcessor: gain / Math.max(1, freed.processor) };
            })
            .filter(({ gain }) => gain > 0)
            .sort(byGainPerProcessor)
            .slice(0, 1);
    }
}

const byGainPerProcessor = (left: Victim, right: Victim): number =>
    right.gainPerProcessor - left.gainPerProcessor || left.run.percent - right.run.percent;

/** What a worker has free, and will have within the time that a stop takes: urgent runs that end are followed by others. */
const resourcesSoon = (worker: WorkerState, priority: number, now: Milliseconds): ResourceAmounts =>
    [...worker.runs.values()]
        .filter(run =>
            run.phase === RunPhase.Stopping
            || run.task.step.job.terms.priority > priority && expectedEnd(run, now) <= now + stopTime
        )
        .reduce((sum, run) => addAmounts(sum, resourcesOfRun(run)), freeResourcesOf(worker));
