/**
 * What each organisation has at work, and how much more it may have.
 *
 * A run counts from its order until it is surely over, in the same span as it holds its worker's room: stopped but not ended, at a
 * worker that is not heard, ordered by a former owner. So no order of losses and late answers brings an organisation over its limit.
 */
import type { OrganisationName } from "@pebbledale/core";
import type { TaskSize } from "../task-size/index.js";
import type { Organisation } from "./types.js";

const dimensions = ["processorThousandths", "memoryMebibytes", "accelerators"] as const;

type Usage = { -readonly [dimension in keyof TaskSize]: number; };

const noUsage = (): Usage => ({ processorThousandths: 0, memoryMebibytes: 0, accelerators: 0 });

/** See the module's comment. */
export class UsageLedger {
    readonly #used = new Map<OrganisationName, Usage>();
    readonly #limits = new Map<OrganisationName, TaskSize>();

    /** Takes the limits of a configuration. One that it does not name keeps its last limit: its jobs go on. */
    configure(organisations: readonly Organisation[]): void {
        organisations.forEach(({ name, limit }) => this.#limits.set(name, limit));
    }

    /** Takes a limit of an earlier owner's time, unless a configuration has told one. */
    recoverLimit(organisation: OrganisationName | undefined, limit: TaskSize | undefined): void {
        if (organisation !== undefined && limit !== undefined && !this.#limits.has(organisation)) {
            this.#limits.set(organisation, limit);
        }
    }

    /** A run of an organisation is ordered, or found at a worker. */
    add(organisation: OrganisationName | undefined, size: TaskSize): void {
        this.#change(organisation, size, 1);
    }

    /** A run is surely over. */
    remove(organisation: OrganisationName | undefined, size: TaskSize): void {
        this.#change(organisation, size, -1);
    }

    /** What an organisation has at work. */
    usedBy(organisation: OrganisationName): TaskSize {
        return this.#used.get(organisation) ?? noUsage();
    }

    /** What an organisation may have at work; undefined when it was never told. */
    limitOf(organisation: OrganisationName): TaskSize | undefined {
        return this.#limits.get(organisation);
    }

    /** Whether an organisation has less than a share of its limit at work, in each dimension that has one. */
    isBelowShare(organisation: OrganisationName, share: number): boolean {
        const used = this.usedBy(organisation);
        const limit = this.#limits.get(organisation) ?? noUsage();
        return dimensions.every(dimension => limit[dimension] === 0 || used[dimension] < limit[dimension] * share);
    }

    /** How many more tasks of a size an organisation may have at work now, within a share of its limit. */
    countRemaining(organisation: OrganisationName | undefined, size: TaskSize, share = 1): number {
        return organisation === undefined
            ? Infinity
            : this.#count(organisation, size, this.usedBy(organisation), share);
    }

    /** How many tasks of a size an organisation may have at work with nothing else. */
    countWhenIdle(organisation: OrganisationName | undefined, size: TaskSize): number {
        return organisation === undefined ? Infinity : this.#count(organisation, size, noUsage(), 1);
    }

    #count(organisation: OrganisationName, size: TaskSize, used: TaskSize, share: number): number {
        const limit = this.#limits.get(organisation);
        if (limit === undefined) {
            // Its limit is in a configuration that this VM is about to read.
            return 0;
        }
        let count = Infinity;
        for (const dimension of dimensions) {
            if (limit[dimension] > 0 && size[dimension] > 0) {
                count = Math.min(count, Math.floor((limit[dimension] * share - used[dimension]) / size[dimension]));
            }
        }
        return Math.max(0, count);
    }

    #change(organisation: OrganisationName | undefined, size: TaskSize, sign: number): void {
        if (organisation === undefined) {
            return;
        }
        const used = this.#used.get(organisation) ?? noUsage();
        dimensions.forEach(dimension => used[dimension] += sign * size[dimension]);
        this.#used.set(organisation, used);
    }
}
