/** Monitoring of workers by the progress of their runs. */
import { logEvents, type Milliseconds } from "@pebbledale/core";
import type { CellContext, Step, TaskRun, WorkerState } from "../state/index.js";
import type { WorkerRun } from "../task-worker/index.js";
import { maxSlowShare, slowDuration } from "./constants.js";
import { medianOf } from "./median.js";
import { paceOfCompleted, type RunPace, sampleRun } from "./run-paces.js";
import { assessSpeed, isSlow, type SpeedFinding, type StepSamples } from "./slowness.js";
import { StepPaces } from "./step-paces.js";

/** Detects workers on which runs stall or are slow. They accept no new runs, and their runs are migrated or copied where possible. */
export class ProgressMonitor {
    readonly #paces = new StepPaces();

    constructor(private readonly context: CellContext) {}

    /** Records the progress of a worker's runs and judges the worker by it. `clock`: the worker's own clock at the time of the report. */
    recordProgress(
        worker: WorkerState,
        reported: readonly (readonly [TaskRun, WorkerRun])[],
        clock: Milliseconds,
    ): void {
        const now = this.context.now();
        const samples = new Map<Step, RunPace[]>();
        for (const [run, progress] of reported) {
            const sample = sampleRun(run, progress, clock, now);
            const { step } = run.task;
            if (sample !== undefined) {
                samples.set(step, [...samples.get(step) ?? [], sample]);
            }
        }
        const finding = assessSpeed([...samples].map(([step, paces]) => this.#samplesOf(worker, step, paces)));
        samples.forEach((paces, step) =>
            this.#paces.recordPace(step, worker.id, medianOf(paces.map(({ pace }) => pace)))
        );
        if (finding !== undefined) {
            this.#judge(worker, finding, now);
        }
    }

    /** Records the duration of a completed run as a reference for tasks of its step on other workers. */
    recordCompletion(run: TaskRun): void {
        const pace = paceOfCompleted(run, this.context.now());
        if (pace !== undefined) {
            this.#paces.recordPace(run.task.step, run.worker.id, pace);
        }
    }

    /** Whether a worker is slow or does not answer, so that its runs are worth copying. */
    isDegraded(worker: WorkerState, now: Milliseconds): boolean {
        return worker.slowUntil > now || worker.silentSince !== undefined;
    }

    #samplesOf(worker: WorkerState, step: Step, paces: readonly RunPace[]): StepSamples {
        return {
            job: step.job.id,
            paces: paces.map(({ pace }) => pace),
            // Members of a gang may slow each other down.
            changes: step.definition.isGang
                ? []
                : paces.flatMap(({ pace, earlierPace }) => earlierPace === undefined ? [] : [pace - earlierPace]),
            roundingVariance: Math.max(...paces.map(({ roundingVariance }) => roundingVariance)),
            expected: this.#paces.expectedPaceOf(step, worker.id),
        };
    }

    #judge(worker: WorkerState, finding: SpeedFinding, now: Milliseconds): void {
        const wasSlow = worker.slowUntil > now;
        if (!isSlow(finding)) {
            worker.slowUntil = 0;
            if (wasSlow) {
                this.context.options.log.log(logEvents.workerFast, { worker: worker.id, ...logFieldsOf(finding) });
            }
            return;
        }
        const all = [...this.context.workers.values()];
        const slow = all.filter(other => other !== worker && other.slowUntil > now).length;
        if (slow + 1 > all.length * maxSlowShare) {
            // A slow worker is an outlier; with this many at once the comparison itself is in doubt.
            return;
        }
        worker.slowUntil = now + slowDuration;
        if (!wasSlow) {
            const { size: runs } = worker.runs;
            this.context.options.log.log(logEvents.workerSlow, { worker: worker.id, ...logFieldsOf(finding), runs });
        }
    }
}

const logFieldsOf = ({ baseline, speed, deviations, samples }: SpeedFinding) => ({
    ground: baseline,
    speed: Number(speed.toFixed(3)),
    deviations: Number(deviations.toFixed(1)),
    samples,
});
