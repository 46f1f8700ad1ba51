import { expect } from "earl";
import { describe, it } from "node:test";
import { LeasePolicy } from "../../src/index.js";

const terms = (leaseDuration: number, horizon = 60_000) => ({ horizon, leaseDuration, leaseMargin: 1_000 });

describe("LeasePolicy", () => {
    it("grants no lease before the first terms are committed", () => {
        const policy = new LeasePolicy();
        policy.recover(undefined);
        expect(policy.currentTerms(terms(10_000)).horizon).toEqual(0);
        policy.onCommitted(terms(10_000));
        expect(policy.currentTerms(terms(10_000))).toEqual(terms(10_000));
    });

    it("uses a longer lease duration only once it is committed", () => {
        const policy = new LeasePolicy();
        policy.recover(terms(10_000));
        expect(policy.termsToRecord(terms(30_000), 0)).toEqual(terms(30_000));
        expect(policy.currentTerms(terms(30_000)).leaseDuration).toEqual(10_000);
        policy.onCommitted(terms(30_000));
        expect(policy.currentTerms(terms(30_000)).leaseDuration).toEqual(30_000);
    });

    it("uses a shorter lease duration at once and records it only when the longer leases have expired", () => {
        const policy = new LeasePolicy();
        policy.recover(terms(30_000));
        expect(policy.termsToRecord(terms(10_000), 0)).toEqual(undefined);
        expect(policy.currentTerms(terms(10_000)).leaseDuration).toEqual(10_000);
        expect(policy.termsToRecord(terms(10_000), 31_000)).toEqual(undefined);
        expect(policy.termsToRecord(terms(10_000), 31_001)).toEqual(terms(10_000));
    });

    it("keeps the former owner's terms apart from the current ones", () => {
        const policy = new LeasePolicy();
        policy.recover(terms(30_000, 900_000));
        policy.onCommitted(terms(10_000, 60_000));
        expect(policy.formerTerms()).toEqual(terms(30_000, 900_000));
    });
});
