/**
 * Slows down what fills a worker while it keeps a task that serves users from its latency target.
 *
 * The share halves as soon as a tail comes near its target and grows in small steps while all tails are well below: being
 * over the target costs more than working a little less.
 */
import { logEvents } from "@pebbledale/core";
import { type CellContext, fullPace, RunPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { WorkerRun } from "../task-worker/index.js";
import { minPace, paceIncrement, tailNearTarget, tailWellBelowTarget } from "./constants.js";

/** See the module's comment. */
export class FillerPaceController {
    constructor(private readonly context: CellContext) {}

    /** Takes in what the runs of a worker measure. */
    update(worker: WorkerState, seen: readonly (readonly [TaskRun, WorkerRun])[]): void {
        const fillers = seen.map(([run]) => run).filter(isFiller);
        if (fillers.length === 0) {
            worker.fillerPace = fullPace;
            return;
        }
        const pace = this.#paceFor(worker, worstTail(seen));
        if (pace !== worker.fillerPace) {
            this.context.options.log.log(logEvents.fillersPaced, { worker: worker.id, pace, runs: fillers.length });
        }
        worker.fillerPace = pace;
        for (const run of fillers) {
            this.#sendPace(run, pace);
        }
    }

    #paceFor(worker: WorkerState, tail: number | undefined): number {
        if (tail === undefined) {
            return fullPace;
        }
        if (tail > tailNearTarget) {
            const halved = Math.floor(worker.fillerPace / 2);
            return halved < minPace ? 0 : halved;
        }
        return tail < tailWellBelowTarget ? Math.min(fullPace, worker.fillerPace + paceIncrement) : worker.fillerPace;
    }

    #sendPace(run: TaskRun, percent: number): void {
        // A pace below the full one is told again with each look: the order before may have been lost.
        const isTold = run.pace === percent && percent === fullPace;
        if (isTold || run.phase !== RunPhase.Running) {
            return;
        }
        run.pace = percent;
        this.context.outbox.command({
            kind: "pace",
            worker: run.worker.id,
            task: run.task.address,
            run: run.run,
            percent,
        });
    }
}

const isFiller = (run: TaskRun): boolean => run.task.step.definition.fills;

/** The worst tail of the tasks that serve, as a share of its target; undefined when none serves. */
const worstTail = (seen: readonly (readonly [TaskRun, WorkerRun])[]): number | undefined => {
    const tails = seen.flatMap(([run, { measure }]) => {
        const { latencyTarget, fills } = run.task.step.definition;
        return latencyTarget === undefined || fills ? [] : [measure / latencyTarget];
    });
    return tails.length === 0 ? undefined : Math.max(...tails);
};
