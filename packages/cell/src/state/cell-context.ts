/** State and services shared by the components of a cell's owner. */
import type { Clock, LogEvent, Milliseconds, OrganisationName, QueueName, WorkerId } from "@pebbledale/core";
import { type CellConfiguration, QueueDirectory } from "../configuration/index.js";
import { UsageLedger } from "../organisations/index.js";
import type { JobTerms } from "./definition.js";
import { JobTable } from "./job-table.js";
import { Outbox } from "./outbox.js";
import type { CellRecord } from "./records.js";
import { WorkerState } from "./worker-state.js";

/** Receives the structured log events of scheduling decisions. */
export interface DecisionLog {
    log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}

/** Dependencies of a cell's owner that a caller or a test supplies. */
export interface CellOptions {
    readonly clock: Clock;
    readonly log: DecisionLog;
    /** Number of data halls that may be lost at once. If any, long-running tasks of a step are spread over data halls. */
    readonly toleratedHallLosses?: number;
    /** Called when a worker announces that it is draining. */
    readonly onWorkerDraining?: (worker: WorkerId) => void;
}

/**
 * Jobs, workers, organisation usage and queued output of one cell. It holds state and makes no decisions; every component of the
 * scheduler reads and changes it.
 */
export class CellContext {
    readonly table: JobTable;
    readonly workers = new Map<WorkerId, WorkerState>();
    readonly outbox = new Outbox();
    readonly usage = new UsageLedger();
    queues: QueueDirectory | undefined;

    constructor(readonly options: CellOptions) {
        this.table = new JobTable(time => this.monotonicOf(time));
    }

    /** Current time of the monotonic clock, which the state's times refer to unless said otherwise. */
    now(): Milliseconds {
        return this.options.clock.monotonic();
    }

    /** Current time in milliseconds since 1970. */
    wallClock(): number {
        return this.options.clock.now().getTime();
    }

    /** A past time in milliseconds since 1970 by the monotonic clock. A time ahead of this VM's wall clock counts as now. */
    monotonicOf(time: number): Milliseconds {
        return this.now() - Math.max(0, this.wallClock() - time);
    }

    /** States of the given workers; unknown ids are skipped. */
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

    /** Applies a newer configuration, also to jobs that are already accepted. Terms of queues it no longer names stay as they were. */
    configure(configuration: CellConfiguration): void {
        this.queues = new QueueDirectory(configuration);
        this.usage.configure(configuration.organisations);
        for (const job of this.table.jobs.values()) {
            job.terms = this.termsOf(job.queue, job.organisation) ?? job.terms;
        }
    }

    /** Terms for jobs of an organisation in a queue; undefined when the configuration does not name both. */
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

    /** Applies a record to the job table and queues it for the journal. */
    record(record: CellRecord): void {
        this.table.apply(record);
        this.outbox.record(record);
    }
}
