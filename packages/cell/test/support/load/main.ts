/** Replays load patterns from the command line and prints how well callers were served: `npm run replay -- PATTERN SEED...`. */
import { SystemClock } from "@pebbledale/core";
import { crowdedLoad, crowdedOutageLoad } from "./crowded-patterns.js";
import { floodedKioskLoad, fullKioskLoad, hotKioskLoad, wavesLoad } from "./kiosk-patterns.js";
import type { Outcome, ServiceLevel } from "./outcome.js";
import type { LoadPattern } from "./pattern.js";
import {
    backlogLoad,
    closedHallLoad,
    crashingLoad,
    grownLoad,
    hotLoad,
    narrowBacklogLoad,
    narrowLoad,
    sharedLoad,
    smallLoad,
    steadyLoad,
    worstLoad,
} from "./patterns.js";
import { Replay } from "./replay.js";

const patterns = new Map(
    [
        steadyLoad,
        worstLoad,
        grownLoad,
        smallLoad,
        backlogLoad,
        crashingLoad,
        narrowLoad,
        narrowBacklogLoad,
        sharedLoad,
        hotLoad,
        fullKioskLoad,
        floodedKioskLoad,
        hotKioskLoad,
        wavesLoad,
        closedHallLoad,
        crowdedLoad,
        crowdedOutageLoad,
    ]
        .map(load => [load.name, load]),
);

const percent = (share: number): string => `${(100 * share).toFixed(1)}%`;

const serviceLevelLine = (name: string, { submitted, onTime, late, share, median }: ServiceLevel): string =>
    `  ${name.padEnd(24)} ${
        percent(share).padStart(7)
    } of its worth; ${onTime} on time, ${late} late of ${submitted}; median ${Math.round(median)} ms`;

const cycleLine = (durations: readonly number[]): string => {
    const sorted = [...durations].sort((left, right) => right - left);
    const mean = durations.reduce((sum, duration) => sum + duration, 0) / Math.max(1, durations.length);
    return `  ${durations.length} passes: mean ${mean.toFixed(2)} ms, longest ${(sorted[0] ?? 0).toFixed(0)} ms`;
};

const print = (pattern: LoadPattern, seed: number, outcome: Outcome): void => {
    console.log(
        `${pattern.name}, seed ${seed}: ${percent(outcome.total)} of all worth; ${
            percent(outcome.idleShare)
        } idle while work waits; ${
            percent(outcome.wastedShare)
        } of the work thrown away; ${outcome.questions} questions; ${outcome.slowJudgements} workers judged slow; worst windows ${
            percent(outcome.worstWindows)
        }; not served within three times the objective ${percent(outcome.unservedShare)}`,
    );
    const idle = Object.entries(outcome.idleShares).map(([name, share]) => `${name} ${percent(share)}`);
    console.log(`  idle by service: ${idle.join(", ")}`);
    if (outcome.lastingShare !== undefined) {
        console.log(`  tasks that last were at work ${percent(outcome.lastingShare)} of their time`);
    }
    for (const [name, { all, nextFifth, largestTenth }] of Object.entries(outcome.queues)) {
        console.log(serviceLevelLine(name, all));
        console.log(serviceLevelLine(`${name}, largest tenth`, largestTenth));
        console.log(serviceLevelLine(`${name}, fifth beneath`, nextFifth));
    }
    if (outcome.worstOrganisations !== undefined) {
        console.log(
            `  the worst-served tenth of the organisations: ${percent(outcome.worstOrganisations)} of its worth`,
        );
    }
    console.log(cycleLine(outcome.cycleTimes));
    if (outcome.mostCrashes > 0) {
        console.log(`  workers crashed under one task: ${outcome.mostCrashes} at most`);
    }
    outcome.violations.forEach(line => console.log(`  broken: ${line}`));
};

const [name = "", ...seeds] = process.argv.slice(2);
const pattern = patterns.get(name);
const numbers = seeds.map(Number);
if (pattern === undefined || numbers.length === 0 || numbers.some(seed => !Number.isInteger(seed))) {
    console.error(
        `usage: npm run replay -- PATTERN SEED...; patterns: ${[...patterns.keys()].join(", ")}; seeds: whole numbers`,
    );
    process.exitCode = 2;
}
else {
    numbers.forEach(seed => print(pattern, seed, new Replay({ ...pattern, seed }, new SystemClock()).run()));
}
