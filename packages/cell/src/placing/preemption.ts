/**
 * Lets more urgent work have the room of runs that lose nothing by being stopped: their progress is saved at the stop, and
 * their jobs have the time to go on elsewhere or later.
 */
import type { Milliseconds } from "@pebbledale/core";
import {
    addAmounts,
    countFittingIn,
    freeResourcesOf,
    type ReservationPlan,
    type ResourceAmounts,
    resourcesOfRun,
    stopTime,
} from "../choosing/index.js";
import { RunPhase, type Step, type TaskRun, type WorkerState } from "../state/index.js";
import type { PreemptionPolicy, RunPreemptor } from "../yielding/index.js";

/** See the module's comment. */
export class PlanPreemptor {
    constructor(private readonly stopper: RunPreemptor, private readonly policy: PreemptionPolicy) {}

    /** Stops what stands in the way of a plan, once all that is to end by itself has ended and tickets are there. */
    freeResources(step: Step, plan: ReservationPlan, now: Milliseconds): void {
        if (plan.availableAt > now + stopTime || !this.#hasTickets(step, plan, now)) {
            return;
        }
        for (const [worker, tasks] of plan.tasksByWorker) {
            this.#freeResourcesAt(worker, step, tasks, now);
        }
    }

    #hasTickets({ permits }: Step, { tasksByWorker: shares }: ReservationPlan, now: Milliseconds): boolean {
        return permits === undefined
            || [...shares.keys()].every(worker => permits.ticketOf(worker.id, now + stopTime) !== undefined);
    }

    #freeResourcesAt(worker: WorkerState, step: Step, tasks: number, now: Milliseconds): void {
        const runs = [...worker.runs.values()];
        let room = runs
            .filter(run => run.phase === RunPhase.Stopping)
            .reduce<ResourceAmounts>((sum, run) => addAmounts(sum, resourcesOfRun(run)), freeResourcesOf(worker));
        const victims: TaskRun[] = [];
        for (const run of runs.filter(other => this.policy.mayPreemptFor(other, step, now)).sort(byProgress)) {
            if (countFittingIn(room, step) >= tasks) {
                break;
            }
            victims.push(run);
            room = addAmounts(room, resourcesOfRun(run));
        }
        if (countFittingIn(room, step) >= tasks) {
            victims.forEach(victim => this.stopper.preempt(victim, step.address));
        }
    }
}

/** Runs that have the most left go first: the others are about to end by themselves. */
const byProgress = (left: TaskRun, right: TaskRun): number => left.percent - right.percent;
