import { expect } from "earl";
import { describe, it } from "node:test";
import { mostCertain } from "../../src/index.js";

const failed = { error: "instance-failed", reason: "the connection was reset", isComplete: false } as const;
const overloaded = { error: "overloaded", retryAfter: 250, isComplete: false } as const;
const answered = { status: 200, isComplete: true } as const;

describe("the outcome of a request that was sent more than once", () => {
    it("is not that it was not run once one of the instances may have run it", () => {
        expect(mostCertain(failed, overloaded)).toEqual(failed);
    });

    it("is the later one otherwise", () => {
        expect(mostCertain(failed, answered)).toEqual(answered);
        expect(mostCertain(overloaded, failed)).toEqual(failed);
    });
});
