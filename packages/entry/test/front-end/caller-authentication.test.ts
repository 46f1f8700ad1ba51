/** Authentication of callers: known, revoked and malformed keys, and keys newer than this VM's configuration. */
import { digestOf, QueueDirectory } from "@pebbledale/cell";
import { organisationName } from "@pebbledale/core";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";
import { authenticateCaller } from "../../src/front-end/index.js";
import { configuration } from "../support/configuration.js";

const north = organisationName("north");
const limit = { processorThousandths: 0, memoryMebibytes: 0, accelerators: 0 };
const directoryOf = (...keys: string[]) =>
    new QueueDirectory({
        ...configuration,
        organisations: [{ name: north, keys: keys.map(digestOf), weight: 1, limit }],
    });
const [open] = configuration.queues;
const closed = { ...open, needsKey: true };
const check = (headers: readonly string[], isCurrent = true) =>
    authenticateCaller(closed, directoryOf("k3y-of.north"), headers, isCurrent);

describe("a caller's key", () => {
    it("identifies its organisation, in any spelling of the scheme", () => {
        const allowed = { kind: "allowed", organisation: north } as const;
        expect(["Bearer k3y-of.north", "bearer k3y-of.north", "BEARER  k3y-of.north "].map(header => check([header])))
            .toEqual([allowed, allowed, allowed]);
    });

    it("is not required where the queue needs none", () => {
        expect(authenticateCaller(open, directoryOf(), [], true)).toEqual({ kind: "allowed", organisation: undefined });
    });

    it("is refused when it is missing, repeated, malformed, of another scheme, or unknown", () => {
        const invalidHeaders = [
            [],
            ["Bearer k3y-of.north", "Bearer k3y-of.north"],
            ["Bearer "],
            ["Bearerk3y-of.north"],
            ["Bearer k3y-of.north extra"],
            ["Basic k3y-of.north"],
            ["k3y-of.north"],
            ["Bearer K3Y-OF.NORTH"],
            [`Bearer ${"k".repeat(16_000)}`],
            ["Bearer kéy"],
        ];
        expect(invalidHeaders.map(headers => check(headers).kind)).toEqual(invalidHeaders.map(() => "refused"));
    });

    it("that is unknown is not refused permanently while the configuration is outdated", () => {
        expect([check(["Bearer new"], false).kind, check(["Bearer new"], false).kind]).toEqual([
            "unsure",
            "unsure",
        ]);
        expect(check(["Bearer k3y-of.north"], false).kind).toEqual("allowed");
        expect(check([], false).kind).toEqual("refused");
    });

    it("never appears in a reason", () => {
        fc.assert(fc.property(fc.string({ minLength: 8 }), key => {
            const found = check([`Bearer ${key}`]);
            return found.kind === "allowed" || !found.reason.includes(key.trim()) || key.trim().length < 8;
        }));
    });

    it("of any form is refused unless it is known", () => {
        fc.assert(fc.property(fc.string(), header => check([header]).kind === "refused"));
    });
});
