/** Opening of a shard's journal by a new owner. */
import { readSegmentChain } from "./segment-chain.js";
import { JournalDamagedError } from "./errors.js";
import { Journal, type JournalDependencies } from "./journal.js";
import { readSnapshot } from "./snapshots.js";
import type { JournalContents } from "./types.js";

/** A journal that this process owns. */
export interface OpenJournal {
    readonly journal: Journal;
    readonly contents: JournalContents;
    /** Keys below the journal's prefix that hold no segment: another writer has left them. */
    readonly unreadableKeys: readonly string[];
}

/**
 * Reads a shard's journal and seals it against the former owner.
 * Rejects with `PlatformUnavailableError` when the platform does not answer; the journal may or may not be sealed then.
 *
 * `sealPermission` is awaited between reading and sealing, so that the journal can be read while ownership is negotiated.
 */
export const openJournal = async (
    dependencies: JournalDependencies,
    sealPermission: Promise<void> = Promise.resolve(),
): Promise<OpenJournal> => {
    const { store, shard, signal, options: { ringSize, maxInFlight } } = dependencies;
    while (true) {
        signal.throwIfAborted();
        const chain = await readSegmentChain({ ...dependencies, ringSize, maxInFlight });
        if (chain === undefined) {
            continue;
        }
        const { pointer, segments, versions } = chain;
        const snapshot = pointer === undefined ? undefined : await readSnapshot(store, shard, pointer);
        await sealPermission;
        signal.throwIfAborted();
        const seal = await chain.seal();
        if (seal === undefined) {
            continue;
        }
        if (pointer !== undefined && snapshot === undefined) {
            throw new JournalDamagedError(`snapshot ${pointer.name} of shard ${shard} is incomplete`);
        }
        const { claim, sentAt } = seal;
        const journal = new Journal(dependencies, claim.epoch, {
            versions,
            sequence: claim.sequence,
            snapshot: pointer,
            claimSentAt: sentAt,
        });
        const records = segments.flatMap(segment => segment.records);
        const contents = { epoch: claim.epoch, snapshot, records };
        return { journal, contents, unreadableKeys: chain.unreadableKeys };
    }
};
