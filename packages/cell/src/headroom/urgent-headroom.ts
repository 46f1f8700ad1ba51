/** Headroom for expected urgent demand. */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import { hasSlack, isUrgentNarrow, Prospect, type RankedStep } from "../choosing/index.js";
import type { CellContext, Step, WorkerState } from "../state/index.js";
import type { RunStopper, YieldPolicy } from "../yielding/index.js";
import { HeadroomLog } from "./headroom-log.js";
import { RoomMaker } from "./room-maker.js";
import { ServiceRoom } from "./service-room.js";
import type { Headroom } from "./types.js";

/**
 * Keeps capacity free for the urgent narrow work that is expected soon, so that urgent steps of well under a second need not wait for runs
 * of deferrable work that fills their service.
 *
 * Deferrable and overdue steps leave as much free as the recent peak of urgent demand exceeds the running urgent work. Services with
 * gangs are left out.
 */
export class UrgentHeadroom implements Headroom {
    readonly #services = new Map<ServiceName, ServiceRoom>();
    /** Steps of this cycle that must leave the headroom free. */
    readonly #leaving = new Set<Step>();

    readonly #maker: RoomMaker;
    readonly #log: HeadroomLog;
    #open: readonly WorkerState[] = [];

    constructor(private readonly context: CellContext, policy: YieldPolicy, stopper: RunStopper) {
        this.#maker = new RoomMaker(policy, stopper);
        this.#log = new HeadroomLog(context.options.log);
    }

    begin(ranked: readonly RankedStep[], open: readonly WorkerState[], now: Milliseconds): void {
        this.#leaving.clear();
        this.#open = open;
        this.#services.forEach(room => room.begin());
        this.context.workers.forEach(worker => this.#addRuns(worker));
        ranked.forEach(entry => this.#addStep(entry, now));
        this.#services.forEach(room => room.settleDemand(now));
        for (const worker of open) {
            const room = worker.entry && this.#services.get(worker.entry.service);
            room?.addWorker(worker, room.fittingAt(worker));
        }
    }

    limitFor(worker: WorkerState, step: Step): number {
        const room = this.#leaving.has(step) ? this.#services.get(step.job.terms.service) : undefined;
        if (room === undefined || room.hasGangs) {
            return Infinity;
        }
        let count = worker.countFitting(step, step.tasks.length);
        while (count > 0 && !room.leavesEnough(worker, step, count)) {
            count--;
        }
        return count;
    }

    take(worker: WorkerState, step: Step, count: number): void {
        const room = this.#services.get(step.job.terms.service);
        if (room === undefined) {
            return;
        }
        room.take(worker, step, count);
        if (isUrgentNarrow(this.context, step)) {
            room.addRunning(step, count);
        }
    }

    noteShortage(ranked: RankedStep, count: number): void {
        const { step } = ranked;
        if (isUrgentNarrow(this.context, step) && isWorthRoom(ranked)) {
            this.#services.get(step.job.terms.service)?.addShort(step, count);
        }
    }

    end(now: Milliseconds): void {
        const priority = this.context.queues?.mostUrgent ?? 0;
        for (const [service, room] of this.#services) {
            if (room.hasGangs) {
                continue;
            }
            if (room.shortTasks > 0) {
                const workers = this.#open.filter(({ entry }) => entry?.service === service);
                this.#maker.make(workers, room, room.shortTasks, priority, now);
            }
            this.#log.note(service, room, now);
        }
    }

    keptIn(service: ServiceName): number {
        const room = this.#services.get(service);
        return room === undefined || room.hasGangs ? 0 : room.keptProcessor;
    }

    #addRuns(worker: WorkerState): void {
        for (const { task: { step } } of worker.runs.values()) {
            const { definition, job } = step;
            if (definition.isGang) {
                this.#roomOf(job.terms.service).hasGangs = true;
            }
            else if (isUrgentNarrow(this.context, step)) {
                this.#roomOf(job.terms.service).addRunning(step, 1);
            }
        }
    }

    #addStep(ranked: RankedStep, now: Milliseconds): void {
        const { step, prospect, latestStart } = ranked;
        const { definition, job } = step;
        const room = this.#roomOf(job.terms.service);
        if (definition.isGang) {
            room.hasGangs = true;
        }
        else if (isUrgentNarrow(this.context, step)) {
            if (isWorthRoom(ranked)) {
                const left = this.context.usage.countLeft(job.organisation, definition.size);
                room.addWaiting(step, Math.min(left, step.waitingTasks().length));
            }
        }
        else if (prospect === Prospect.Overdue || prospect === Prospect.OnTime && hasSlack(step, latestStart - now)) {
            this.#leaving.add(step);
        }
    }

    #roomOf(service: ServiceName): ServiceRoom {
        let room = this.#services.get(service);
        if (room === undefined) {
            room = new ServiceRoom();
            this.#services.set(service, room);
        }
        return room;
    }
}

/** Whether headroom is kept for an urgent step: it is within its organisation's entitlement and not overdue. */
const isWorthRoom = ({ prospect, standing }: RankedStep): boolean => prospect !== Prospect.Overdue && standing === 0;
