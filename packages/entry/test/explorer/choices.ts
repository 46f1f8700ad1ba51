/** Choices between alternatives in a walk. */

/** A choice other than the default: the index of the choice point, and the index of the option chosen there. */
export type Deviation = readonly [point: number, option: number];

/** A point of a walk with several alternatives. */
export interface ChoicePoint {
    readonly label: string;
    /** The first one is the default, in which no fault occurs. */
    readonly options: readonly string[];
    /** Hash of the simulation's state at this point. */
    readonly state: string;
}

/** Replays a walk's deviations and records its choice points, so that further walks can deviate at them. */
export class Choices {
    readonly points: ChoicePoint[] = [];
    readonly #deviations: ReadonlyMap<number, number>;

    /** `hashState` hashes the present state of the simulation. */
    constructor(deviations: readonly Deviation[], private readonly hashState: () => string) {
        this.#deviations = new Map(deviations);
    }

    /** Returns the index of the chosen option. */
    choose(label: string, options: readonly string[]): number {
        const option = this.#deviations.get(this.points.length) ?? 0;
        this.points.push({ label, options, state: this.hashState() });
        return option < options.length ? option : 0;
    }

    /** Describes each deviation in one line. */
    get story(): string[] {
        return this.points.flatMap(({ label, options }, number) => {
            const option = this.#deviations.get(number) ?? 0;
            return option > 0 && option < options.length ? [`${label}: ${options[option]}`] : [];
        });
    }
}
