/** Preempts runs for reservations. */
import type { Milliseconds } from "@pebbledale/core";
import type { PreemptionPolicy, RunPreemptor } from "../preemption/index.js";
import {
    addAmounts,
    countFittingIn,
    freeResourcesOf,
    type ReservationPlan,
    type ResourceAmounts,
    resourcesOfRun,
    stopDuration,
} from "../selection/index.js";
import { RunPhase, type Step, type TaskRun, type WorkerState } from "../state/index.js";

/** Carries out plans that count on preemption: stops runs that the policy allows to be stopped, as late as the plan permits. */
export class PlanPreemptor {
    constructor(private readonly preemptor: RunPreemptor, private readonly policy: PreemptionPolicy) {}

    /** Does nothing until the plan waits only for preempted runs and all its workers have tickets. */
    freeResources(step: Step, plan: ReservationPlan, now: Milliseconds): void {
        if (plan.availableAt > now + stopDuration || !this.#hasTickets(step, plan, now)) {
            return;
        }
        for (const [worker, tasks] of plan.tasksByWorker) {
            this.#freeResourcesAt(worker, step, tasks, now);
        }
    }

    #hasTickets({ permits }: Step, { tasksByWorker }: ReservationPlan, now: Milliseconds): boolean {
        return permits === undefined
            || [...tasksByWorker.keys()].every(worker => permits.ticketOf(worker.id, now + stopDuration) !== undefined);
    }

    #freeResourcesAt(worker: WorkerState, step: Step, tasks: number, now: Milliseconds): void {
        const runs = [...worker.runs.values()];
        let resources = runs
            .filter(run => run.phase === RunPhase.Stopping)
            .reduce<ResourceAmounts>((sum, run) => addAmounts(sum, resourcesOfRun(run)), freeResourcesOf(worker));
        const victims: TaskRun[] = [];
        for (const run of runs.filter(other => this.policy.mayPreemptFor(other, step, now)).sort(byProgress)) {
            if (countFittingIn(resources, step) >= tasks) {
                break;
            }
            victims.push(run);
            resources = addAmounts(resources, resourcesOfRun(run));
        }
        if (countFittingIn(resources, step) >= tasks) {
            victims.forEach(victim => this.preemptor.preempt(victim, step.address));
        }
    }
}

/** Least progress first: the others will end soon anyway. */
const byProgress = (left: TaskRun, right: TaskRun): number => left.percent - right.percent;
