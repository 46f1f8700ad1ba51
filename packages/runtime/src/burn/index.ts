/** Error-budget burn: good and bad requests are counted per minute and compared with the service-level objective. */
import type { Clock } from "@pebbledale/core";

/** Requests of one workload class in one minute. */
export interface BurnBucket {
    /** Minutes since 1970. */
    readonly minute: number;
    total: number;
    /** Requests that failed, or got no complete response in time. */
    bad: number;
}

/** Buckets by workload class in order of their minutes, as a gateway reports them. */
export type BurnBuckets = Readonly<Record<string, readonly BurnBucket[]>>;

/** Windows of the burn report in minutes, in ascending order. */
export const burnWindows = [5, 60, 360, 4320] as const;
const millisecondsPerMinute = 60_000;

/** Burn of one workload class over one window. */
export interface BurnRow {
    readonly workloadClass: string;
    readonly windowMinutes: number;
    readonly total: number;
    readonly bad: number;
    /** Share of bad requests divided by the share that the objective allows: at 1 the budget is used up exactly. */
    readonly burnRate: number;
    /** Share of the window's error budget that remains; negative if it is exceeded. */
    readonly budgetLeft: number;
}

/** Counts the completed requests of one process, and keeps as many minutes as the longest window needs. */
export class BurnRecorder {
    readonly #buckets = new Map<string, BurnBucket[]>();

    constructor(private readonly clock: Clock) {}

    record(workloadClass: string, isGood: boolean): void {
        const minute = Math.floor(this.clock.now().getTime() / millisecondsPerMinute);
        const buckets = this.#buckets.get(workloadClass) ?? [];
        this.#buckets.set(workloadClass, buckets);
        if (buckets.at(-1)?.minute !== minute) {
            buckets.push({ minute, total: 0, bad: 0 });
            if (buckets.length > burnWindows[burnWindows.length - 1]) {
                buckets.shift();
            }
        }
        const bucket = buckets[buckets.length - 1];
        bucket.total++;
        bucket.bad += isGood ? 0 : 1;
    }

    buckets(): BurnBuckets {
        return Object.fromEntries(this.#buckets);
    }
}

/** Sums the buckets of several gateways by workload class and minute. */
export const mergeBuckets = (reports: readonly BurnBuckets[]): BurnBuckets => {
    const merged = new Map<string, Map<number, BurnBucket>>();
    for (const report of reports) {
        for (const [workloadClass, buckets] of Object.entries(report)) {
            const minutes = merged.get(workloadClass) ?? new Map<number, BurnBucket>();
            merged.set(workloadClass, minutes);
            for (const bucket of buckets) {
                const sum = minutes.get(bucket.minute) ?? { minute: bucket.minute, total: 0, bad: 0 };
                sum.total += bucket.total;
                sum.bad += bucket.bad;
                minutes.set(bucket.minute, sum);
            }
        }
    }
    const compareMinutes = (left: BurnBucket, right: BurnBucket) => left.minute - right.minute;
    return Object.fromEntries([...merged].map(([name, minutes]) => [name, [...minutes.values()].sort(compareMinutes)]));
};

/** Computes the burn of each workload class over each window. `objective`: promised share of good requests. */
export const computeBurnRows = (buckets: BurnBuckets, now: Date, objective: number): BurnRow[] => {
    const minute = Math.floor(now.getTime() / millisecondsPerMinute);
    return Object.entries(buckets).flatMap(([workloadClass, entries]) =>
        burnWindows.map(windowMinutes => {
            const inWindow = entries.filter(entry => entry.minute > minute - windowMinutes);
            const total = inWindow.reduce((sum, entry) => sum + entry.total, 0);
            const bad = inWindow.reduce((sum, entry) => sum + entry.bad, 0);
            const allowed = total * (1 - objective);
            const burnRate = total === 0 ? 0 : bad / allowed;
            return { workloadClass, windowMinutes, total, bad, burnRate, budgetLeft: 1 - burnRate };
        })
    );
};
