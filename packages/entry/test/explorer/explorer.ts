/** Exhaustive exploration of a scenario, bounded by the number of faults. */
import { SeededRandom } from "@pebbledale/core";
import type { Deviation } from "./choices.js";
import type { Scenario } from "./scenarios.js";
import { playWalk, type Walk } from "./walk.js";

/** Result of an exploration. */
export interface Exploration {
    readonly scenario: Scenario;
    readonly walks: number;
    /** Number of distinct states. */
    readonly states: number;
    /** Choice points of the longest walk. */
    readonly depth: number;
    /** All walks with up to this many deviations were played; -1 if not even the first walk was. */
    readonly exhaustedThrough: number;
    readonly strays: number;
    readonly counterexamples: readonly Walk[];
}

/** Limits of an exploration. */
export interface ExplorationLimits {
    /** Maximum number of deviations in one walk. */
    readonly maxDeviations: number;
    readonly seed: number;
    /** Checked before each walk; exploration stops when it is false. */
    readonly isTimeLeft: () => boolean;
    /** Exploration stops after this many counterexamples. */
    readonly maxCounterexamples: number;
}

/**
 * Plays walks breadth first: the one without faults, then those with one, with two, and so on. A state is expanded again only when
 * more faults remain than in its earlier expansions.
 */
export class Explorer {
    readonly #states = new Set<string>();
    /** By state, the largest number of remaining deviations with which it was expanded. */
    readonly #expandedFrom = new Map<string, number>();
    readonly #counterexamples: Walk[] = [];
    readonly #random: SeededRandom;
    #walks = 0;
    #depth = 0;
    #strays = 0;

    constructor(private readonly scenario: Scenario, private readonly limits: ExplorationLimits) {
        this.#random = new SeededRandom(limits.seed);
    }

    /** Explores until nothing is left or a limit is reached. */
    async run(): Promise<Exploration> {
        let level: (readonly Deviation[])[] = [[]];
        let exhaustedThrough = -1;
        for (let depth = 0; depth <= this.limits.maxDeviations && level.length > 0; depth++) {
            const next: (readonly Deviation[])[] = [];
            if (!await this.#playAll(level, this.limits.maxDeviations - depth, next)) {
                break;
            }
            exhaustedThrough = depth;
            level = this.#shuffled(next);
        }
        return {
            scenario: this.scenario,
            walks: this.#walks,
            states: this.#states.size,
            depth: this.#depth,
            exhaustedThrough,
            strays: this.#strays,
            counterexamples: this.#counterexamples,
        };
    }

    /** Plays walks and collects those with one more deviation in `next`; resolves to whether all were played. */
    async #playAll(level: (readonly Deviation[])[], left: number, next: (readonly Deviation[])[]): Promise<boolean> {
        for (const deviations of level) {
            const isDue = this.limits.isTimeLeft() && this.#counterexamples.length < this.limits.maxCounterexamples;
            if (!isDue) {
                return false;
            }
            const walk = await playWalk(this.scenario, deviations);
            this.#record(walk);
            if (walk.broken.length === 0 && left > 0) {
                this.#expand(walk, left, next);
            }
        }
        return true;
    }

    #record({ points, broken, strays, ...walk }: Walk): void {
        this.#walks++;
        this.#depth = Math.max(this.#depth, points.length);
        this.#strays += strays > 0 ? 1 : 0;
        points.forEach(({ state }) => this.#states.add(state));
        if (broken.length > 0) {
            this.#counterexamples.push({ ...walk, points, broken, strays });
        }
    }

    #expand({ points, deviations }: Walk, left: number, next: (readonly Deviation[])[]): void {
        const first = (deviations.at(-1)?.[0] ?? -1) + 1;
        for (let number = first; number < points.length; number++) {
            const { state, options, label } = points[number];
            const name = `${label} ${state}`;
            if ((this.#expandedFrom.get(name) ?? 0) >= left) {
                continue;
            }
            this.#expandedFrom.set(name, left);
            for (let option = 1; option < options.length; option++) {
                next.push([...deviations, [number, option]]);
            }
        }
    }

    /** Shuffles walks by the seed, so that a limited time is spread over all of them. */
    #shuffled(all: (readonly Deviation[])[]): (readonly Deviation[])[] {
        for (let last = all.length - 1; last > 0; last--) {
            const other = Math.floor(this.#random.next() * (last + 1));
            [all[last], all[other]] = [all[other], all[last]];
        }
        return all;
    }
}

/** Removes deviations from a walk as long as it still violates the same rule. */
export const shorten = async (walk: Walk): Promise<Walk> => {
    const rule = ruleOf(walk);
    let shortest = walk;
    for (const deviation of walk.deviations) {
        const fewer = shortest.deviations.filter(other => other !== deviation);
        const tried = await playWalk(walk.scenario, fewer);
        shortest = tried.broken.length > 0 && ruleOf(tried) === rule ? tried : shortest;
    }
    return shortest;
};

const ruleOf = ({ broken }: Walk): string | undefined => broken[0]?.split(":")[0];
