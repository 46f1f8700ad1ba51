/**
 * Decides which patient work waits so that room adds up for urgent wide work.
 *
 * The load that it answers: a cell near its limits, in which gangs need the room of several workers at one moment, while
 * small tasks of less urgent queues take each bit of room as it opens, long before they have to. Such a task then waits
 * until its job could no longer be on time otherwise. Holding it to what a gang leaves over is no substitute: room adds up
 * only where nothing is put into the gaps meanwhile.
 */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import { countIn, hasSlack, Prospect, type RankedStep, roomOf } from "../choosing/index.js";
import type { Step, WorkerState } from "../state/index.js";
import { gangPatience, mostFreeShare, mostIdleShare } from "./constants.js";

/** Room of one service. */
interface ServiceRoom {
    readonly open: WorkerState[];
    processor: number;
    freeProcessor: number;
    /** Share of it that is free for a gang that is short of room. */
    freeShare: number;
    /** The most urgent priority of which a gang is short of room; lower figures are more urgent. */
    shortPriority: number;
}

/** See the module's comment. */
export class HoldBack {
    readonly #services = new Map<ServiceName, ServiceRoom>();

    /** Begins a pass over what waits. `open`: workers that may be ordered. */
    begin(open: readonly WorkerState[]): void {
        this.#services.clear();
        for (const worker of open) {
            const { entry, freeProcessor } = worker;
            if (entry !== undefined) {
                const room = this.#roomOf(entry.service);
                room.open.push(worker);
                room.processor += entry.capacity.processorThousandths;
                room.freeProcessor += Math.max(0, freeProcessor);
            }
        }
    }

    /** A gang found no room in this pass. */
    noteShortage({ step, prospect, priority }: RankedStep, now: Milliseconds): void {
        const hasWaited = now - (step.readyAt ?? now) >= gangPatience;
        if (hasWaited && prospect === Prospect.OnTime) {
            const room = this.#roomOf(step.job.terms.service);
            room.shortPriority = Math.min(room.shortPriority, priority);
            room.freeShare = Math.min(room.freeShare, freeShareFor(step, room));
        }
    }

    /** Whether tasks of a step are to wait, though there may be room for them. */
    holds({ step, prospect, priority, latestStart }: RankedStep, now: Milliseconds): boolean {
        const { shortPriority, freeShare, processor, freeProcessor } = this.#roomOf(step.job.terms.service);
        return prospect === Prospect.OnTime
            && priority > shortPriority
            && hasSlack(step, latestStart - now)
            && freeShare <= mostFreeShare
            && freeProcessor <= processor * mostIdleShare;
    }

    #roomOf(service: ServiceName): ServiceRoom {
        const room = this.#services.get(service)
            ?? { open: [], processor: 0, freeProcessor: 0, freeShare: 1, shortPriority: Infinity };
        this.#services.set(service, room);
        return room;
    }
}

/** Of tasks with accelerators, how many fit as a share of those that would fit idle workers: processors alone may be free in plenty. */
const freeShareFor = (step: Step, { open, processor, freeProcessor }: ServiceRoom): number => {
    if (step.definition.size.accelerators === 0) {
        return freeProcessor / processor;
    }
    let places = 0;
    let free = 0;
    for (const worker of open) {
        places += worker.countWhenEmpty(step);
        free += countIn(roomOf(worker), step);
    }
    return free / Math.max(1, places);
};
