import { ManualClock, type Milliseconds } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type Followed, FollowLoop } from "../../src/index.js";
import { pass } from "../support/index.js";

/** Answers at once while `isSilent` is false, and never to a call that was made while it was true. */
class Source implements Followed {
    isSilent = false;
    readonly calls: Milliseconds[] = [];

    constructor(private readonly clock: ManualClock) {}

    readAll(): Promise<string> {
        return this.#answer("first");
    }

    async takeChanges(_cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<string | undefined> {
        const answer = this.#answer("next");
        await this.clock.sleep(wait, signal);
        return answer;
    }

    #answer(cursor: string): Promise<string> {
        this.calls.push(this.clock.monotonic());
        return this.isSilent ? new Promise(() => undefined) : Promise.resolve(cursor);
    }
}

const begin = () => {
    const clock = new ManualClock();
    const source = new Source(clock);
    const stop = new AbortController();
    const ages: (Milliseconds | undefined)[] = [];
    const loop = new FollowLoop({
        followed: source,
        clock,
        onAnswer: () => undefined,
        onFailure: (_cause, age) => ages.push(age),
    });
    void loop.run(stop.signal);
    return { clock, source, stop, loop, ages };
};

describe("what is followed in the store", () => {
    it("is as old as the last answer", async () => {
        const { clock, loop, stop } = begin();
        expect(loop.age).toEqual(undefined);
        await pass(clock, 10);
        clock.advance(300);
        expect(loop.age).toEqual(300);
        stop.abort();
    });
});
