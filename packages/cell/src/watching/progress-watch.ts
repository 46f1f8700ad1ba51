/**
 * Finds workers on which tasks stand still or are slow.
 *
 * A worker that is slow takes nothing new while it is, and what runs there is moved where that loses nothing: tasks that save their
 * progress are stopped and go on elsewhere, tasks that may have copies get one.
 */
import { logEvents, type Milliseconds } from "@pebbledale/core";
import type { CellContext, Step, TaskRun, WorkerState } from "../state/index.js";
import type { WorkerRun } from "../task-worker/index.js";
import { maxSlowShare, slowDuration } from "./constants.js";
import { medianOf } from "./middle.js";
import { paceOfCompleted, type RunPace, sampleRun } from "./run-paces.js";
import { assessSpeed, isSlow, type SpeedFinding, type StepSamples } from "./slowness.js";
import { StepPaces } from "./step-paces.js";

/** See the module's comment. */
export class ProgressMonitor {
    readonly #paces = new StepPaces();

    constructor(private readonly context: CellContext) {}

    /** Takes in how far the runs of a worker are. `clock`: the worker's own, when it said so. */
    note(worker: WorkerState, seen: readonly (readonly [TaskRun, WorkerRun])[], clock: Milliseconds): void {
        const now = this.context.now();
        const samples = new Map<Step, RunPace[]>();
        for (const [run, progress] of seen) {
            const sample = sampleRun(run, progress, clock, now);
            const { step } = run.task;
            if (sample !== undefined) {
                samples.set(step, [...samples.get(step) ?? [], sample]);
            }
        }
        const finding = assessSpeed([...samples].map(([step, paces]) => this.#samplesOf(worker, step, paces)));
        samples.forEach((paces, step) => this.#paces.note(step, worker.id, medianOf(paces.map(({ pace }) => pace))));
        if (finding !== undefined) {
            this.#judge(worker, finding, now);
        }
    }

    /** Takes in that a run has ended well: its time tells of its step's tasks elsewhere. */
    noteDone(run: TaskRun): void {
        const pace = paceOfCompleted(run, this.context.now());
        if (pace !== undefined) {
            this.#paces.note(run.task.step, run.worker.id, pace);
        }
    }

    /** Whether runs of a worker are worth moving: it is slow, or it does not answer. */
    isDegraded(worker: WorkerState, now: Milliseconds): boolean {
        return worker.slowUntil > now || worker.silentSince !== undefined;
    }

    #samplesOf(worker: WorkerState, step: Step, paces: readonly RunPace[]): StepSamples {
        return {
            job: step.job.id,
            paces: paces.map(({ pace }) => pace),
            // Members of a gang may hold each other up.
            changes: step.definition.isGang
                ? []
                : paces.flatMap(({ pace, earlierPace: formerPace }) =>
                    formerPace === undefined ? [] : [pace - formerPace]
                ),
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
            // That many at once are no outliers.
            return;
        }
        worker.slowUntil = now + slowDuration;
        if (!wasSlow) {
            const { size: runs } = worker.runs;
            this.context.options.log.log(logEvents.workerSlow, { worker: worker.id, ...logFieldsOf(finding), runs });
        }
    }
}

/** A finding as log lines tell it. */
const logFieldsOf = ({ baseline: ground, speed, deviations, samples }: SpeedFinding) => ({
    ground,
    speed: Number(speed.toFixed(3)),
    deviations: Number(deviations.toFixed(1)),
    samples,
});
