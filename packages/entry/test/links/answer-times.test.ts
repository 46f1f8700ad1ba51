import { expect } from "earl";
import { describe, it } from "node:test";
import { AnswerTimes, longestAnswerTime, shortestAnswerTime } from "../../src/index.js";

describe("the time after which an answer is taken for lost", () => {
    it("is the longest one before there was any", () => {
        expect(new AnswerTimes().limit).toEqual(longestAnswerTime);
    });

    it("follows the answers, within its bounds", () => {
        const times = new AnswerTimes();
        [5, 4, 6, 5].forEach(took => times.note(took));
        expect(times.limit).toEqual(shortestAnswerTime);
        for (let answer = 0; answer < 40; answer++) {
            times.note(200);
        }
        expect(times.limit > 200 && times.limit < longestAnswerTime).toEqual(true);
        times.note(5_000);
        expect(times.limit).toEqual(longestAnswerTime);
    });

    it("doubles with each answer that is lost in a row, so that a slow worker is waited for", () => {
        const times = new AnswerTimes();
        for (let answer = 0; answer < 40; answer++) {
            times.note(150);
        }
        const before = times.limit;
        times.noteLost();
        expect(times.limit).toEqual(Math.min(longestAnswerTime, before * 2));
        times.note(150);
        expect(times.limit < before * 2).toEqual(true);
    });
});
