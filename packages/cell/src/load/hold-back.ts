/**
 * Decides which patient work waits so that room adds up for urgent wide work.
 *
 * The load that it answers: a cell near its limits, in which gangs need the room of several workers at one moment, while
 * small tasks of less urgent queues take each bit of room as it opens, long before they have to. Such a task then waits
 * until its job could no longer be on time otherwise. Holding it to what a gang leaves over is no substitute: room adds up
 * only where nothing is put into the gaps meanwhile.
 */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import { countFittingIn, DeadlineStatus, freeResourcesOf, hasSlack, type RankedStep } from "../choosing/index.js";
import type { Step, WorkerState } from "../state/index.js";
import { blockedGangDelay, maxFreeShare, maxIdleShare } from "./constants.js";

/** Room of one service. */
interface ServiceCapacity {
    readonly open: WorkerState[];
    processor: number;
    freeProcessor: number;
    /** Share of it that is free for a gang that is short of room. */
    freeShare: number;
    /** The most urgent priority of which a gang is short of room; lower figures are more urgent. */
    blockedPriority: number;
}

/** See the module's comment. */
export class GangDeferral {
    readonly #services = new Map<ServiceName, ServiceCapacity>();

    /** Begins a pass over what waits. `open`: workers that may be ordered. */
    beginCycle(open: readonly WorkerState[]): void {
        this.#services.clear();
        for (const worker of open) {
            const { entry, freeProcessor } = worker;
            if (entry !== undefined) {
                const room = this.#capacityOf(entry.service);
                room.open.push(worker);
                room.processor += entry.capacity.processorThousandths;
                room.freeProcessor += Math.max(0, freeProcessor);
            }
        }
    }

    /** A gang found no room in this pass. */
    noteBlockedGang({ step, deadlineStatus: prospect, priority }: RankedStep, now: Milliseconds): void {
        const hasWaited = now - (step.readyAt ?? now) >= blockedGangDelay;
        if (hasWaited && prospect === DeadlineStatus.OnTime) {
            const room = this.#capacityOf(step.job.terms.service);
            room.blockedPriority = Math.min(room.blockedPriority, priority);
            room.freeShare = Math.min(room.freeShare, freeShareFor(step, room));
        }
    }

    /** Whether tasks of a step are to wait, though there may be room for them. */
    mustWait({ step, deadlineStatus: prospect, priority, latestStart }: RankedStep, now: Milliseconds): boolean {
        const { blockedPriority: shortPriority, freeShare, processor, freeProcessor } = this.#capacityOf(
            step.job.terms.service,
        );
        return prospect === DeadlineStatus.OnTime
            && priority > shortPriority
            && hasSlack(step, latestStart - now)
            && freeShare <= maxFreeShare
            && freeProcessor <= processor * maxIdleShare;
    }

    #capacityOf(service: ServiceName): ServiceCapacity {
        const room = this.#services.get(service)
            ?? { open: [], processor: 0, freeProcessor: 0, freeShare: 1, blockedPriority: Infinity };
        this.#services.set(service, room);
        return room;
    }
}

/** Of tasks with accelerators, how many fit as a share of those that would fit idle workers: processors alone may be free in plenty. */
const freeShareFor = (step: Step, { open, processor, freeProcessor }: ServiceCapacity): number => {
    if (step.definition.size.accelerators === 0) {
        return freeProcessor / processor;
    }
    let places = 0;
    let free = 0;
    for (const worker of open) {
        places += worker.countWhenEmpty(step);
        free += countFittingIn(freeResourcesOf(worker), step);
    }
    return free / Math.max(1, places);
};
