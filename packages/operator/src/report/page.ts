/** HTML page of the burn report. */
import type { BurnBucket } from "@pebbledale/runtime";
import type { BurnReport } from "./fetch.js";

const chartWidth = 720;
const chartHeight = 160;
const chartMargin = 30;
/** Number of minutes that the chart covers. */
const chartMinutes = 360;
const millisecondsPerMinute = 60_000;

const escapeHtml = (text: string): string => text.replace(/[&<>"]/g, character => `&#${character.charCodeAt(0)};`);

const burnOf = (bucket: BurnBucket, objective: number): number =>
    bucket.total === 0 ? 0 : bucket.bad / (bucket.total * (1 - objective));

const renderChart = (buckets: readonly BurnBucket[], objective: number, lastMinute: number): string => {
    const shownBuckets = buckets.filter(bucket => bucket.minute > lastMinute - chartMinutes);
    const maxBurn = Math.max(2, ...shownBuckets.map(bucket => burnOf(bucket, objective)));
    const x = (minute: number) =>
        chartMargin + (minute - lastMinute + chartMinutes) / chartMinutes * (chartWidth - 2 * chartMargin);
    const y = (burn: number) => chartHeight - chartMargin - burn / maxBurn * (chartHeight - 2 * chartMargin);
    const bars = shownBuckets.map(bucket => {
        const burn = burnOf(bucket, objective);
        const color = burn > 1 ? "#c0392b" : "#2e7d4f";
        const top = y(burn).toFixed(1);
        return `<rect x="${x(bucket.minute).toFixed(1)}" y="${top}" width="2" height="${
            (chartHeight - chartMargin - Number(top) + 1).toFixed(1)
        }" fill="${color}"/>`;
    });
    return `<svg viewBox="0 0 ${chartWidth} ${chartHeight}" role="img" aria-label="burn by minute">`
        + `<line x1="${chartMargin}" x2="${chartWidth - chartMargin}" y1="${y(1)}" y2="${
            y(1)
        }" stroke="#888" stroke-dasharray="4 3"/>`
        + `<text x="${chartMargin}" y="${y(1) - 4}" font-size="11">burn 1: the budget is used up exactly</text>`
        + `<line x1="${chartMargin}" x2="${chartWidth - chartMargin}" y1="${chartHeight - chartMargin}" y2="${
            chartHeight - chartMargin
        }" stroke="#333"/>`
        + `<text x="${chartMargin}" y="${chartHeight - 10}" font-size="11">${chartMinutes} minutes ago</text>`
        + `<text x="${chartWidth - chartMargin}" y="${chartHeight - 10}" font-size="11" text-anchor="end">now</text>${
            bars.join("")
        }</svg>`;
};

/** Renders the report as one HTML page without external resources, with a chart per workload class. */
export const renderBurnPage = (report: BurnReport): string => {
    const lastMinute = Math.floor(Date.parse(report.at) / millisecondsPerMinute);
    const sections = Object.entries(report.buckets).map(([name, buckets]) => {
        const rows = report.rows.filter(row => row.workloadClass === name).map(row =>
            `<tr><td>${row.windowMinutes} min</td><td>${row.total}</td><td>${row.bad}</td>`
            + `<td class="${row.burnRate > 1 ? "over" : ""}">${row.burnRate.toFixed(2)}</td>`
            + `<td>${(row.budgetLeft * 100).toFixed(1)}%</td></tr>`
        );
        return `<h2>${escapeHtml(name)}</h2>${renderChart(buckets, report.objective, lastMinute)}`
            + `<table><tr><th>window</th><th>requests</th><th>bad</th><th>burn</th><th>budget left</th></tr>${
                rows.join("")
            }</table>`;
    });
    return `<!doctype html><html lang="en"><meta charset="utf-8"><title>Service-level burn</title>`
        + `<style>body{font:15px sans-serif;max-width:760px;margin:2em auto}table{border-collapse:collapse}`
        + `td,th{padding:.2em 1em;text-align:right;border-bottom:1px solid #ddd}.over{color:#c0392b;font-weight:bold}</style>`
        + `<h1>Service-level burn</h1><p>${escapeHtml(report.at)}. Objective ${(report.objective * 100).toFixed(2)}%. `
        + `${report.answered} of ${report.asked} gateways answered.</p>${sections.join("")}</html>\n`;
};
