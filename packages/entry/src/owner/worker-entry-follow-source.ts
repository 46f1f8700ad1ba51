/** Source of worker entries for the owner's follow loop. */
import type { CellScheduler, WorkerDirectory } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import type { FollowedUpdate, FollowSource } from "../following/index.js";

/** Reads the workers' entries from the platform's store and applies them to the scheduler. */
export class WorkerEntryFollowSource implements FollowSource {
    constructor(private readonly directory: WorkerDirectory, private readonly cell: CellScheduler) {}

    async readAll(signal: AbortSignal): Promise<FollowedUpdate> {
        const { workers, unreadable, cursor } = await this.directory.list(signal);
        return { cursor, apply: () => this.cell.replaceWorkerEntries(workers, unreadable) };
    }

    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const changes = await this.directory.follow(cursor, wait, signal);
        return changes && {
            cursor: changes.cursor,
            apply: () => this.cell.updateWorkerEntries(changes.changed, changes.gone, changes.unreadable),
        };
    }
}
