import { expect } from "earl";
import { describe, it } from "node:test";
import { AnswerTimes } from "../../src/index.js";

const bounds = { shortest: 120, longest: 400 };

describe("the time after which an answer is taken for lost", () => {
    it("is the longest one before there was any", () => {
        expect(new AnswerTimes(bounds).limit).toEqual(bounds.longest);
    });

    it("follows the answers, within its bounds", () => {
        const times = new AnswerTimes(bounds);
        [5, 4, 6, 5].forEach(took => times.note(took));
        expect(times.limit).toEqual(bounds.shortest);
        for (let answer = 0; answer < 40; answer++) {
            times.note(200);
        }
        expect(times.limit > 200 && times.limit < bounds.longest).toEqual(true);
        times.note(5_000);
        expect(times.limit).toEqual(bounds.longest);
    });

    it("doubles with each answer that is lost in a row, so that a slow worker is waited for", () => {
        const times = new AnswerTimes(bounds);
        for (let answer = 0; answer < 40; answer++) {
            times.note(150);
        }
        const before = times.limit;
        times.noteLost();
        expect(times.limit).toEqual(Math.min(bounds.longest, before * 2));
        times.note(150);
        expect(times.limit < before * 2).toEqual(true);
    });
});
