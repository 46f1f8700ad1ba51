/** The way of jobs from step to step: which steps are opened, when an occurrence is let go of, and when a job is. */
import { logEvents } from "@pebbledale/core";
import type { Placer } from "../placing/index.js";
import {
    type CellContext,
    CellJobState,
    isTerminalState,
    type Job,
    type Occurrence,
    type Step,
} from "../state/index.js";
import type { HealthMonitor } from "../watching/index.js";
import type { OccurrenceTimer } from "./timetable-watch.js";

/** What the way of a job leads through. */
export interface JobLifecycleParts {
    readonly placer: Placer;
    readonly timer: OccurrenceTimer;
    readonly health: HealthMonitor;
}

/** See the module's comment. */
export class JobLifecycle {
    /** `onWork`: told when there may be something to place. */
    constructor(
        private readonly context: CellContext,
        private readonly parts: JobLifecycleParts,
        private readonly requestCycle: () => void,
    ) {}

    /** Shows the state of a job whose records are kept: a final one only then. */
    publishState(job: Job | undefined): void {
        if (job !== undefined && (job.publishedState === CellJobState.Queued || isTerminalState(job.state))) {
            job.publishedState = job.state;
        }
    }

    /** Opens the steps of a job that wait for nothing. */
    openSteps(job: Job): void {
        if (job.isOver) {
            return;
        }
        this.parts.timer.add(job);
        for (const occurrence of job.occurrences.values()) {
            this.openOccurrence(occurrence);
        }
        this.requestCycle();
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
        this.requestCycle();
    }

    /** A task of a step waits again, or all of the step is done. */
    stepChanged(step: Step): void {
        this.requestCycle();
        this.context.outbox.markJobChanged(step.job.id);
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
        this.context.outbox.markJobChanged(job.id);
        this.requestCycle();
        if ([...job.occurrences.values()].every(occurrence => occurrence.steps.every(hasNoRuns))) {
            this.context.options.log.log(logEvents.jobEnded, {
                job: job.id,
                queue: job.queue,
                state: job.state,
                took: Math.round(this.context.now() - job.acceptedAtMonotonic),
            });
            this.parts.health.forgetJob(job);
            job.discardDetails();
        }
    }
}

const hasNoRuns = (step: Step): boolean => step.tasks.every(task => task.runs.length === 0);
