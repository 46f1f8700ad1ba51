/** Control of the pace of filler tasks. */
import { logEvents } from "@pebbledale/core";
import { type CellContext, fullPace, RunPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { WorkerRun } from "../task-worker/index.js";
import { minPace, paceIncrement, tailNearTarget, tailWellBelowTarget } from "./constants.js";

/**
 * Slows down the filler tasks of a worker while the latency-sensitive tasks there approach their latency targets.
 *
 * Additive increase, multiplicative decrease: the pace halves as soon as a tail latency comes near its target and grows in small steps
 * while all are well below.
 */
export class FillerPaceController {
    constructor(private readonly context: CellContext) {}

    /** Adjusts the pace of a worker's fillers to the latencies that its runs report. */
    update(worker: WorkerState, reported: readonly (readonly [TaskRun, WorkerRun])[]): void {
        const fillers = reported.map(([run]) => run).filter(isFiller);
        if (fillers.length === 0) {
            worker.fillerPace = fullPace;
            return;
        }
        const pace = this.#paceFor(worker, worstTail(reported));
        if (pace !== worker.fillerPace) {
            this.context.options.log.log(logEvents.fillerPaceChanged, {
                worker: worker.id,
                pace,
                runs: fillers.length,
            });
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
        // A reduced pace is sent again with each poll, as an earlier command may have been lost.
        const isUnchanged = run.pace === percent && percent === fullPace;
        if (isUnchanged || run.phase !== RunPhase.Running) {
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

/** The worst tail latency as a share of its target; undefined when no run has a target. */
const worstTail = (reported: readonly (readonly [TaskRun, WorkerRun])[]): number | undefined => {
    const tails = reported.flatMap(([run, { measure }]) => {
        const { latencyTarget, fills } = run.task.step.definition;
        return latencyTarget === undefined || fills ? [] : [measure / latencyTarget];
    });
    return tails.length === 0 ? undefined : Math.max(...tails);
};
