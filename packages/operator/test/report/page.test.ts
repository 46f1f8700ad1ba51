import { expect } from "earl";
import { describe, it } from "node:test";
import { type BurnReport, formatTable, renderBurnPage } from "../../src/index.js";

const minute = Math.floor(Date.parse("2026-12-02T10:00:00Z") / 60_000);
const report: BurnReport = {
    at: "2026-12-02T10:00:00Z",
    objective: 0.99,
    asked: 2,
    answered: 1,
    rows: [{ workloadClass: "<prompts>", windowMinutes: 5, total: 100, bad: 3, burnRate: 3, budgetLeft: -2 }],
    buckets: { "<prompts>": [{ minute: minute - 1, total: 50, bad: 0 }, { minute, total: 50, bad: 3 }] },
};

describe("burn report page", () => {
    it("renders one self-contained page with a chart, and marks an exceeded budget", () => {
        const page = renderBurnPage(report);
        expect(page.includes("<svg ")).toEqual(true);
        expect(page.match(/<rect /g)?.length).toEqual(2);
        expect(page.includes(`<td class="over">3.00</td><td>-200.0%</td>`)).toEqual(true);
        expect(page.includes("1 of 2 gateways answered")).toEqual(true);
        expect(/src=|href=/.test(page)).toEqual(false);
    });

    it("escapes the names of workload classes", () => {
        expect(renderBurnPage(report).includes("<prompts>")).toEqual(false);
    });
});

describe("formatTable", () => {
    it("pads each column to its widest cell", () => {
        expect(formatTable(["NAME", "N"], [["long name", "1"], ["x", "20"]])).toEqual(
            "NAME       N\nlong name  1\nx          20",
        );
    });
});
