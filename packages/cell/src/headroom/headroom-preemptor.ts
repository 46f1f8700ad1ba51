/** Preempts runs for urgent work that found no resources. */
import type { Milliseconds } from "@pebbledale/core";
import type { PreemptionPolicy, RunPreemptor } from "../preemption/index.js";
import {
    addAmounts,
    expectedEnd,
    freeResourcesOf,
    type ResourceAmounts,
    resourcesOfRun,
    stopDuration,
} from "../selection/index.js";
import { RunPhase, type TaskRun, type WorkerState } from "../state/index.js";
import { maxStopsPerCycle } from "./constants.js";
import type { ServiceHeadroom } from "./service-headroom.js";

/** A run that may be preempted. */
interface Victim {
    readonly run: TaskRun;
    /** How many more typical urgent tasks fit its worker without it. */
    readonly gain: number;
    /** The gain for each thousandth of a processor that the run holds. */
    readonly gainPerProcessor: number;
}

/**
 * Preempts runs of less urgent queues for urgent steps that found no resources, as far as the policy allows. Resources that come free
 * by themselves within the time of a stop are counted first.
 */
export class HeadroomPreemptor {
    constructor(private readonly policy: PreemptionPolicy, private readonly preemptor: RunPreemptor) {}

    /** Preempts until resources for `needed` typical urgent tasks of a priority are free or coming free. */
    preempt(
        workers: readonly WorkerState[],
        headroom: ServiceHeadroom,
        needed: number,
        priority: number,
        now: Milliseconds,
    ): void {
        let missing = needed;
        const victims: Victim[] = [];
        for (const worker of workers) {
            const resources = resourcesSoon(worker, priority, now);
            missing -= headroom.countTypicalIn(resources);
            victims.push(...this.#victimsAt(worker, resources, headroom, priority, now));
        }
        let stops = 0;
        for (const { run, gain } of victims.sort(byGainPerProcessor)) {
            if (missing <= 0 || stops >= maxStopsPerCycle) {
                break;
            }
            this.preemptor.preempt(run, "urgent work that did not fit");
            missing -= gain;
            stops++;
        }
    }

    /** At most one run for each worker: the gain of a second one would depend on the first. */
    #victimsAt(
        worker: WorkerState,
        resources: ResourceAmounts,
        headroom: ServiceHeadroom,
        priority: number,
        now: Milliseconds,
    ): Victim[] {
        const fitting = headroom.countTypicalIn(resources);
        return [...worker.runs.values()]
            .filter(run =>
                expectedEnd(run, now) > now + stopDuration && this.policy.mayPreemptForPriority(run, priority, now)
            )
            .map(run => {
                const freed = resourcesOfRun(run);
                const gain = headroom.countTypicalIn(addAmounts(resources, freed)) - fitting;
                return { run, gain, gainPerProcessor: gain / Math.max(1, freed.processor) };
            })
            .filter(({ gain }) => gain > 0)
            .sort(byGainPerProcessor)
            .slice(0, 1);
    }
}

const byGainPerProcessor = (left: Victim, right: Victim): number =>
    right.gainPerProcessor - left.gainPerProcessor || left.run.percent - right.run.percent;

/**
 * Resources of a worker that are free or come free within the time of a stop. Ending urgent runs are left out, as further urgent work
 * follows them.
 */
const resourcesSoon = (worker: WorkerState, priority: number, now: Milliseconds): ResourceAmounts =>
    [...worker.runs.values()]
        .filter(run =>
            run.phase === RunPhase.Stopping
            || run.task.step.job.terms.priority > priority && expectedEnd(run, now) <= now + stopDuration
        )
        .reduce((sum, run) => addAmounts(sum, resourcesOfRun(run)), freeResourcesOf(worker));
