/** Explores all scenarios in turn until a rule is broken. */
import { Explorer, shorten } from "./explorer.js";
import type { Mutation } from "./mutations.js";
import { scenarios } from "./scenarios.js";

/** Time for a scenario before the next one has its turn, in milliseconds. */
const scenarioTime = 3_000;
const seed = 1;
/** Most broken rules that are told. */
const maxReported = 5;

/** What was found, and how much was seen up to then. */
export interface Finding {
    readonly scenario: string | undefined;
    readonly walks: number;
    readonly states: number;
    readonly story: readonly string[];
    readonly broken: readonly string[];
}

/** See the module's comment. */
export const exploreUntilFound = async (
    { rule, scenario: part = "" }: Pick<Mutation, "rule" | "scenario">,
    seconds: number,
): Promise<Finding> => {
    const endsAt = performance.now() + seconds * 1_000;
    const chosen = scenarios.filter(({ name }) => name.includes(part));
    let walks = 0;
    let states = 0;
    for (let turn = 1; performance.now() < endsAt; turn++) {
        for (const scenario of chosen) {
            const turnEndsAt = chosen.length === 1 ? endsAt : Math.min(endsAt, performance.now() + scenarioTime * turn);
            const exploration = await new Explorer(scenario, {
                maxDeviations: 2,
                seed: seed + turn,
                isTimeLeft: () => performance.now() < turnEndsAt,
                maxCounterexamples: 1,
            }).run();
            walks += exploration.walks;
            states += exploration.states;
            const [found] = exploration.counterexamples;
            if (found !== undefined) {
                const { story, broken } = await shorten(found);
                return { scenario: scenario.name, walks, states, story, broken: broken.slice(0, maxReported) };
            }
        }
    }
    return { scenario: undefined, walks, states, story: [], broken: [`nothing; expected: ${rule}`] };
};
