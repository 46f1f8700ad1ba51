import { expect } from "earl";
import { describe, it } from "node:test";
import { ResponseTimeEstimator } from "../../src/index.js";

const bounds = { min: 120, max: 400 };

describe("the time after which an answer is taken for lost", () => {
    it("is the longest one before there was any", () => {
        expect(new ResponseTimeEstimator(bounds).timeout).toEqual(bounds.max);
    });

    it("follows the answers, within its bounds", () => {
        const times = new ResponseTimeEstimator(bounds);
        [5, 4, 6, 5].forEach(took => times.recordResponse(took));
        expect(times.timeout).toEqual(bounds.min);
        for (let answer = 0; answer < 40; answer++) {
            times.recordResponse(200);
        }
        expect(times.timeout > 200 && times.timeout < bounds.max).toEqual(true);
        times.recordResponse(5_000);
        expect(times.timeout).toEqual(bounds.max);
    });

    it("doubles with each answer that is lost in a row, so that a slow worker is waited for", () => {
        const times = new ResponseTimeEstimator(bounds);
        for (let answer = 0; answer < 40; answer++) {
            times.recordResponse(150);
        }
        const before = times.timeout;
        times.recordTimeout();
        expect(times.timeout).toEqual(Math.min(bounds.max, before * 2));
        times.recordResponse(150);
        expect(times.timeout < before * 2).toEqual(true);
    });
});
