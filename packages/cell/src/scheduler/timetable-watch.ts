/** Opens the occurrences of timed jobs as their time comes. */
import type { Milliseconds } from "@pebbledale/core";
import type { CellContext, Job, Occurrence } from "../state/index.js";

/**
 * An occurrence is opened this long before it is due: the advice service is asked meanwhile. Its tasks start only when
 * it is due. In milliseconds: about what the slowest question takes.
 */
const openLeadTime: Milliseconds = 1_000;

/** See the module's comment. */
export class OccurrenceTimer {
    readonly #jobs = new Set<Job>();

    constructor(private readonly context: CellContext, private readonly open: (occurrence: Occurrence) => void) {}

    /** Watches a job, if it has a timetable. */
    add(job: Job): void {
        if (job.definition?.timetable !== undefined && !job.isOver) {
            this.#jobs.add(job);
        }
    }

    /** Opens what is due soon. */
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
