/** Data halls that are closed to new runs, as the owner's decisions see them. */
import { type DataHallName, logEvents, type ServiceName } from "@pebbledale/core";
import type { CellContext, WorkerState } from "../state/index.js";
import type { HallRecovery } from "./hall-recovery.js";
import type { HallClosures } from "./types.js";

/**
 * Closes the workers of closed data halls to new runs. What runs there continues; orders that were decided and not sent yet are
 * dropped by the start dispatcher.
 */
export class ClosedHalls {
    #halls: ReadonlySet<DataHallName> = new Set();

    constructor(private readonly context: CellContext, private readonly recovery: HallRecovery) {}

    get halls(): ReadonlySet<DataHallName> {
        return this.#halls;
    }

    /** Replaces the set of closed data halls; returns whether it has changed. */
    replace({ halls, revision }: HallClosures): boolean {
        const former = this.#halls;
        this.#halls = new Set(halls);
        const closed = halls.filter(hall => !former.has(hall));
        const reopened = [...former].filter(hall => !this.#halls.has(hall));
        closed.forEach(hall => {
            this.recovery.end(hall);
            this.#log(hall, revision, true);
        });
        reopened.forEach(hall => {
            this.recovery.begin(hall);
            this.#log(hall, revision, false);
        });
        this.context.workers.forEach(worker => this.applyTo(worker));
        return closed.length + reopened.length > 0;
    }

    /** Closes or reopens a worker whose entry was read. */
    applyTo(worker: WorkerState): void {
        worker.isHallClosed = worker.entry !== undefined && this.#halls.has(worker.entry.dataHall);
    }

    /** Whether all listed workers of a service are in closed data halls, so that nothing of it can be started. */
    isServiceClosed(service: ServiceName): boolean {
        if (this.#halls.size === 0) {
            return false;
        }
        const workers = [...this.context.workers.values()].filter(({ entry, unlistedSince }) =>
            entry?.service === service && unlistedSince === undefined
        );
        return workers.length > 0 && workers.every(worker => worker.isHallClosed);
    }

    #log(hall: DataHallName, revision: number, isClosed: boolean): void {
        let workers = 0;
        let runs = 0;
        for (const worker of this.context.workers.values()) {
            if (worker.entry?.dataHall === hall) {
                workers++;
                runs += worker.runs.size;
            }
        }
        const event = isClosed ? logEvents.hallClosed : logEvents.hallReopened;
        this.context.options.log.log(event, { hall, revision, workers, runs });
    }
}
