/** Search for a counterexample in all scenarios. */
import { Explorer, shorten } from "./explorer.js";
import type { Mutation } from "./mutations.js";
import { scenarios } from "./scenarios.js";

/** Time for a scenario in the first round, in milliseconds; it grows with each round. */
const scenarioTime = 3_000;
const seed = 1;
/** Maximum number of violations that are reported. */
const maxReported = 5;

/** Result of the search; printed as JSON. */
export interface Finding {
    readonly scenario: string | undefined;
    readonly walks: number;
    readonly states: number;
    readonly story: readonly string[];
    readonly broken: readonly string[];
}

/** Explores scenarios in turn until one violates a rule or the time is over. */
export const exploreUntilFound = async (
    { rule, scenario: part = "" }: Pick<Mutation, "rule" | "scenario">,
    seconds: number,
): Promise<Finding> => {
    const endsAt = performance.now() + seconds * 1_000;
    const chosen = scenarios.filter(({ name }) => name.includes(part));
    let walks = 0;
    let states = 0;
    for (let round = 1; performance.now() < endsAt; round++) {
        for (const scenario of chosen) {
            const scenarioEndsAt = chosen.length === 1
                ? endsAt
                : Math.min(endsAt, performance.now() + scenarioTime * round);
            const exploration = await new Explorer(scenario, {
                maxDeviations: 2,
                seed: seed + round,
                isTimeLeft: () => performance.now() < scenarioEndsAt,
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
