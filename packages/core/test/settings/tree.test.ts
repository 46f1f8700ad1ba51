import { expect } from "earl";
import { describe, it } from "node:test";
import { diffSettings, formatFinding, parseSettingsTree, type SettingsTree, treeSchema } from "../../src/index.js";

const parse = (text: string): SettingsTree => parseSettingsTree(text)._unsafeUnwrap();
const findings = (text: string): string[] => parseSettingsTree(text)._unsafeUnwrapErr().map(formatFinding);

describe("settings tree", () => {
    it("resolves values from class, site, region, organisation and defaults in this order", () => {
        const tree = parse([
            "[organisation]",
            "lease.duration = 20s",
            "retry.attempts = 1",
            "[region luzon]",
            "retry.attempts = 2",
            "[site luzon/pasig]",
            "placement.preference = pack",
            "[class luzon/pasig/batch]",
            "retry.attempts = 5",
        ].join("\n"));
        const path = { region: "luzon", site: "pasig", workloadClass: "batch" };
        expect(tree.explain("retry.attempts", path)).toEqual({
            key: "retry.attempts",
            value: "5",
            section: "class luzon/pasig/batch",
            line: 9,
        });
        expect(tree.explain("retry.attempts", { region: "luzon", site: "makati" }).section).toEqual("region luzon");
        expect(tree.explain("placement.preference", path).section).toEqual("site luzon/pasig");
        expect(tree.number("lease.duration", path)).toEqual(20_000);
        expect(tree.explain("queue.limit", path).section).toEqual("default");
    });

    it("collects all findings with their locations", () => {
        const text = [
            "[organisation]",
            "lease.duration = soon",
            "no.such.key = 1",
            "worker.quarantine_share = 120%",
            "[village pasig]",
            "queue.limit = -5",
            "this is no setting",
            "[organisation]",
            "lease.duration = 10s",
        ].join("\n");
        expect(findings(text)).toEqual([
            `settings.ini:2: [organisation] lease.duration: "soon" is no duration from 500ms to 1h, as in 250ms, 10s, 15m, 1h`,
            "settings.ini:3: [organisation] no.such.key: no such key",
            `settings.ini:4: [organisation] worker.quarantine_share: "120%" is no share from 0% to 100%, as in 15%`,
            "settings.ini:5: [village pasig]: not organisation, region NAME, site REGION/NAME, class REGION/SITE/NAME or team NAME",
            `settings.ini:6: [village pasig] queue.limit: "-5" is no whole number from 1 to 10000000`,
            "settings.ini:7: [village pasig]: not a section, a key with a value, or a comment: this is no setting",
            "settings.ini:8: [organisation]: the section stands already at line 1",
            "settings.ini:9: [organisation] lease.duration: the key is set already at line 2",
        ]);
    });

    it("rejects wrong units", () => {
        expect(findings("[organisation]\nlease.duration = 10")).toEqual([
            `settings.ini:2: [organisation] lease.duration: "10" is no duration from 500ms to 1h, as in 250ms, 10s, 15m, 1h`,
        ]);
        expect(findings("[team scripts]\nquota.memory = 10GB").length).toEqual(1);
    });

    it("has a valid default for each key", () => {
        for (const definition of Object.values(treeSchema)) {
            expect(definition.kind.read(definition.fallback ?? "").isOk()).toEqual(true);
        }
    });

    it("lists the differences between two trees", () => {
        const before = parse("[organisation]\nlease.duration = 10s\nretry.attempts = 1\n");
        const after = parse("[organisation]\nlease.duration = 12s\n[region luzon]\nretry.attempts = 4\n");
        expect(diffSettings(before, after)).toEqual([
            { section: "organisation", key: "lease.duration", before: "10s", after: "12s" },
            { section: "organisation", key: "retry.attempts", before: "1", after: undefined },
            { section: "region luzon", key: "retry.attempts", before: undefined, after: "4" },
        ]);
    });
});
