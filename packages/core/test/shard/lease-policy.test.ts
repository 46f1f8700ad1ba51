import { expect } from "earl";
import { describe, it } from "node:test";
import { LeasePolicy } from "../../src/index.js";

const terms = (leaseDuration: number, horizon = 60_000) => ({ horizon, leaseDuration, leaseMargin: 1_000 });

describe("LeaseTerms", () => {
    it("gives no lease before the first terms are kept", () => {
        const leaseTerms = new LeasePolicy();
        leaseTerms.recover(undefined);
        expect(leaseTerms.currentTerms(terms(10_000)).horizon).toEqual(0);
        leaseTerms.onCommitted(terms(10_000));
        expect(leaseTerms.currentTerms(terms(10_000))).toEqual(terms(10_000));
    });

    it("uses a longer lease only once it is kept", () => {
        const leaseTerms = new LeasePolicy();
        leaseTerms.recover(terms(10_000));
        expect(leaseTerms.termsToRecord(terms(30_000), 0)).toEqual(terms(30_000));
        expect(leaseTerms.currentTerms(terms(30_000)).leaseDuration).toEqual(10_000);
        leaseTerms.onCommitted(terms(30_000));
        expect(leaseTerms.currentTerms(terms(30_000)).leaseDuration).toEqual(30_000);
    });

    it("gives a shorter lease at once and keeps it only when the longer ones have ended", () => {
        const leaseTerms = new LeasePolicy();
        leaseTerms.recover(terms(30_000));
        expect(leaseTerms.termsToRecord(terms(10_000), 0)).toEqual(undefined);
        expect(leaseTerms.currentTerms(terms(10_000)).leaseDuration).toEqual(10_000);
        expect(leaseTerms.termsToRecord(terms(10_000), 31_000)).toEqual(undefined);
        expect(leaseTerms.termsToRecord(terms(10_000), 31_001)).toEqual(terms(10_000));
    });

    it("keeps what a former owner may have given apart from what is given now", () => {
        const leaseTerms = new LeasePolicy();
        leaseTerms.recover(terms(30_000, 900_000));
        leaseTerms.onCommitted(terms(10_000, 60_000));
        expect(leaseTerms.formerTerms()).toEqual(terms(30_000, 900_000));
    });
});
