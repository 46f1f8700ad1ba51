/** Gathers the records and effects of one input. */
import type { JobId } from "../ids/index.js";
import type { JobRegistry } from "./job-book.js";
import { jobOfRecord, type ShardRecord } from "./records.js";
import type { Effect, Transition } from "./types.js";

/** The step of an input that changes nothing. */
export const emptyTransition: Transition = { records: [], effects: [] };

/** Applies each record at once and keeps it for the journal. */
export class TransitionBuilder {
    readonly #records: ShardRecord[] = [];
    readonly #effects: Effect[] = [];
    readonly #changed = new Set<JobId>();

    constructor(private readonly registry: JobRegistry) {}

    /** Adds a record and applies it. */
    record(record: ShardRecord): void {
        this.registry.apply(record);
        this.#records.push(record);
        const job = jobOfRecord(record);
        const entry = job === undefined ? undefined : this.registry.jobs.get(job);
        if (entry !== undefined) {
            entry.unkept++;
        }
    }

    /** Adds an effect. */
    effect(effect: Effect): void {
        this.#effects.push(effect);
    }

    /** Tells those who wait for a job that it changed; once a step. */
    jobChanged(job: JobId): void {
        if (!this.#changed.has(job)) {
            this.#changed.add(job);
            this.#effects.push({ kind: "job-changed", job });
        }
    }

    /** What was gathered. */
    build(): Transition {
        return { records: this.#records, effects: this.#effects };
    }
}
