/** The points at which a walk may go on in several ways, and what it does otherwise than by default. */

/** What a walk does otherwise than by default: the number of a point, and which of its options is taken. */
export type Deviation = readonly [point: number, option: number];

/** One point of a walk. */
export interface ChoicePoint {
    readonly label: string;
    /** The first one is what happens by default: nothing is amiss. */
    readonly options: readonly string[];
    /** Names the state of the world at this point. */
    readonly state: string;
}

/** See the module's comment. */
export class Choices {
    readonly points: ChoicePoint[] = [];
    readonly #deviations: ReadonlyMap<number, number>;

    /** `nameState`: names the state of the world at the moment. */
    constructor(deviations: readonly Deviation[], private readonly nameState: () => string) {
        this.#deviations = new Map(deviations);
    }

    /** Takes one of some options; the number of the one that is taken. */
    choose(label: string, options: readonly string[]): number {
        const option = this.#deviations.get(this.points.length) ?? 0;
        this.points.push({ label, options, state: this.nameState() });
        return option < options.length ? option : 0;
    }

    /** What was done otherwise than by default, a line each. */
    get story(): string[] {
        return this.points.flatMap(({ label, options }, number) => {
            const option = this.#deviations.get(number) ?? 0;
            return option > 0 && option < options.length ? [`${label}: ${options[option]}`] : [];
        });
    }
}
