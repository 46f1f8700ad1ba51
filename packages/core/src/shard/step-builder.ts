/** Construction of transitions. */
import type { JobId } from "../ids/index.js";
import type { JobBook } from "./job-book.js";
import { jobOfRecord, type ShardRecord } from "./records.js";
import type { Effect, Step } from "./types.js";

/** Transition of an input that changes nothing. */
export const emptyStep: Step = { records: [], effects: [] };

/** Collects the records and effects of one input. Records are applied to the registry as they are added. */
export class StepBuilder {
    readonly #records: ShardRecord[] = [];
    readonly #effects: Effect[] = [];
    readonly #changed = new Set<JobId>();

    constructor(private readonly book: JobBook) {}

    record(record: ShardRecord): void {
        this.book.apply(record);
        this.#records.push(record);
        const job = jobOfRecord(record);
        const entry = job === undefined ? undefined : this.book.jobs.get(job);
        if (entry !== undefined) {
            entry.unkept++;
        }
    }

    effect(effect: Effect): void {
        this.#effects.push(effect);
    }

    /** Adds an effect that notifies those waiting for a job; at most one per job. */
    changed(job: JobId): void {
        if (!this.#changed.has(job)) {
            this.#changed.add(job);
            this.#effects.push({ kind: "job-changed", job });
        }
    }

    step(): Step {
        return { records: this.#records, effects: this.#effects };
    }
}
