/** The closures of data halls that this VM knows of. */
import type { HallChanges, HallClosures } from "@pebbledale/cell";
import { type DataHallName, logEvents } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";

/** What a {@link HallClosureWatch} depends on. */
export interface HallClosureWatchOptions {
    readonly logger: EventLogger;
    /** Called when the set of closed data halls has changed. */
    readonly onChange: (closures: HallClosures) => void;
}

/**
 * Keeps the newest closures of data halls, from this VM's own readings of the store or from other VMs. Its own readings are kept
 * apart, as changes that the store reports apply to these and not to what another VM has told.
 */
export class HallClosureWatch {
    readonly #ownHalls = new Set<DataHallName>();
    #newest: HallClosures = { halls: [], revision: 0 };

    constructor(private readonly options: HallClosureWatchOptions) {}

    get closures(): HallClosures {
        return this.#newest;
    }

    isClosed(hall: DataHallName): boolean {
        return this.#newest.halls.includes(hall);
    }

    /** Applies a complete reading of the store. */
    replace({ closed, revision }: HallChanges): void {
        this.#ownHalls.clear();
        closed.forEach(hall => this.#ownHalls.add(hall));
        this.#adopt({ halls: [...this.#ownHalls], revision }, "store");
    }

    /** Applies changes since the last reading of the store. */
    change({ closed, reopened, revision }: HallChanges): void {
        closed.forEach(hall => this.#ownHalls.add(hall));
        reopened.forEach(hall => this.#ownHalls.delete(hall));
        this.#adopt({ halls: [...this.#ownHalls], revision }, "store");
    }

    /**
     * Applies what another VM knows; returns this VM's closures if they are newer and differ. Readings in pages can differ at the same
     * revision: both VMs then take a data hall as closed if either does, until a later reading.
     */
    applyPeers(closures: HallClosures): HallClosures | undefined {
        const { halls, revision } = this.#newest;
        const isSameRevision = closures.revision === revision;
        this.#adopt(isSameRevision ? { halls: unionOf(halls, closures.halls), revision } : closures, "vm");
        return isSameRevision || hasSameHalls(this.#newest, closures) ? undefined : this.#newest;
    }

    #adopt(closures: HallClosures, source: string): void {
        if (closures.revision < this.#newest.revision) {
            return;
        }
        const hasChanged = !hasSameHalls(closures, this.#newest);
        this.#newest = closures;
        if (hasChanged) {
            this.options.logger.log(logEvents.hallClosuresLearned, { ...closures, source });
            this.options.onChange(closures);
        }
    }
}

const unionOf = (left: readonly DataHallName[], right: readonly DataHallName[]): DataHallName[] => [
    ...new Set([...left, ...right]),
];

const hasSameHalls = (left: HallClosures, right: HallClosures): boolean =>
    left.halls.length === right.halls.length && left.halls.every(hall => right.halls.includes(hall));
