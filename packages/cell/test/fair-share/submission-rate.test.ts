/** Entitlements of organisations by their rate of submitted jobs. */
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
const classify = (rate: SubmissionRate, jobs: readonly Job[]): Entitlement[] => {
    jobs.forEach(job => rate.noteJob(job));
    return jobs.map(job => rate.entitlementOf(job));
};
const { Entitled, Surplus } = Entitlement;

describe("the rate at which an organisation submits jobs", () => {
    it("entitles it to the first jobs of each second, in the order of their acceptance", () => {
        const rate = new SubmissionRate(() => 2);
        const first = [0, 10, 20, 30, 900].map(at => jobAt(at));
        expect(classify(rate, first)).toEqual([Entitled, Entitled, Entitled, Entitled, Surplus]);
        expect(classify(rate, [1_000, 1_001, 1_002].map(at => jobAt(at)))).toEqual([Entitled, Entitled, Surplus]);
    });

    it("adds the unused entitlement of the second before, and no more", () => {
        const rate = new SubmissionRate(() => 2);
        classify(rate, [jobAt(4_000)]);
        expect(classify(rate, [5_000, 5_001, 5_002, 5_003].map(at => jobAt(at)))).toEqual([
            Entitled,
            Entitled,
            Entitled,
            Surplus,
        ]);
    });

    it("counts a job once, however often it is reported", () => {
        const rate = new SubmissionRate(() => 1);
        const [first, second] = [jobAt(0), jobAt(1)];
        classify(rate, [first, first, first, second]);
        expect(rate.entitlementOf(second)).toEqual(Entitled);
    });

    it("applies a changed rate to jobs that were already counted", () => {
        let weight = 1;
        const rate = new SubmissionRate(() => weight);
        const jobs = [1_000, 1_001, 1_002].map(at => jobAt(at));
        expect(classify(rate, jobs)).toEqual([Entitled, Entitled, Surplus]);
        weight = 3;
        expect(jobs.map(job => rate.entitlementOf(job))).toEqual([Entitled, Entitled, Entitled]);
    });

    it("classifies all jobs as entitled where no organisation or no rate is known", () => {
        const rate = new SubmissionRate(() => undefined);
        expect(classify(rate, [jobAt(0), jobAt(0), jobAt(0)])).toEqual([Entitled, Entitled, Entitled]);
        const nobody = Array.from(
            { length: 3 },
            () => new Job(makeJob("n", []).job, queueName("work"), 0, undefined, terms, 0, undefined),
        );
        expect(classify(new SubmissionRate(() => 1), nobody)).toEqual([Entitled, Entitled, Entitled]);
    });

    it("restarts its count when the wall clock is set back", () => {
        const rate = new SubmissionRate(() => 1);
        classify(rate, [9_000, 9_001, 9_002].map(at => jobAt(at)));
        expect(classify(rate, [jobAt(3_000)])).toEqual([Entitled]);
    });

    it("never classifies a job within the entitlement as surplus, whatever others submit", () => {
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
                for (const [index, entitlement] of classify(rate, jobs).entries()) {
                    const { organisation, acceptedAt } = jobs[index];
                    const second = `${organisation} ${Math.floor(acceptedAt / 1_000)}`;
                    const count = (counts.get(second) ?? 0) + 1;
                    counts.set(second, count);
                    expect(count > weight || entitlement === Entitled).toEqual(true);
                    expect(count <= 2 * weight || entitlement === Surplus).toEqual(true);
                }
            },
        ));
    });
});
