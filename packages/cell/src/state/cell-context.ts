/** What the parts of a cell's owner share. */
import type { Clock, LogEvent, Milliseconds, OrganisationName, QueueName, WorkerId } from "@pebbledale/core";
import { type CellConfiguration, QueueDirectory } from "../configuration/index.js";
import { UsageLedger } from "../organisations/index.js";
import type { JobTerms } from "./definition.js";
import { JobTable } from "./job-table.js";
import { Outbox } from "./outbox.js";
import type { CellRecord } from "./records.js";
import { WorkerState } from "./worker-state.js";

/** Takes a line for each decision. */
export interface DecisionLog {
    /** Notes an event with what led to it. */
    log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}

/** What a cell's owner is made from. */
export interface CellOptions {
    readonly clock: Clock;
    readonly log: DecisionLog;
    /** Told of a worker that says that it leaves. */
    readonly onWorkerDraining?: (worker: WorkerId) => void;
}

/** See the module's comment. */
export class CellContext {
    readonly table: JobTable;
    readonly workers = new Map<WorkerId, WorkerState>();
    readonly outbox = new Outbox();
    readonly usage = new UsageLedger();
    queues: QueueDirectory | undefined;

    constructor(readonly options: CellOptions) {
        this.table = new JobTable(() => this.now());
    }

    /** Now, by the monotonic clock. */
    now(): Milliseconds {
        return this.options.clock.monotonic();
    }

    /** Now, in milliseconds since 1970. */
    wallClock(): number {
        return this.options.clock.now().getTime();
    }

    /** Those of some workers that are known. */
    findWorkers(ids: Iterable<WorkerId>): WorkerState[] {
        const found: WorkerState[] = [];
        for (const id of ids) {
            const worker = this.workers.get(id);
            if (worker !== undefined) {
                found.push(worker);
            }
        }
        return found;
    }

    /** Takes a newer configuration. */
    configure(configuration: CellConfiguration): void {
        this.queues = new QueueDirectory(configuration);
        this.usage.configure(configuration.organisations);
        for (const job of this.table.jobs.values()) {
            job.terms = this.termsOf(job.queue, job.organisation) ?? job.terms;
        }
    }

    /** What a queue asks for of an organisation's jobs; undefined when no configuration has named both. */
    termsOf(queue: QueueName, organisation: OrganisationName | undefined): JobTerms | undefined {
        const configured = this.queues?.byName(queue);
        const organisationLimit = organisation && this.usage.limitOf(organisation);
        if (organisation !== undefined && organisationLimit === undefined) {
            return undefined;
        }
        return configured && {
            service: configured.service,
            priority: configured.priority,
            attempts: configured.attempts,
            extension: configured.extension,
            latencyTarget: configured.latencyTarget,
            advice: configured.advice,
            ...(organisationLimit === undefined ? {} : { organisationLimit }),
        };
    }

    /** Applies a record and keeps it. */
    record(record: CellRecord): void {
        this.table.apply(record);
        this.outbox.record(record);
    }
}
