/**
 * Keeps room for the urgent narrow work that is to be reckoned with soon.
 *
 * The load that it answers: patient work fills a service, and urgent steps of well under a second wait for its runs to end. It acts where
 * urgent steps and a less urgent queue share workers and no gangs do. Patient steps that can wait, and overdue ones, leave as much free
 * as urgent work had lately beyond what it has now.
 */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import { DeadlineStatus, hasSlack, isUrgentNarrow, type RankedStep } from "../choosing/index.js";
import type { CellContext, Step, WorkerState } from "../state/index.js";
import type { PreemptionPolicy, RunPreemptor } from "../yielding/index.js";
import { HeadroomLog } from "./headroom-log.js";
import { HeadroomPreemptor } from "./room-maker.js";
import { ServiceHeadroom } from "./service-room.js";
import type { Headroom } from "./types.js";

/** See the module's comment. */
export class UrgentHeadroom implements Headroom {
    readonly #services = new Map<ServiceName, ServiceHeadroom>();
    /** Steps of this pass that leave room free. */
    readonly #restricted = new Set<Step>();

    readonly #preemptor: HeadroomPreemptor;
    readonly #log: HeadroomLog;
    #openWorkers: readonly WorkerState[] = [];

    constructor(private readonly context: CellContext, policy: PreemptionPolicy, stopper: RunPreemptor) {
        this.#preemptor = new HeadroomPreemptor(policy, stopper);
        this.#log = new HeadroomLog(context.options.log);
    }

    /** See {@link Headroom.beginCycle}. */
    beginCycle(ranked: readonly RankedStep[], open: readonly WorkerState[], now: Milliseconds): void {
        this.#restricted.clear();
        this.#openWorkers = open;
        this.#services.forEach(room => room.beginCycle());
        this.context.workers.forEach(worker => this.#addRuns(worker));
        ranked.forEach(entry => this.#addStep(entry, now));
        this.#services.forEach(room => room.updateDemand(now));
        for (const worker of open) {
            const room = worker.entry && this.#services.get(worker.entry.service);
            room?.addWorker(worker, room.countTypicalAt(worker));
        }
    }

    /** See {@link Headroom.limitFor}. */
    limitFor(worker: WorkerState, step: Step): number {
        const room = this.#restricted.has(step) ? this.#services.get(step.job.terms.service) : undefined;
        if (room === undefined || room.hasGangs) {
            return Infinity;
        }
        let count = worker.countFitting(step, step.tasks.length);
        while (count > 0 && !room.leavesHeadroom(worker, step, count)) {
            count--;
        }
        return count;
    }

    /** See {@link Headroom.notePlaced}. */
    notePlaced(worker: WorkerState, step: Step, count: number): void {
        const room = this.#services.get(step.job.terms.service);
        if (room === undefined) {
            return;
        }
        room.notePlaced(worker, step, count);
        if (isUrgentNarrow(this.context, step)) {
            room.addRunning(step, count);
        }
    }

    /** See {@link Headroom.noteUnplaced}. */
    noteUnplaced(ranked: RankedStep, count: number): void {
        const { step } = ranked;
        if (isUrgentNarrow(this.context, step) && qualifiesForHeadroom(ranked)) {
            this.#services.get(step.job.terms.service)?.addUnplaced(step, count);
        }
    }

    /** See {@link Headroom.endCycle}. */
    endCycle(now: Milliseconds): void {
        const priority = this.context.queues?.mostUrgentPriority ?? 0;
        for (const [service, room] of this.#services) {
            if (room.hasGangs) {
                continue;
            }
            if (room.unplacedTasks > 0) {
                const workers = this.#openWorkers.filter(({ entry }) => entry?.service === service);
                this.#preemptor.preempt(workers, room, room.unplacedTasks, priority, now);
            }
            this.#log.logChange(service, room, now);
        }
    }

    /** See {@link Headroom.headroomOf}. */
    headroomOf(service: ServiceName): number {
        const room = this.#services.get(service);
        return room === undefined || room.hasGangs ? 0 : room.keptProcessor;
    }

    #addRuns(worker: WorkerState): void {
        for (const { task: { step } } of worker.runs.values()) {
            const { definition, job } = step;
            if (definition.isGang) {
                this.#serviceHeadroom(job.terms.service).hasGangs = true;
            }
            else if (isUrgentNarrow(this.context, step)) {
                this.#serviceHeadroom(job.terms.service).addRunning(step, 1);
            }
        }
    }

    #addStep(ranked: RankedStep, now: Milliseconds): void {
        const { step, deadlineStatus: prospect, latestStart } = ranked;
        const { definition, job } = step;
        const room = this.#serviceHeadroom(job.terms.service);
        if (definition.isGang) {
            room.hasGangs = true;
        }
        else if (isUrgentNarrow(this.context, step)) {
            if (qualifiesForHeadroom(ranked)) {
                const left = this.context.usage.countRemaining(job.organisation, definition.size);
                room.addWaiting(step, Math.min(left, step.waitingTasks().length));
            }
        }
        else if (
            prospect === DeadlineStatus.Overdue
            || prospect === DeadlineStatus.OnTime && hasSlack(step, latestStart - now)
        ) {
            this.#restricted.add(step);
        }
    }

    #serviceHeadroom(service: ServiceName): ServiceHeadroom {
        let room = this.#services.get(service);
        if (room === undefined) {
            room = new ServiceHeadroom();
            this.#services.set(service, room);
        }
        return room;
    }
}

/** Whether others leave room for an urgent step: its job is owed and can still earn something. */
const qualifiesForHeadroom = ({ deadlineStatus: prospect, entitlement: standing }: RankedStep): boolean =>
    prospect !== DeadlineStatus.Overdue && standing === 0;
