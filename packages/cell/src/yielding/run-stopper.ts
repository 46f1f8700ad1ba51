/** Stops runs so that more urgent work has their room. */
import { logEvents } from "@pebbledale/core";
import type { RunLifecycle } from "../runs/index.js";
import type { CellContext, TaskRun } from "../state/index.js";

/** See the module's comment. */
export class RunPreemptor {
    constructor(private readonly context: CellContext, private readonly runs: RunLifecycle) {}

    /** Stops a run. `by`: what needs its room, for the log. */
    preempt(run: TaskRun, by: string): void {
        run.task.preemptions++;
        this.runs.stop(run, "more urgent work needs its room");
        this.context.options.log.log(logEvents.runPreempted, {
            task: run.task.address,
            run: run.run,
            worker: run.worker.id,
            percent: run.percent,
            by,
        });
    }
}
