/** The way of jobs from step to step: which steps are opened, when an occurrence is let go of, and when a job is. */
import { logEvents } from "@pebbledale/core";
import type { Placer } from "../placing/index.js";
import { type CellContext, CellJobState, isEndState, type Job, type Occurrence, type Step } from "../state/index.js";
import type { HealthWatch } from "../watching/index.js";
import type { TimetableWatch } from "./timetable-watch.js";

/** What the way of a job leads through. */
export interface JobFlowParts {
    readonly placer: Placer;
    readonly timetables: TimetableWatch;
    readonly health: HealthWatch;
}

/** See the module's comment. */
export class JobFlow {
    /** `onWork`: told when there may be something to place. */
    constructor(
        private readonly context: CellContext,
        private readonly parts: JobFlowParts,
        private readonly onWork: () => void,
    ) {}

    /** Shows the state of a job whose records are kept: a final one only then. */
    showState(job: Job | undefined): void {
        if (job !== undefined && (job.shownState === CellJobState.Queued || isEndState(job.state))) {
            job.shownState = job.state;
        }
    }

    /** Opens the steps of a job that wait for nothing. */
    openSteps(job: Job): void {
        if (job.isOver) {
            return;
        }
        this.parts.timetables.add(job);
        for (const occurrence of job.occurrences.values()) {
            this.openOccurrence(occurrence);
        }
        this.onWork();
    }

    /** Opens the steps of an occurrence that wait for nothing any more. */
    openOccurrence(occurrence: Occurrence): void {
        for (const step of occurrence.steps) {
            if (!step.isDone && step.isUnblocked) {
                this.#open(step);
            }
        }
    }

    /** Lets go of an occurrence that is done, unless it is its job's only one. */
    #closeOccurrence({ job, number, steps }: Occurrence): void {
        const isOver = job.doneOccurrences.has(number) && steps.every(hasNoRuns);
        if (isOver && job.occurrenceCount > 1) {
            job.occurrences.delete(number);
        }
    }

    #open(step: Step): void {
        if (step.readyAt === undefined) {
            step.readyAt = this.context.now();
            this.context.options.log.log(logEvents.stepReady, { step: step.address, tasks: step.tasks.length });
        }
        this.parts.placer.add(step);
        this.onWork();
    }

    /** A task of a step waits again, or all of the step is done. */
    stepChanged(step: Step): void {
        this.onWork();
        this.context.outbox.changed(step.job.id);
        if (step.isDone) {
            this.parts.placer.remove(step);
            this.openOccurrence(step.occurrence);
            this.#closeOccurrence(step.occurrence);
            return;
        }
        this.#open(step);
    }

    /** A job is over: nothing of it waits, and it is let go of once nothing of it runs. */
    jobEnded(job: Job): void {
        for (const occurrence of job.occurrences.values()) {
            occurrence.steps.forEach(step => this.parts.placer.remove(step));
        }
        this.context.outbox.changed(job.id);
        this.onWork();
        if ([...job.occurrences.values()].every(occurrence => occurrence.steps.every(hasNoRuns))) {
            this.context.options.log.log(logEvents.jobEnded, {
                job: job.id,
                queue: job.queue,
                state: job.state,
                took: Math.round(this.context.now() - job.acceptedSteady),
            });
            this.parts.health.forgetJob(job);
            job.shrink();
        }
    }
}

const hasNoRuns = (step: Step): boolean => step.tasks.every(task => task.runs.length === 0);
