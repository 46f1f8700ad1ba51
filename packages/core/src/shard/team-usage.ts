/** Resource usage of teams. */
import {
    addResources,
    dimensions,
    multiplyResources,
    noResources,
    type Resources,
    subtractResources,
} from "../resources/index.js";
import type { ShardSettings } from "./settings.js";

/** Sums the granted resources of each team and checks them against its quota. */
export class TeamUsage {
    readonly #usage = new Map<string, Resources>();

    /** Whether a team may hold `count` further tasks of a size. */
    isWithinQuota(team: string, size: Resources, count: number, quotas: ShardSettings["quotas"]): boolean {
        const quota = quotas.get(team);
        if (quota === undefined) {
            return true;
        }
        const after = addResources(this.#usageOf(team), multiplyResources(size, count));
        return dimensions.every(name => after[name] <= (quota[name] ?? Infinity));
    }

    charge(team: string, grant: Resources): void {
        this.#usage.set(team, addResources(this.#usageOf(team), grant));
    }

    release(team: string, grant: Resources): void {
        this.#usage.set(team, subtractResources(this.#usageOf(team), grant));
    }

    #usageOf(team: string): Resources {
        return this.#usage.get(team) ?? noResources;
    }
}
