/** Progress of jobs from step to step. */
import { logEvents } from "@pebbledale/core";
import type { HealthMonitor } from "../monitoring/index.js";
import type { Placer } from "../placement/index.js";
import {
    type CellContext,
    CellJobState,
    isTerminalState,
    type Job,
    type Occurrence,
    type Step,
} from "../state/index.js";
import type { OccurrenceTimer } from "./occurrence-timer.js";

/** Components that follow the progress of jobs. */
export interface JobLifecycleDependencies {
    readonly placer: Placer;
    readonly timer: OccurrenceTimer;
    readonly health: HealthMonitor;
}

/** Opens steps as their dependencies complete, closes complete occurrences, and releases jobs that have ended. */
export class JobLifecycle {
    /** `requestCycle`: called when tasks may have become ready to start. */
    constructor(
        private readonly context: CellContext,
        private readonly dependencies: JobLifecycleDependencies,
        private readonly requestCycle: () => void,
    ) {}

    /**
     * Reports a state of a job to callers, as all records that led to it are committed. Records of later turns, which are not, may have
     * changed the job since. Turns can be published out of order.
     */
    publishState(job: Job | undefined, committed: CellJobState): void {
        if (job === undefined || isTerminalState(job.publishedState)) {
            return;
        }
        if (job.publishedState === CellJobState.Queued || isTerminalState(committed)) {
            job.publishedState = committed;
        }
    }

    /** Opens all steps of a job whose dependencies are complete. */
    openSteps(job: Job): void {
        if (job.isOver) {
            return;
        }
        this.dependencies.timer.add(job);
        for (const occurrence of job.occurrences.values()) {
            this.openOccurrence(occurrence);
        }
        this.requestCycle();
    }

    /** Opens all steps of an occurrence whose dependencies are complete. */
    openOccurrence(occurrence: Occurrence): void {
        for (const step of occurrence.steps) {
            if (!step.isDone && step.isUnblocked) {
                this.#open(step);
            }
        }
    }

    /** Removes a complete occurrence without runs, unless it is the only one of its job. */
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
        this.dependencies.placer.add(step);
        this.requestCycle();
    }

    /** Handles that a task of a step waits again or that the step is complete. */
    stepChanged(step: Step): void {
        this.requestCycle();
        this.context.outbox.markJobChanged(step.job);
        if (step.isDone) {
            this.dependencies.placer.remove(step);
            this.openOccurrence(step.occurrence);
            this.#closeOccurrence(step.occurrence);
            return;
        }
        this.#open(step);
    }

    /** Handles that a job has ended: removes its waiting tasks, and frees the job once it has no runs. */
    jobEnded(job: Job): void {
        for (const occurrence of job.occurrences.values()) {
            occurrence.steps.forEach(step => this.dependencies.placer.remove(step));
        }
        this.context.outbox.markJobChanged(job);
        this.requestCycle();
        if ([...job.occurrences.values()].every(occurrence => occurrence.steps.every(hasNoRuns))) {
            this.context.options.log.log(logEvents.jobEnded, {
                job: job.id,
                queue: job.queue,
                state: job.state,
                took: Math.round(this.context.now() - job.acceptedAtMonotonic),
            });
            this.dependencies.health.forgetJob(job);
            job.discardDetails();
        }
    }
}

const hasNoRuns = (step: Step): boolean => step.tasks.every(task => task.runs.length === 0);
