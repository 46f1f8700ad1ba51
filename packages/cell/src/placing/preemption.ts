/** Preempts runs for reservations. */
import type { Milliseconds } from "@pebbledale/core";
import { countIn, type Room, roomOf, roomOfRun, type RoomPlan, stopTime, sumOf } from "../choosing/index.js";
import { RunPhase, type Step, type TaskRun, type WorkerState } from "../state/index.js";
import type { RunStopper, YieldPolicy } from "../yielding/index.js";

/** Carries out plans that count on preemption: stops runs that the policy allows to be stopped, as late as the plan permits. */
export class Preemption {
    constructor(private readonly stopper: RunStopper, private readonly policy: YieldPolicy) {}

    /** Does nothing until the plan waits only for preempted runs and all its workers have tickets. */
    makeRoom(step: Step, plan: RoomPlan, now: Milliseconds): void {
        if (plan.from > now + stopTime || !this.#hasTickets(step, plan, now)) {
            return;
        }
        for (const [worker, tasks] of plan.shares) {
            this.#makeRoomAt(worker, step, tasks, now);
        }
    }

    #hasTickets({ permits }: Step, { shares }: RoomPlan, now: Milliseconds): boolean {
        return permits === undefined
            || [...shares.keys()].every(worker => permits.ticketOf(worker.id, now + stopTime) !== undefined);
    }

    #makeRoomAt(worker: WorkerState, step: Step, tasks: number, now: Milliseconds): void {
        const runs = [...worker.runs.values()];
        let room = runs
            .filter(run => run.phase === RunPhase.Stopping)
            .reduce<Room>((sum, run) => sumOf(sum, roomOfRun(run)), roomOf(worker));
        const victims: TaskRun[] = [];
        for (const run of runs.filter(other => this.policy.yieldsTo(other, step, now)).sort(byProgress)) {
            if (countIn(room, step) >= tasks) {
                break;
            }
            victims.push(run);
            room = sumOf(room, roomOfRun(run));
        }
        if (countIn(room, step) >= tasks) {
            victims.forEach(victim => this.stopper.stop(victim, step.address));
        }
    }
}

/** Least progress first: the others will end soon anyway. */
const byProgress = (left: TaskRun, right: TaskRun): number => left.percent - right.percent;
