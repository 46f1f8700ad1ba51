/** Selection of VMs that relay store calls. */
import { expect } from "earl";
import { describe, it } from "node:test";
import { relayOrder } from "../../src/owner/relay-order.js";
import { makeVm } from "../support/index.js";

const link = (name: string, processorShare: number, hasFailedStoreCall = false) => ({
    vm: makeVm(name, { processorShare }),
    hasFailedStoreCall,
});
const namesOf = (links: ReturnType<typeof link>[], first: number): string[] =>
    relayOrder(links, first).map(({ vm }) => vm.name);

describe("an owner that cannot reach the store", () => {
    const links = [link("small-1", 0.3), link("large-1", 1.4), link("small-2", 0.3), link("large-2", 1.4)];

    it("asks larger VMs first and rotates among equal ones", () => {
        expect(namesOf(links, 0)).toEqual(["large-1", "large-2", "small-1", "small-2"]);
        expect(namesOf(links, 3)).toEqual(["large-2", "large-1", "small-1", "small-2"]);
    });

    it("asks VMs whose previous call failed after all others", () => {
        const some = [...links.slice(0, 3), link("large-2", 1.4, true)];
        expect(namesOf(some, 0)).toEqual(["large-1", "small-1", "small-2", "large-2"]);
    });

    it("asks no VM when none is connected", () => {
        expect(namesOf([], 5)).toEqual([]);
    });
});
