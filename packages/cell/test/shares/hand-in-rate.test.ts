/** What organisations are owed, by the jobs a second that they hand in. */
import { type OrganisationName, organisationName, queueName, serviceName } from "@pebbledale/core";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { Entitlement, Job, SubmissionRate } from "../../src/index.js";
import { makeJob } from "../support/index.js";

const north = organisationName("north");
const terms = {
    service: serviceName("pool"),
    priority: 0,
    attempts: 1,
    extension: 1,
    latencyTarget: 0,
    advice: undefined,
};
let made = 0;
const jobAt = (acceptedAt: number, organisation: OrganisationName | undefined = north): Job => {
    const definition = makeJob(`job-${made++}`, []);
    return new Job(definition.job, queueName("work"), acceptedAt, definition, terms, acceptedAt, organisation);
};
const judged = (rate: SubmissionRate, jobs: readonly Job[]): Entitlement[] => {
    jobs.forEach(job => rate.noteJob(job));
    return jobs.map(job => rate.entitlementOf(job));
};
const { Entitled: Owed, Surplus } = Entitlement;

describe("the rate at which an organisation hands jobs in", () => {
    it("owes it the first jobs of each second, in the order of their acceptance", () => {
        const rate = new SubmissionRate(() => 2);
        const first = [0, 10, 20, 30, 900].map(at => jobAt(at));
        expect(judged(rate, first)).toEqual([Owed, Owed, Owed, Owed, Surplus]);
        expect(judged(rate, [1_000, 1_001, 1_002].map(at => jobAt(at)))).toEqual([Owed, Owed, Surplus]);
    });

    it("adds what the second before left unused, and no more", () => {
        const rate = new SubmissionRate(() => 2);
        judged(rate, [jobAt(4_000)]);
        expect(judged(rate, [5_000, 5_001, 5_002, 5_003].map(at => jobAt(at)))).toEqual([Owed, Owed, Owed, Surplus]);
    });

    it("counts a job once, whenever it is noted again", () => {
        const rate = new SubmissionRate(() => 1);
        const [first, second] = [jobAt(0), jobAt(1)];
        judged(rate, [first, first, first, second]);
        expect(rate.entitlementOf(second)).toEqual(Owed);
    });

    it("follows a rate that changes, also for jobs that it has counted", () => {
        let weight = 1;
        const rate = new SubmissionRate(() => weight);
        const jobs = [1_000, 1_001, 1_002].map(at => jobAt(at));
        expect(judged(rate, jobs)).toEqual([Owed, Owed, Surplus]);
        weight = 3;
        expect(jobs.map(job => rate.entitlementOf(job))).toEqual([Owed, Owed, Owed]);
    });

    it("owes everything where no organisation or no rate is known", () => {
        const rate = new SubmissionRate(() => undefined);
        expect(judged(rate, [jobAt(0), jobAt(0), jobAt(0)])).toEqual([Owed, Owed, Owed]);
        const nobody = Array.from(
            { length: 3 },
            () => new Job(makeJob("n", []).job, queueName("work"), 0, undefined, terms, 0, undefined),
        );
        expect(judged(new SubmissionRate(() => 1), nobody)).toEqual([Owed, Owed, Owed]);
    });

    it("starts anew when the time of day is set back", () => {
        const rate = new SubmissionRate(() => 1);
        judged(rate, [9_000, 9_001, 9_002].map(at => jobAt(at)));
        expect(judged(rate, [jobAt(3_000)])).toEqual([Owed]);
    });

    it("never counts a job within what is owed as surplus, whatever the others hand in", () => {
        const hour = 3_600_000;
        fc.assert(fc.property(
            fc.array(fc.record({ at: fc.nat(5_000), isNorth: fc.boolean() }), { maxLength: 60 }),
            fc.integer({ min: 1, max: 10 }),
            (arrivals, weight) => {
                const rate = new SubmissionRate(() => weight);
                const jobs = [...arrivals]
                    .sort((left, right) => left.at - right.at)
                    .map(({ at, isNorth }) => jobAt(hour + at, isNorth ? north : organisationName("south")));
                const counts = new Map<string, number>();
                for (const [index, entitlement] of judged(rate, jobs).entries()) {
                    const { organisation, acceptedAt } = jobs[index];
                    const second = `${organisation} ${Math.floor(acceptedAt / 1_000)}`;
                    const count = (counts.get(second) ?? 0) + 1;
                    counts.set(second, count);
                    expect(count > weight || entitlement === Owed).toEqual(true);
                    expect(count <= 2 * weight || entitlement === Surplus).toEqual(true);
                }
            },
        ));
    });
});
