/** Occurrences of jobs with a timetable. */
import type { Milliseconds } from "@pebbledale/core";
import type { CellContext, Job, Occurrence } from "../state/index.js";

/** Occurrences open this many milliseconds before they are due, so that the advice service can answer before the tasks start. */
const openLeadTime: Milliseconds = 1_000;

/** Opens the occurrences of jobs with a timetable shortly before they are due. */
export class OccurrenceTimer {
    readonly #jobs = new Set<Job>();

    constructor(private readonly context: CellContext, private readonly open: (occurrence: Occurrence) => void) {}

    /** Adds a job; one without a timetable is ignored. */
    add(job: Job): void {
        if (job.definition?.timetable !== undefined && !job.isOver) {
            this.#jobs.add(job);
        }
    }

    /** Opens the occurrences that are due soon. */
    tick(): void {
        const wallClock = this.context.wallClock();
        for (const job of this.#jobs) {
            if (job.isOver || job.nextOccurrence >= job.occurrenceCount) {
                this.#jobs.delete(job);
                continue;
            }
            this.#openDue(job, wallClock);
        }
    }

    #openDue(job: Job, wallClock: number): void {
        let dueAt = job.dueAt(job.nextOccurrence) ?? wallClock;
        while (job.nextOccurrence < job.occurrenceCount && dueAt - openLeadTime <= wallClock) {
            const occurrence = this.context.table.ensureOccurrence(job, job.nextOccurrence);
            if (occurrence !== undefined) {
                const notBefore = this.context.now() + Math.max(0, dueAt - wallClock);
                occurrence.steps.forEach(step => step.notBefore = notBefore);
                this.open(occurrence);
            }
            job.nextOccurrence++;
            dueAt = job.dueAt(job.nextOccurrence) ?? wallClock;
        }
    }
}
