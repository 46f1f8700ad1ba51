/** Counters and latencies of an entry VM. */
import type { CellSummary } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import { Metrics } from "@pebbledale/runtime";

const millisecondsPerSecond = 1_000;

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
        [],
    );
    readonly #adviceTime = this.metrics.waiting("pebbledale_advice_seconds", "Time of an answer to a question", []);
    readonly #jobTime = this.metrics.waiting("pebbledale_job_seconds", "Time from acceptance to the end", ["state"]);
    #summary: CellSummary | undefined;
    #journalWait: Milliseconds = 0;

    constructor() {
        const ofCell = (name: string, help: string, read: (summary: CellSummary) => number) =>
            this.metrics.gauge(name, help, () => this.#summary === undefined ? 0 : read(this.#summary));
        ofCell("pebbledale_owner", "1 while this VM owns the cell", () => 1);
        ofCell("pebbledale_workers", "Workers that are known", summary => summary.workers);
        ofCell("pebbledale_open_workers", "Workers that may be ordered", summary => summary.openWorkers);
        ofCell("pebbledale_free_cores", "Free cores of these", summary => summary.freeProcessor / 1_000);
        ofCell("pebbledale_runs", "Runs that are not over", summary => summary.runs);
        ofCell("pebbledale_open_jobs", "Jobs that are not over", summary => summary.openJobs);
        this.metrics.gauge(
            "pebbledale_journal_wait_seconds",
            "How long the oldest record has waited to be kept",
            () => this.#journalWait / millisecondsPerSecond,
        );
    }

    /** A caller was answered. */
    noteRequest(request: string, outcome: string, took: Milliseconds): void {
        this.#requests.inc({ request, outcome });
        this.#requestTime.observe({ request }, took / millisecondsPerSecond);
    }

    /** A worker answered a call, or did not. */
    noteWorkerCall(call: string, outcome: string, took: Milliseconds): void {
        this.#workerCalls.inc({ call, outcome });
        this.#workerCallTime.observe({ call }, took / millisecondsPerSecond);
    }

    /** An event was logged. */
    noteEvent(event: number): void {
        this.#events.inc({ event: String(event) });
    }

    /** Tasks were ordered. */
    noteTaskWait(waited: Milliseconds): void {
        this.#taskWait.observe(waited / millisecondsPerSecond);
    }

    /** The advice service answered. */
    noteAdvice(took: Milliseconds): void {
        this.#adviceTime.observe(took / millisecondsPerSecond);
    }

    /** A job ended. */
    noteJobEnd(state: string, took: Milliseconds): void {
        this.#jobTime.observe({ state }, took / millisecondsPerSecond);
    }

    /** How the cell stands; undefined once this VM no longer owns it. */
    noteCell(summary: CellSummary | undefined, journalWait: Milliseconds): void {
        this.#summary = summary;
        this.#journalWait = journalWait;
    }
}
