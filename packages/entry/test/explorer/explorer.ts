/**
 * Explores a scenario: first as it goes by default, then with each one thing amiss, each two, and so on. A state that was reached with as
 * much still to be amiss is gone on from once.
 */
import { SeededRandom } from "@pebbledale/core";
import type { Deviation } from "./choices.js";
import type { Scenario } from "./scenarios.js";
import { playWalk, type Walk } from "./walk.js";

/** What an exploration showed. */
export interface Exploration {
    readonly scenario: Scenario;
    /** How many walks were played. */
    readonly walks: number;
    /** How many states were told apart. */
    readonly states: number;
    /** The longest walk, in choices. */
    readonly depth: number;
    /** All walks with at most so many things amiss were played; -1 when not even the first was. */
    readonly exhaustedThrough: number;
    readonly strays: number;
    readonly counterexamples: readonly Walk[];
}

/** How far an exploration goes. */
export interface ExplorationLimits {
    /** Most things that are amiss in one walk. */
    readonly maxDeviations: number;
    readonly seed: number;
    /** Whether to go on; asked before each walk. */
    readonly isTimeLeft: () => boolean;
    /** Ends after so many counterexamples. */
    readonly maxCounterexamples: number;
}

/** See the module's comment. */
export class Explorer {
    readonly #states = new Set<string>();
    /** By state, how much may still be amiss in the walks that went on from it. */
    readonly #expandedFrom = new Map<string, number>();
    readonly #counterexamples: Walk[] = [];
    readonly #random: SeededRandom;
    #walks = 0;
    #depth = 0;
    #strays = 0;

    constructor(private readonly scenario: Scenario, private readonly limits: ExplorationLimits) {
        this.#random = new SeededRandom(limits.seed);
    }

    /** Explores until nothing is left, or no time. */
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

    /** Plays walks and gathers those with one thing more amiss; whether all were played. */
    async #playAll(level: (readonly Deviation[])[], left: number, next: (readonly Deviation[])[]): Promise<boolean> {
        for (const deviations of level) {
            const isDue = this.limits.isTimeLeft() && this.#counterexamples.length < this.limits.maxCounterexamples;
            if (!isDue) {
                return false;
            }
            const walk = await playWalk(this.scenario, deviations);
            this.#note(walk);
            if (walk.broken.length === 0 && left > 0) {
                this.#expand(walk, left, next);
            }
        }
        return true;
    }

    #note({ points, broken, strays, ...walk }: Walk): void {
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

    /** In an order that the seed draws, so that what time allows is spread over all. */
    #shuffled(all: (readonly Deviation[])[]): (readonly Deviation[])[] {
        for (let last = all.length - 1; last > 0; last--) {
            const other = Math.floor(this.#random.next() * (last + 1));
            [all[last], all[other]] = [all[other], all[last]];
        }
        return all;
    }
}

/** The fewest of a walk's deviations that still break the same rule. */
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
