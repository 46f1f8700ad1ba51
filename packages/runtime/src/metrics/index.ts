/** Metrics of a process through prom-client. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { PlatformCallObserver } from "../platform-http/index.js";

/** Upper bounds of the histograms' buckets in seconds. */
const durationBuckets = [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Options of {@link Metrics}. */
export interface MetricsOptions {
    /** Whether the default metrics of prom-client are included: memory, CPU and event-loop delay of the process. */
    readonly hasProcessMetrics: boolean;
}

/** The metrics of one process, with a registry of their own. */
export class Metrics implements PlatformCallObserver {
    readonly registry = new Registry();
    readonly #platformCalls: Counter<"call" | "answered">;

    constructor({ hasProcessMetrics }: MetricsOptions = { hasProcessMetrics: true }) {
        if (hasProcessMetrics) {
            collectDefaultMetrics({ register: this.registry });
        }
        this.#platformCalls = this.counter("pebbledale_platform_calls_total", "Calls of the platform's service", [
            "call",
            "answered",
        ]);
    }

    observe(call: string, answered: boolean): void {
        this.#platformCalls.inc({ call, answered: String(answered) });
    }

    counter<Label extends string>(name: string, help: string, labelNames: readonly Label[]): Counter<Label> {
        return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] });
    }

    /** Creates a gauge whose value is read at each scrape; it is left out while `read` returns undefined. */
    gauge(name: string, help: string, read: () => number | undefined): Gauge {
        return new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                const value = read();
                if (value === undefined) {
                    this.remove();
                }
                else {
                    this.set(value);
                }
            },
        });
    }

    /** Creates a counter whose values are read at each scrape from sums kept elsewhere, which must not decrease. */
    totals<Label extends string>(
        name: string,
        help: string,
        labelNames: readonly Label[],
        read: () => Iterable<{ readonly labels: Record<Label, string>; readonly value: number; }>,
    ): Counter<Label> {
        return new Counter({
            name,
            help,
            labelNames: [...labelNames],
            registers: [this.registry],
            collect() {
                this.reset();
                for (const { labels, value } of read()) {
                    this.inc(labels, value);
                }
            },
        });
    }

    /** Creates a histogram of durations in seconds. */
    durationHistogram<Label extends string>(
        name: string,
        help: string,
        labelNames: readonly Label[],
    ): Histogram<Label> {
        return new Histogram({
            name,
            help,
            labelNames: [...labelNames],
            buckets: durationBuckets,
            registers: [this.registry],
        });
    }
}
