/** The workers' entries in the platform's store, as the owner follows them. */
import type { CellScheduler, WorkerDirectory } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import type { Followed } from "../following/index.js";

/** See the module's comment. */
export class FollowedWorkers implements Followed {
    constructor(private readonly directory: WorkerDirectory, private readonly cell: CellScheduler) {}

    /** See {@link Followed.readAll}. */
    async readAll(signal: AbortSignal): Promise<string> {
        const listing = await this.directory.list(signal);
        this.cell.listWorkers(listing.workers);
        return listing.cursor;
    }

    /** See {@link Followed.takeChanges}. */
    async takeChanges(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<string | undefined> {
        const changes = await this.directory.follow(cursor, wait, signal);
        if (changes !== undefined) {
            this.cell.changeWorkers(changes.changed, changes.gone);
        }
        return changes?.cursor;
    }
}
