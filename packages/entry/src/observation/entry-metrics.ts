/** Counters and latencies of an entry VM. */
import type { CellSummary, CrashSummary } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import { Metrics } from "@pebbledale/runtime";

const millisecondsPerSecond = 1_000;

/** How the cell stands at its owner. */
export interface CellStatistics {
    readonly summary: CellSummary & CrashSummary;
    /** How long the oldest record has waited to be kept. */
    readonly journalWait: Milliseconds;
    /** How long ago the store last told of the workers' entries. */
    readonly workerEntriesAge: Milliseconds;
}

/** How long ago the store last told of what each VM follows; undefined before it first did. */
export interface AgeSources {
    readonly configuration: () => Milliseconds | undefined;
    readonly members: () => Milliseconds | undefined;
}

/** See the module's comment. */
export class EntryMetrics {
    /** Without the process's own: watching the event loop wakes a small VM a hundred times a second. */
    readonly metrics = new Metrics({ hasProcessMetrics: false });
    readonly #requests = this.metrics.counter("pebbledale_requests_total", "Callers' requests", [
        "request",
        "outcome",
    ]);
    readonly #requestTime = this.metrics.waiting("pebbledale_request_seconds", "Time to answer a caller", ["request"]);
    readonly #workerCalls = this.metrics.counter("pebbledale_worker_calls_total", "Calls of workers", [
        "call",
        "outcome",
    ]);
    readonly #workerCallTime = this.metrics.waiting("pebbledale_worker_call_seconds", "Time of a worker's answer", [
        "call",
    ]);
    readonly #events = this.metrics.counter("pebbledale_events_total", "Log events, also those left out of the log", [
        "event",
    ]);
    readonly #taskWait = this.metrics.waiting(
        "pebbledale_task_wait_seconds",
        "Time from a step's being ready to its tasks' being ordered",
        ["priority"],
    );
    readonly #adviceTime = this.metrics.waiting("pebbledale_advice_seconds", "Time of an answer to a question", []);
    readonly #jobTime = this.metrics.waiting("pebbledale_job_seconds", "Time from acceptance to the end", ["state"]);
    #cell: CellStatistics | undefined;
    #ages: AgeSources | undefined;

    constructor() {
        const ofCell = (name: string, help: string, read: (summary: CellSummary & CrashSummary) => number) =>
            this.metrics.gauge(name, help, () => this.#cell === undefined ? 0 : read(this.#cell.summary));
        ofCell("pebbledale_owner", "1 while this VM owns the cell", () => 1);
        ofCell("pebbledale_workers", "Workers that are known", summary => summary.workers);
        ofCell("pebbledale_open_workers", "Workers that may be ordered", summary => summary.openWorkers);
        ofCell("pebbledale_free_cores", "Free cores of these", summary => summary.freeProcessor / 1_000);
        ofCell("pebbledale_runs", "Runs that are not over", summary => summary.runs);
        ofCell("pebbledale_held_back_tasks", "Patient tasks that wait for a gang's room", ({ heldBack }) => heldBack);
        ofCell(
            "pebbledale_kept_cores",
            "Cores that patient work leaves free for urgent work",
            ({ services }) =>
                Object.values(services).reduce((sum, { keptProcessor }) => sum + keptProcessor, 0) / 1_000,
        );
        ofCell(
            "pebbledale_organisations_at_limit",
            "Organisations whose work waits for their own limit (ten at most are counted)",
            ({ atLimit }) => atLimit.length,
        );
        ofCell("pebbledale_suspect_tasks", "Tasks under which workers may have crashed", ({ suspects }) => suspects);
        ofCell("pebbledale_trial_runs", "Runs that are tried apart from others", ({ trials }) => trials);
        ofCell("pebbledale_open_jobs", "Jobs that are not over", summary => summary.openJobs);
        this.metrics.gauge(
            "pebbledale_journal_wait_seconds",
            "How long the oldest record has waited to be kept",
            () => (this.#cell?.journalWait ?? 0) / millisecondsPerSecond,
        );
        const age = (followed: string, read: () => Milliseconds | undefined) =>
            this.metrics.gauge(
                `pebbledale_${followed}_age_seconds`,
                `How long ago the store last told of the ${followed}`,
                () => (read() ?? 0) / millisecondsPerSecond,
            );
        age("worker_entries", () => this.#cell?.workerEntriesAge);
        age("configuration", () => this.#ages?.configuration());
        age("members", () => this.#ages?.members());
    }

    /** A caller was answered. */
    recordRequest(request: string, outcome: string, took: Milliseconds): void {
        this.#requests.inc({ request, outcome });
        this.#requestTime.observe({ request }, took / millisecondsPerSecond);
    }

    /** A worker answered a call, or did not. */
    recordWorkerCall(call: string, outcome: string, took: Milliseconds): void {
        this.#workerCalls.inc({ call, outcome });
        this.#workerCallTime.observe({ call }, took / millisecondsPerSecond);
    }

    /** An event was logged. */
    recordEvent(event: number): void {
        this.#events.inc({ event: String(event) });
    }

    /** Tasks of a queue of a priority were ordered. */
    recordTaskWait(priority: number, waited: Milliseconds): void {
        this.#taskWait.observe({ priority: String(priority) }, waited / millisecondsPerSecond);
    }

    /** The advice service answered. */
    recordAdvice(took: Milliseconds): void {
        this.#adviceTime.observe(took / millisecondsPerSecond);
    }

    /** A job ended. */
    recordJobEnd(state: string, took: Milliseconds): void {
        this.#jobTime.observe({ state }, took / millisecondsPerSecond);
    }

    /** How the cell stands; undefined once this VM no longer owns it. */
    setCellStatistics(cell: CellStatistics | undefined): void {
        this.#cell = cell;
    }

    /** Where to read how old what this VM follows is. */
    setAgeSources(ages: AgeSources): void {
        this.#ages = ages;
    }
}
