import { expect } from "earl";
import { describe, it } from "node:test";
import { SystemClock } from "../../src/index.js";

describe("the process's clock", () => {
    /* Guards against waits that end at once: setTimeout takes delays of 25 days and more for 1 ms. */
    for (const duration of [2 ** 31, 1e12, 1e308, Infinity]) {
        it(`does not end a sleep of ${duration} ms at once`, async () => {
            const clock = new SystemClock();
            const ended = new AbortController();
            const first = await Promise.race([
                clock.sleep(duration, ended.signal).then(() => "the long sleep"),
                clock.sleep(50).then(() => "the short sleep"),
            ]);
            ended.abort();
            expect(first).toEqual("the short sleep");
        });
    }
});
