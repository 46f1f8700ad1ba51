/** Metrics of an entry VM. */
import type { CellSummary, CrashSummary } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import { Metrics } from "@pebbledale/runtime";
import type { TrafficAccount } from "./traffic-account.js";

const millisecondsPerSecond = 1_000;

/** State of the cell as its owner sees it. */
export interface CellStatistics {
    readonly summary: CellSummary & CrashSummary;
    /** Age of the oldest record that is not yet persisted. */
    readonly journalWait: Milliseconds;
    /** Time since the store last confirmed the workers' entries; undefined before its first answer. */
    readonly workerEntriesAge: Milliseconds | undefined;
}

/** Getters of the time since the store last confirmed what each VM follows; undefined before its first answer. */
export interface AgeSources {
    readonly configuration: () => Milliseconds | undefined;
    readonly members: () => Milliseconds | undefined;
}

/**
 * Counters, gauges and histograms of an entry VM. Gauges of the cell are zero on VMs that do not own it; an age has no value
 * before the store's first answer.
 */
export class EntryMetrics {
    /** Process metrics are left out: measuring the event loop's delay wakes a small VM a hundred times a second. */
    readonly metrics = new Metrics({ hasProcessMetrics: false });
    readonly #requests = this.metrics.counter("pebbledale_requests_total", "Requests of callers", [
        "request",
        "outcome",
    ]);
    readonly #requestTime = this.metrics.durationHistogram(
        "pebbledale_request_seconds",
        "Time from a caller's request to its answer",
        ["request"],
    );
    readonly #workerCalls = this.metrics.counter("pebbledale_worker_calls_total", "Calls to workers", [
        "call",
        "outcome",
    ]);
    readonly #workerCallTime = this.metrics.durationHistogram(
        "pebbledale_worker_call_seconds",
        "Response time of workers",
        [
            "call",
        ],
    );
    readonly #events = this.metrics.counter(
        "pebbledale_events_total",
        "Log events, including those that the log dropped",
        [
            "event",
        ],
    );
    readonly #taskWait = this.metrics.durationHistogram(
        "pebbledale_task_wait_seconds",
        "Time from a step being ready to the order that starts its tasks",
        ["priority"],
    );
    readonly #adviceTime = this.metrics.durationHistogram(
        "pebbledale_advice_seconds",
        "Response time of the advice service",
        [],
    );
    readonly #jobTime = this.metrics.durationHistogram(
        "pebbledale_job_seconds",
        "Time from the acceptance of a job to its end",
        [
            "state",
        ],
    );
    #cell: CellStatistics | undefined;
    #ages: AgeSources | undefined;
    #closedHallCount = () => 0;

    constructor() {
        const addCellGauge = (name: string, help: string, read: (summary: CellSummary & CrashSummary) => number) =>
            this.metrics.gauge(name, help, () => this.#cell === undefined ? 0 : read(this.#cell.summary));
        addCellGauge("pebbledale_owner", "1 while this VM owns the cell", () => 1);
        addCellGauge("pebbledale_workers", "Known workers", summary => summary.workers);
        addCellGauge("pebbledale_open_workers", "Workers that accept new tasks", summary => summary.openWorkers);
        addCellGauge(
            "pebbledale_free_cores",
            "Free cores of the workers that accept new tasks",
            summary => summary.freeProcessor / 1_000,
        );
        addCellGauge("pebbledale_runs", "Runs that have not ended", summary => summary.runs);
        addCellGauge(
            "pebbledale_held_back_tasks",
            "Deferrable tasks held back to make room for a gang",
            ({ heldBack }) => heldBack,
        );
        addCellGauge(
            "pebbledale_kept_cores",
            "Cores kept free of deferrable work for urgent work",
            ({ services }) => [...services.values()].reduce((sum, { keptProcessor }) => sum + keptProcessor, 0) / 1_000,
        );
        addCellGauge(
            "pebbledale_organisations_at_limit",
            "Organisations whose work waits for their own limit (at most ten are counted)",
            ({ atLimit }) => atLimit.length,
        );
        addCellGauge(
            "pebbledale_closed_data_hall_runs",
            "Unfinished runs in data halls that operators have closed",
            ({ closedHallRuns }) => closedHallRuns,
        );
        this.metrics.gauge(
            "pebbledale_closed_data_halls",
            "Closed data halls as known to this VM",
            () => this.#closedHallCount(),
        );
        addCellGauge("pebbledale_suspect_tasks", "Tasks that may have crashed workers", ({ suspects }) => suspects);
        addCellGauge("pebbledale_trial_runs", "Trial runs of tasks that may crash workers", ({ trials }) => trials);
        addCellGauge("pebbledale_open_jobs", "Jobs that have not ended", summary => summary.openJobs);
        this.metrics.gauge(
            "pebbledale_journal_wait_seconds",
            "Age of the oldest record that is not yet persisted",
            () => (this.#cell?.journalWait ?? 0) / millisecondsPerSecond,
        );
        const addAgeGauge = (followed: string, read: () => Milliseconds | undefined) =>
            this.metrics.gauge(
                `pebbledale_${followed}_age_seconds`,
                `Time since the store last confirmed the ${followed}`,
                () => {
                    const age = read();
                    return age === undefined ? undefined : age / millisecondsPerSecond;
                },
            );
        addAgeGauge("worker_entries", () => this.#cell === undefined ? 0 : this.#cell.workerEntriesAge);
        addAgeGauge("configuration", () => this.#ages?.configuration());
        addAgeGauge("members", () => this.#ages?.members());
    }

    recordRequest(request: string, outcome: string, took: Milliseconds): void {
        this.#requests.inc({ request, outcome });
        this.#requestTime.observe({ request }, took / millisecondsPerSecond);
    }

    recordWorkerCall(call: string, outcome: string, took: Milliseconds): void {
        this.#workerCalls.inc({ call, outcome });
        this.#workerCallTime.observe({ call }, took / millisecondsPerSecond);
    }

    recordEvent(event: number): void {
        this.#events.inc({ event: String(event) });
    }

    /** Records how long tasks waited from being ready to being ordered, by the priority of their queue. */
    recordTaskWait(priority: number, waited: Milliseconds): void {
        this.#taskWait.observe({ priority: String(priority) }, waited / millisecondsPerSecond);
    }

    recordAdvice(took: Milliseconds): void {
        this.#adviceTime.observe(took / millisecondsPerSecond);
    }

    recordJobEnd(state: string, took: Milliseconds): void {
        this.#jobTime.observe({ state }, took / millisecondsPerSecond);
    }

    /** `cell` is undefined once this VM no longer owns the cell. */
    setCellStatistics(cell: CellStatistics | undefined): void {
        this.#cell = cell;
    }

    /** Sets the getter of the number of closed data halls that this VM knows of. */
    setClosedHallSource(count: () => number): void {
        this.#closedHallCount = count;
    }

    setAgeSources(ages: AgeSources): void {
        this.#ages = ages;
    }

    /** Adds counters of the VM's traffic by kind and reach. */
    addTraffic(account: TrafficAccount): void {
        const labels = ["peer", "reach", "kind"] as const;
        this.metrics.totals(
            "pebbledale_traffic_messages_total",
            "Messages and calls, by peer, reach and kind",
            labels,
            () =>
                account.totals.map(({ peer, reach, kind, count }) => ({ labels: { peer, reach, kind }, value: count })),
        );
        this.metrics.totals(
            "pebbledale_traffic_bytes_total",
            "Bytes of messages and calls without headers, by peer, reach and kind",
            [...labels, "direction"],
            () =>
                account.totals.flatMap(({ peer, reach, kind, sent, received }) => [
                    { labels: { peer, reach, kind, direction: "sent" }, value: sent },
                    { labels: { peer, reach, kind, direction: "received" }, value: received },
                ]),
        );
    }
}
