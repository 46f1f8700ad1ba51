/** Preempts runs for urgent work that found no resources. */
import type { Milliseconds } from "@pebbledale/core";
import { expectedEnd, type Room, roomOf, roomOfRun, stopTime, sumOf } from "../choosing/index.js";
import { RunPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { RunStopper, YieldPolicy } from "../yielding/index.js";
import { mostStops } from "./constants.js";
import type { ServiceRoom } from "./service-room.js";

/** A run that may be preempted. */
interface Victim {
    readonly run: TaskRun;
    /** How many more typical urgent tasks fit its worker without it. */
    readonly gain: number;
    /** The gain for each thousandth of a processor that the run holds. */
    readonly worth: number;
}

/**
 * Preempts runs of less urgent queues for urgent steps that found no resources, as far as the policy allows. Resources that come free
 * by themselves within the time of a stop are counted first.
 */
export class RoomMaker {
    constructor(private readonly policy: YieldPolicy, private readonly stopper: RunStopper) {}

    /** Preempts until resources for `needed` typical urgent tasks of a priority are free or coming free. */
    make(
        workers: readonly WorkerState[],
        room: ServiceRoom,
        needed: number,
        priority: number,
        now: Milliseconds,
    ): void {
        let missing = needed;
        const victims: Victim[] = [];
        for (const worker of workers) {
            const soon = roomSoon(worker, priority, now);
            missing -= room.countUsual(soon);
            victims.push(...this.#victimsAt(worker, soon, room, priority, now));
        }
        let stops = 0;
        for (const { run, gain } of victims.sort(byWorth)) {
            if (missing <= 0 || stops >= mostStops) {
                break;
            }
            this.stopper.stop(run, "urgent work that did not fit");
            missing -= gain;
            stops++;
        }
    }

    /** At most one run for each worker: the gain of a second one would depend on the first. */
    #victimsAt(worker: WorkerState, soon: Room, room: ServiceRoom, priority: number, now: Milliseconds): Victim[] {
        const fitting = room.countUsual(soon);
        return [...worker.runs.values()]
            .filter(run => expectedEnd(run, now) > now + stopTime && this.policy.yieldsToPriority(run, priority, now))
            .map(run => {
                const freed = roomOfRun(run);
                const gain = room.countUsual(sumOf(soon, freed)) - fitting;
                return { run, gain, worth: gain / Math.max(1, freed.processor) };
            })
            .filter(({ gain }) => gain > 0)
            .sort(byWorth)
            .slice(0, 1);
    }
}

const byWorth = (left: Victim, right: Victim): number =>
    right.worth - left.worth || left.run.percent - right.run.percent;

/**
 * Resources of a worker that are free or come free within the time of a stop. Ending urgent runs are left out, as further urgent work
 * follows them.
 */
const roomSoon = (worker: WorkerState, priority: number, now: Milliseconds): Room =>
    [...worker.runs.values()]
        .filter(run =>
            run.phase === RunPhase.Stopping
            || run.task.step.job.terms.priority > priority && expectedEnd(run, now) <= now + stopTime
        )
        .reduce((sum, run) => sumOf(sum, roomOfRun(run)), roomOf(worker));
