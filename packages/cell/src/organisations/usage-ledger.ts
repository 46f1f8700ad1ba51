/** Usage and limits of organisations. */
import type { OrganisationName } from "@pebbledale/core";
import type { TaskSize } from "../task-size/index.js";
import type { Organisation } from "./types.js";

const dimensions = ["processorThousandths", "memoryMebibytes", "accelerators"] as const;

/** A kind of resource that a limit bounds. */
export type LimitDimension = typeof dimensions[number];

type Usage = { -readonly [dimension in keyof TaskSize]: number; };

const noUsage = (): Usage => ({ processorThousandths: 0, memoryMebibytes: 0, accelerators: 0 });

/**
 * Accounts for the resources that each organisation uses, against its limit.
 *
 * A run counts from its order until it has certainly ended, also while it is being stopped, while its worker does not answer, and if an
 * earlier owner ordered it. Lost or late messages therefore never bring an organisation over its limit.
 */
export class UsageLedger {
    readonly #used = new Map<OrganisationName, Usage>();
    readonly #limits = new Map<OrganisationName, TaskSize>();

    /** Applies the limits of a configuration. An organisation that is no longer configured keeps its last limit for its remaining jobs. */
    configure(organisations: readonly Organisation[]): void {
        organisations.forEach(({ name, limit }) => this.#limits.set(name, limit));
    }

    /** Restores a limit recorded by an earlier owner, unless a configuration has already set one. */
    recoverLimit(organisation: OrganisationName | undefined, limit: TaskSize | undefined): void {
        if (organisation !== undefined && limit !== undefined && !this.#limits.has(organisation)) {
            this.#limits.set(organisation, limit);
        }
    }

    /** Adds a run that is ordered or found at a worker. */
    add(organisation: OrganisationName | undefined, size: TaskSize): void {
        this.#change(organisation, size, 1);
    }

    /** Removes a run that has certainly ended. */
    remove(organisation: OrganisationName | undefined, size: TaskSize): void {
        this.#change(organisation, size, -1);
    }

    /** Resources that an organisation uses now. */
    usedBy(organisation: OrganisationName): TaskSize {
        return this.#used.get(organisation) ?? noUsage();
    }

    /** Undefined when no limit is known yet. */
    limitOf(organisation: OrganisationName): TaskSize | undefined {
        return this.#limits.get(organisation);
    }

    /** Whether an organisation uses less than a share of its limit, in each dimension of `among` that has one. */
    isBelowShare(
        organisation: OrganisationName,
        share: number,
        among: readonly LimitDimension[] = dimensions,
    ): boolean {
        const used = this.usedBy(organisation);
        const limit = this.#limits.get(organisation) ?? noUsage();
        return among.every(dimension => limit[dimension] === 0 || used[dimension] < limit[dimension] * share);
    }

    /** The dimensions in which the rest of an organisation's limit is too small for `count` tasks of a size. */
    lackingDimensions(organisation: OrganisationName, size: TaskSize, count: number): readonly LimitDimension[] {
        const used = this.usedBy(organisation);
        const limit = this.#limits.get(organisation) ?? noUsage();
        return dimensions.filter(dimension =>
            limit[dimension] > 0 && count * size[dimension] > limit[dimension] - used[dimension]
        );
    }

    /** How many more tasks of a size an organisation may run now, within a share of its limit. */
    countRemaining(organisation: OrganisationName | undefined, size: TaskSize, share = 1): number {
        return organisation === undefined
            ? Infinity
            : this.#count(organisation, size, this.usedBy(organisation), share);
    }

    /** How many tasks of a size an organisation may run with nothing else. */
    countWhenIdle(organisation: OrganisationName | undefined, size: TaskSize): number {
        return organisation === undefined ? Infinity : this.#count(organisation, size, noUsage(), 1);
    }

    #count(organisation: OrganisationName, size: TaskSize, used: TaskSize, share: number): number {
        const limit = this.#limits.get(organisation);
        if (limit === undefined) {
            // The limit is not known until this VM has read the configuration.
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
