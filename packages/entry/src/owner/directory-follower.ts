/** Follows the workers' entries in the platform's store for the owner. */
import type { CellScheduler, WorkerDirectory } from "@pebbledale/cell";
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";

/** Longest wait in one call that follows the entries, in milliseconds. */
const followWait: Milliseconds = 20_000;
/** Wait before the entries are read again after a failure, in milliseconds. */
const retryDelay: Milliseconds = 150;

/** What a follower needs. */
export interface DirectoryFollowerOptions {
    readonly cell: CellScheduler;
    readonly directory: WorkerDirectory;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Told after each answer, or failure. */
    readonly onNews: () => void;
}

/** Follows the entries until `signal` fires. */
export const followDirectory = async (options: DirectoryFollowerOptions, signal: AbortSignal): Promise<void> => {
    const { clock, logger, onNews } = options;
    let cursor: string | undefined;
    while (!signal.aborted) {
        try {
            cursor = await followOnce(options, cursor, signal);
        }
        catch (cause) {
            if (!signal.aborted) {
                logger.log(logEvents.workerListUnavailable, { cause: String(cause) });
                await clock.sleep(retryDelay, signal);
            }
        }
        onNews();
    }
};

/** One call; resolves to where the next goes on, undefined when all must be read again. */
const followOnce = async (
    { cell, directory }: DirectoryFollowerOptions,
    cursor: string | undefined,
    signal: AbortSignal,
): Promise<string | undefined> => {
    if (cursor === undefined) {
        const listing = await directory.list(signal);
        cell.listWorkers(listing.workers);
        return listing.cursor;
    }
    const changes = await directory.follow(cursor, followWait, signal);
    if (changes !== undefined) {
        cell.changeWorkers(changes.changed, changes.gone);
    }
    return changes?.cursor;
};
