/** Metrics of a process through prom-client. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { PlatformCallObserver } from "../platform-http/index.js";

/** Bounds of waiting times in seconds. */
const durationBuckets = [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** What metrics are made from. */
export interface MetricsOptions {
    /** Whether memory, processor and the event loop's delay of the process are among them. */
    readonly hasProcessMetrics: boolean;
}

/** Makes and holds the metrics of one process. */
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

    /** See {@link PlatformCallObserver.observe}. */
    observe(call: string, answered: boolean): void {
        this.#platformCalls.inc({ call, answered: String(answered) });
    }

    /** Makes a counter. */
    counter<Label extends string>(name: string, help: string, labelNames: readonly Label[]): Counter<Label> {
        return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] });
    }

    /** Makes a gauge that is read when the metrics are. */
    gauge(name: string, help: string, read: () => number): Gauge {
        return new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }

    /** Makes a histogram of waiting times in seconds. */
    waiting<Label extends string>(name: string, help: string, labelNames: readonly Label[]): Histogram<Label> {
        return new Histogram({
            name,
            help,
            labelNames: [...labelNames],
            buckets: durationBuckets,
            registers: [this.registry],
        });
    }
}
