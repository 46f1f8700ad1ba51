import { expect } from "earl";
import { describe, it } from "node:test";
import { ResponseTimeEstimator } from "../../src/index.js";

const bounds = { min: 120, max: 400 };

describe("ResponseTimeEstimator", () => {
    it("starts with the maximum timeout", () => {
        expect(new ResponseTimeEstimator(bounds).timeout).toEqual(bounds.max);
    });

    it("follows the response times within its bounds", () => {
        const estimator = new ResponseTimeEstimator(bounds);
        [5, 4, 6, 5].forEach(took => estimator.recordResponse(took));
        expect(estimator.timeout).toEqual(bounds.min);
        for (let answer = 0; answer < 40; answer++) {
            estimator.recordResponse(200);
        }
        expect(estimator.timeout > 200 && estimator.timeout < bounds.max).toEqual(true);
        estimator.recordResponse(5_000);
        expect(estimator.timeout).toEqual(bounds.max);
    });

    it("doubles the timeout with each consecutive timeout", () => {
        const estimator = new ResponseTimeEstimator(bounds);
        for (let answer = 0; answer < 40; answer++) {
            estimator.recordResponse(150);
        }
        const before = estimator.timeout;
        estimator.recordTimeout();
        expect(estimator.timeout).toEqual(Math.min(bounds.max, before * 2));
        estimator.recordResponse(150);
        expect(estimator.timeout < before * 2).toEqual(true);
    });
});
