/** Headroom for expected urgent demand. */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import type { PreemptionPolicy, RunPreemptor } from "../preemption/index.js";
import { DeadlineStatus, hasSlack, isUrgentNarrow, type RankedStep } from "../selection/index.js";
import type { CellContext, Step, WorkerState } from "../state/index.js";
import { HeadroomLog } from "./headroom-log.js";
import { HeadroomPreemptor } from "./headroom-preemptor.js";
import { ServiceHeadroom } from "./service-headroom.js";
import type { Headroom } from "./types.js";

/**
 * Keeps capacity free for the urgent narrow work that is expected soon, so that urgent steps of well under a second need not wait for runs
 * of deferrable work that fills their service.
 *
 * Deferrable and overdue steps leave as much free as the recent peak of urgent demand exceeds the running urgent work. Services with
 * gangs are left out.
 */
export class UrgentHeadroom implements Headroom {
    readonly #services = new Map<ServiceName, ServiceHeadroom>();
    /** Steps of this cycle that must leave the headroom free. */
    readonly #restricted = new Set<Step>();

    readonly #preemptor: HeadroomPreemptor;
    readonly #log: HeadroomLog;
    #openWorkers: readonly WorkerState[] = [];

    constructor(private readonly context: CellContext, policy: PreemptionPolicy, runPreemptor: RunPreemptor) {
        this.#preemptor = new HeadroomPreemptor(policy, runPreemptor);
        this.#log = new HeadroomLog(context.options.log);
    }

    beginCycle(ranked: readonly RankedStep[], openWorkers: readonly WorkerState[], now: Milliseconds): void {
        this.#restricted.clear();
        this.#openWorkers = openWorkers;
        this.#services.forEach(headroom => headroom.beginCycle(now));
        this.context.workers.forEach(worker => this.#addRuns(worker, now));
        ranked.forEach(entry => this.#addStep(entry, now));
        this.#services.forEach(headroom => headroom.updateDemand(now));
        for (const worker of openWorkers) {
            const headroom = worker.entry && this.#services.get(worker.entry.service);
            headroom?.addWorker(worker, headroom.countTypicalAt(worker));
        }
    }

    limitFor(worker: WorkerState, step: Step): number {
        const headroom = this.#restricted.has(step) ? this.#services.get(step.job.terms.service) : undefined;
        if (headroom === undefined || headroom.hasGangs) {
            return Infinity;
        }
        let count = worker.countFitting(step, step.tasks.length);
        while (count > 0 && !headroom.leavesHeadroom(worker, step, count)) {
            count--;
        }
        return count;
    }

    notePlaced(worker: WorkerState, step: Step, count: number): void {
        const headroom = this.#services.get(step.job.terms.service);
        if (headroom === undefined) {
            return;
        }
        headroom.notePlaced(worker, step, count);
        if (isUrgentNarrow(this.context, step)) {
            headroom.addRunning(step, count);
        }
    }

    noteUnplaced(ranked: RankedStep, count: number): void {
        const { step } = ranked;
        if (isUrgentNarrow(this.context, step) && qualifiesForHeadroom(ranked)) {
            this.#services.get(step.job.terms.service)?.addUnplaced(step, count);
        }
    }

    endCycle(now: Milliseconds): void {
        const priority = this.context.queues?.mostUrgentPriority ?? 0;
        for (const [service, headroom] of this.#services) {
            if (headroom.hasGangs) {
                continue;
            }
            if (headroom.unplacedTasks > 0) {
                const workers = this.#openWorkers.filter(({ entry }) => entry?.service === service);
                this.#preemptor.preempt(workers, headroom, headroom.unplacedTasks, priority, now);
            }
            this.#log.logChange(service, headroom, now);
        }
    }

    headroomOf(service: ServiceName): number {
        const headroom = this.#services.get(service);
        return headroom === undefined || headroom.hasGangs ? 0 : headroom.headroomProcessor;
    }

    #addRuns(worker: WorkerState, now: Milliseconds): void {
        for (const { task: { step } } of worker.runs.values()) {
            const { definition, job } = step;
            if (definition.isGang) {
                this.#serviceHeadroom(job.terms.service).noteGang(now);
            }
            else if (isUrgentNarrow(this.context, step)) {
                this.#serviceHeadroom(job.terms.service).addRunning(step, 1);
            }
        }
    }

    #addStep(ranked: RankedStep, now: Milliseconds): void {
        const { step, deadlineStatus, latestStart } = ranked;
        const { definition, job } = step;
        const headroom = this.#serviceHeadroom(job.terms.service);
        if (definition.isGang) {
            headroom.noteGang(now);
        }
        else if (isUrgentNarrow(this.context, step)) {
            if (qualifiesForHeadroom(ranked)) {
                const left = this.context.usage.countRemaining(job.organisation, definition.size);
                headroom.addWaiting(step, Math.min(left, step.waitingTasks().length));
            }
        }
        else if (
            deadlineStatus === DeadlineStatus.Overdue
            || deadlineStatus === DeadlineStatus.OnTime && hasSlack(step, latestStart - now)
        ) {
            this.#restricted.add(step);
        }
    }

    #serviceHeadroom(service: ServiceName): ServiceHeadroom {
        let headroom = this.#services.get(service);
        if (headroom === undefined) {
            headroom = new ServiceHeadroom();
            this.#services.set(service, headroom);
        }
        return headroom;
    }
}

/** Whether headroom is kept for an urgent step: it is within its organisation's entitlement and not overdue. */
const qualifiesForHeadroom = ({ deadlineStatus, entitlement }: RankedStep): boolean =>
    deadlineStatus !== DeadlineStatus.Overdue && entitlement === 0;
