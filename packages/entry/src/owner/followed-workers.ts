/** The workers' entries in the platform's store, as the owner follows them. */
import type { CellScheduler, WorkerDirectory } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import type { FollowedUpdate, FollowSource } from "../following/index.js";

/** See the module's comment. */
export class WorkerEntryFollowSource implements FollowSource {
    constructor(private readonly directory: WorkerDirectory, private readonly cell: CellScheduler) {}

    /** See {@link FollowSource.readAll}. */
    async readAll(signal: AbortSignal): Promise<FollowedUpdate> {
        const { workers, unreadable, cursor } = await this.directory.list(signal);
        return { cursor, apply: () => this.cell.replaceWorkerEntries(workers, unreadable) };
    }

    /** See {@link FollowSource.changes}. */
    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const changes = await this.directory.follow(cursor, wait, signal);
        return changes && {
            cursor: changes.cursor,
            apply: () => this.cell.updateWorkerEntries(changes.changed, changes.gone, changes.unreadable),
        };
    }
}
