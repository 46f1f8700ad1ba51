/* Guards against messages that waited in a connection being taken for recent ones. */
import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RemoteClock } from "../../src/index.js";

/** Time on the remote clock minus local time. */
const offset = 40_000;

const setUp = () => {
    const clock = new ManualClock();
    clock.advance(100_000);
    return { clock, remote: new RemoteClock(clock) };
};

describe("the clock of another process", () => {
    it("dates nothing before there is an echo", () => {
        const { remote } = setUp();
        expect([remote.isKnown, remote.earliestTimeOf(10)]).toEqual([false, undefined]);
    });

    it("dates events too early by no more than the fastest delivery took, and never too late", () => {
        const { clock, remote } = setUp();
        const now = clock.monotonic();
        for (const delivery of [300, 7, 900]) {
            remote.addEcho({ sentAt: now, receivedAt: now + offset + delivery });
        }
        expect(remote.earliestTimeOf(now + offset - 500)).toEqual(now - 500 - 7);
    });

    it("dates no event later than now", () => {
        const { clock, remote } = setUp();
        const now = clock.monotonic();
        remote.addEcho({ sentAt: now, receivedAt: now + offset });
        expect(remote.earliestTimeOf(now + offset + 5_000)).toEqual(now);
    });

    it("follows a remote clock that runs faster than the local one", () => {
        const { clock, remote } = setUp();
        const begin = clock.monotonic();
        let ahead = offset;
        for (let second = 0; second < 60; second++) {
            remote.addEcho({ sentAt: clock.monotonic(), receivedAt: clock.monotonic() + ahead });
            clock.advance(1_000);
            ahead += 1;
        }
        const dated = remote.earliestTimeOf(clock.monotonic() + ahead)!;
        expect(clock.monotonic() - begin).toEqual(60_000);
        // The bound is renewed every ten seconds, in which the clocks drift apart by 10 ms.
        expect(Math.abs(clock.monotonic() - dated) <= 20).toEqual(true);
    });

    it("forgets echoes of messages that were sent before this process was suspended", () => {
        const { clock, remote } = setUp();
        const sentAt = clock.monotonic();
        remote.addEcho({ sentAt, receivedAt: sentAt + offset });
        clock.advance(10);
        clock.suspend(5_000);
        expect(remote.earliestTimeOf(sentAt + offset)).toEqual(undefined);
        remote.addEcho({ sentAt, receivedAt: sentAt + offset });
        expect(remote.isKnown).toEqual(false);
        const now = clock.monotonic();
        remote.addEcho({ sentAt: now, receivedAt: now + offset + 5_000 });
        expect(remote.earliestTimeOf(now + offset)).toEqual(now - 5_000);
    });
});
