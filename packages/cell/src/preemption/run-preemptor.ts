/** Preempts single runs. */
import { logEvents } from "@pebbledale/core";
import type { RunLifecycle } from "../runs/index.js";
import type { CellContext, TaskRun } from "../state/index.js";

/** Stops runs for more urgent work, counts the preemptions of their tasks and logs them. */
export class RunPreemptor {
    constructor(private readonly context: CellContext, private readonly runs: RunLifecycle) {}

    /** `by`: what needs its resources, for the log. */
    preempt(run: TaskRun, by: string): void {
        run.task.preemptions++;
        this.runs.stop(run, "preempted by more urgent work");
        this.context.options.log.log(logEvents.runPreempted, {
            task: run.task.address,
            run: run.run,
            worker: run.worker.id,
            percent: run.percent,
            by,
        });
    }
}
