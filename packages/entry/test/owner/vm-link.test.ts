/*
 * Guards against an owner whose store calls go through one small VM, after they failed through all others while the store answered
 * nobody.
 */
import { ManualClock, PlatformUnavailableError } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { createMemoryChannel, type OwnerMessage, VmLink, type VmMessage } from "../../src/index.js";
import { makeVm } from "../support/index.js";

const failCall = async (link: VmLink): Promise<void> => {
    const called = link.callStore({ kind: "get", key: "key" });
    link.failPendingCalls();
    await expect(called).toBeRejectedWith(PlatformUnavailableError);
};

const setUp = () => {
    const clock = new ManualClock();
    const [ownerEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
    return { clock, link: new VmLink(makeVm("a"), ownerEnd, clock) };
};

describe("a VM through which a store call has failed", () => {
    it("is avoided for two seconds", async () => {
        const { clock, link } = setUp();
        expect(link.hasFailedStoreCall).toEqual(false);
        await failCall(link);
        clock.advance(1_900);
        expect(link.hasFailedStoreCall).toEqual(true);
        clock.advance(200);
        expect(link.hasFailedStoreCall).toEqual(false);
    });

    it("is no longer avoided once a call through it succeeds", async () => {
        const { link } = setUp();
        await failCall(link);
        const called = link.callStore({ kind: "get", key: "key" });
        link.settleStoreCall(2, true, undefined);
        await called;
        expect(link.hasFailedStoreCall).toEqual(false);
    });
});
