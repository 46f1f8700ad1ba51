/** Source of worker entries for the owner's follow loop. */
import type { CellScheduler, WorkerDirectory } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import type { Followed, FollowedNews } from "../following/index.js";

/** Reads the workers' entries from the platform's store and applies them to the scheduler. */
export class FollowedWorkers implements Followed {
    constructor(private readonly directory: WorkerDirectory, private readonly cell: CellScheduler) {}

    async readAll(signal: AbortSignal): Promise<FollowedNews> {
        const { workers, unreadable, cursor } = await this.directory.list(signal);
        return { cursor, take: () => this.cell.listWorkers(workers, unreadable) };
    }

    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedNews | undefined> {
        const changes = await this.directory.follow(cursor, wait, signal);
        return changes && {
            cursor: changes.cursor,
            take: () => this.cell.changeWorkers(changes.changed, changes.gone, changes.unreadable),
        };
    }
}
