/** Deferral of work in favour of blocked gangs. */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import { countFittingIn, DeadlineStatus, freeResourcesOf, hasSlack, type RankedStep } from "../selection/index.js";
import type { Step, WorkerState } from "../state/index.js";
import { blockedGangDelay, maxFreeShare, maxIdleShare } from "./constants.js";

/** Capacity of one service in this cycle. */
interface ServiceCapacity {
    readonly openWorkers: WorkerState[];
    processor: number;
    freeProcessor: number;
    /** Lowest share of free capacity among blocked gangs; 1 when there are none. */
    freeShare: number;
    /** The most urgent priority of a blocked gang; `Infinity` when there is none. */
    blockedPriority: number;
}

/**
 * Defers work of less urgent queues while a gang is blocked, so that free resources accumulate for it.
 *
 * In a cell near its limits, small tasks would otherwise take each bit of capacity as it comes free, long before their deadlines
 * require it. They wait as long as they have slack. Backfilling around the gang's reservation alone does not suffice, as resources
 * accumulate only where the gaps stay empty.
 */
export class GangDeferral {
    readonly #services = new Map<ServiceName, ServiceCapacity>();

    /** Begins a cycle. `openWorkers`: workers that accept new runs. */
    beginCycle(openWorkers: readonly WorkerState[]): void {
        this.#services.clear();
        for (const worker of openWorkers) {
            const { entry, freeProcessor } = worker;
            if (entry !== undefined) {
                const capacity = this.#capacityOf(entry.service);
                capacity.openWorkers.push(worker);
                capacity.processor += entry.capacity.processorThousandths;
                capacity.freeProcessor += Math.max(0, freeProcessor);
            }
        }
    }

    /** Reports a gang that does not fit in this cycle. */
    noteBlockedGang({ step, deadlineStatus, priority }: RankedStep, now: Milliseconds): void {
        const hasWaited = now - (step.readyAt ?? now) >= blockedGangDelay;
        if (hasWaited && deadlineStatus === DeadlineStatus.OnTime) {
            const capacity = this.#capacityOf(step.job.terms.service);
            capacity.blockedPriority = Math.min(capacity.blockedPriority, priority);
            capacity.freeShare = Math.min(capacity.freeShare, freeShareFor(step, capacity));
        }
    }

    /** Whether tasks of a step must wait even where they fit. */
    mustWait({ step, deadlineStatus, priority, latestStart }: RankedStep, now: Milliseconds): boolean {
        const { blockedPriority, freeShare, processor, freeProcessor } = this.#capacityOf(
            step.job.terms.service,
        );
        return deadlineStatus === DeadlineStatus.OnTime
            && priority > blockedPriority
            && hasSlack(step, latestStart - now)
            && freeShare <= maxFreeShare
            && freeProcessor <= processor * maxIdleShare;
    }

    #capacityOf(service: ServiceName): ServiceCapacity {
        const capacity = this.#services.get(service)
            ?? { openWorkers: [], processor: 0, freeProcessor: 0, freeShare: 1, blockedPriority: Infinity };
        this.#services.set(service, capacity);
        return capacity;
    }
}

/**
 * Free share of a service's processors, or for a gang with accelerators the share of its tasks that fit now among those that would fit
 * idle workers.
 */
const freeShareFor = (step: Step, { openWorkers, processor, freeProcessor }: ServiceCapacity): number => {
    if (step.definition.size.accelerators === 0) {
        return freeProcessor / processor;
    }
    let fittingWhenEmpty = 0;
    let fittingNow = 0;
    for (const worker of openWorkers) {
        fittingWhenEmpty += worker.countWhenEmpty(step);
        fittingNow += countFittingIn(freeResourcesOf(worker), step);
    }
    return fittingNow / Math.max(1, fittingWhenEmpty);
};
