/** Counts requests against the objective in buckets of a minute, and works out how fast the error budget burns. */
import type { Clock } from "@pebbledale/core";

/** Requests of one class in one minute. */
export interface BurnBucket {
    /** Minutes since 1970. */
    readonly minute: number;
    total: number;
    /** Requests that were not answered whole, or too late. */
    bad: number;
}

/** Buckets by class, as a gateway reports them. */
export type BurnBuckets = Readonly<Record<string, readonly BurnBucket[]>>;

/** Windows of the report in minutes, shortest first. */
export const burnWindows = [5, 60, 360, 4320] as const;
const millisecondsPerMinute = 60_000;

/** Burn of one class over one window. */
export interface BurnRow {
    readonly workloadClass: string;
    readonly windowMinutes: number;
    readonly total: number;
    readonly bad: number;
    /** Share of bad requests over the share that the objective allows; 1 uses the budget up exactly. */
    readonly burnRate: number;
    /** Share of the window's budget that is left; below 0 when it is overdrawn. */
    readonly budgetLeft: number;
}

/** Counts requests as they end. */
export class BurnRecorder {
    readonly #buckets = new Map<string, BurnBucket[]>();

    constructor(private readonly clock: Clock) {}

    /** Counts one request. */
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

    /** All buckets. */
    buckets(): BurnBuckets {
        return Object.fromEntries(this.#buckets);
    }
}

/** Adds up the buckets of several gateways. */
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

/** Works out the burn of each class over each window. `objective`: the share of good requests that is promised. */
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
