/** Construction of transitions. */
import type { JobId } from "../ids/index.js";
import type { JobRegistry } from "./job-registry.js";
import { jobOfRecord, type ShardRecord } from "./records.js";
import type { Effect, Transition } from "./types.js";

/** Transition of an input that changes nothing. */
export const emptyTransition: Transition = { records: [], effects: [] };

/** Collects the records and effects of one input. Records are applied to the registry as they are added. */
export class TransitionBuilder {
    readonly #records: ShardRecord[] = [];
    readonly #effects: Effect[] = [];
    readonly #changed = new Set<JobId>();

    constructor(private readonly registry: JobRegistry) {}

    record(record: ShardRecord): void {
        this.registry.apply(record);
        this.#records.push(record);
        if (record.kind === "submitted") {
            this.registry.uncommittedJobs.add(record.job);
        }
        const job = jobOfRecord(record);
        const entry = job === undefined ? undefined : this.registry.jobs.get(job);
        if (entry !== undefined) {
            entry.unkept++;
        }
    }

    effect(effect: Effect): void {
        this.#effects.push(effect);
    }

    /** Adds an effect that notifies those waiting for a job; at most one per job. */
    jobChanged(job: JobId): void {
        if (!this.#changed.has(job)) {
            this.#changed.add(job);
            this.#effects.push({ kind: "job-changed", job });
        }
    }

    build(): Transition {
        return { records: this.#records, effects: this.#effects };
    }
}
