/** One self-contained page of the burn report, with a chart of the burn by minute. */
import type { BurnBucket } from "@pebbledale/runtime";
import type { BurnReport } from "./fetch.js";

const width = 720;
const height = 160;
const margin = 30;
/** Minutes that the chart shows. */
const shownMinutes = 360;
const millisecondsPerMinute = 60_000;

const escape = (text: string): string => text.replace(/[&<>"]/g, character => `&#${character.charCodeAt(0)};`);

const burnOf = (bucket: BurnBucket, objective: number): number =>
    bucket.total === 0 ? 0 : bucket.bad / (bucket.total * (1 - objective));

const chart = (buckets: readonly BurnBucket[], objective: number, lastMinute: number): string => {
    const shown = buckets.filter(bucket => bucket.minute > lastMinute - shownMinutes);
    const most = Math.max(2, ...shown.map(bucket => burnOf(bucket, objective)));
    const x = (minute: number) => margin + (minute - lastMinute + shownMinutes) / shownMinutes * (width - 2 * margin);
    const y = (burn: number) => height - margin - burn / most * (height - 2 * margin);
    const bars = shown.map(bucket => {
        const burn = burnOf(bucket, objective);
        const color = burn > 1 ? "#c0392b" : "#2e7d4f";
        const top = y(burn).toFixed(1);
        return `<rect x="${x(bucket.minute).toFixed(1)}" y="${top}" width="2" height="${
            (height - margin - Number(top) + 1).toFixed(1)
        }" fill="${color}"/>`;
    });
    return `<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="burn by minute">`
        + `<line x1="${margin}" x2="${width - margin}" y1="${y(1)}" y2="${y(1)}" stroke="#888" stroke-dasharray="4 3"/>`
        + `<text x="${margin}" y="${y(1) - 4}" font-size="11">burn 1: the budget is used up exactly</text>`
        + `<line x1="${margin}" x2="${width - margin}" y1="${height - margin}" y2="${height - margin}" stroke="#333"/>`
        + `<text x="${margin}" y="${height - 10}" font-size="11">${shownMinutes} minutes ago</text>`
        + `<text x="${width - margin}" y="${height - 10}" font-size="11" text-anchor="end">now</text>${
            bars.join("")
        }</svg>`;
};

/** Renders the page. */
export const renderBurnPage = (report: BurnReport): string => {
    const lastMinute = Math.floor(Date.parse(report.at) / millisecondsPerMinute);
    const sections = Object.entries(report.buckets).map(([name, buckets]) => {
        const rows = report.rows.filter(row => row.workloadClass === name).map(row =>
            `<tr><td>${row.windowMinutes} min</td><td>${row.total}</td><td>${row.bad}</td>`
            + `<td class="${row.burnRate > 1 ? "over" : ""}">${row.burnRate.toFixed(2)}</td>`
            + `<td>${(row.budgetLeft * 100).toFixed(1)}%</td></tr>`
        );
        return `<h2>${escape(name)}</h2>${chart(buckets, report.objective, lastMinute)}`
            + `<table><tr><th>window</th><th>requests</th><th>bad</th><th>burn</th><th>budget left</th></tr>${
                rows.join("")
            }</table>`;
    });
    return `<!doctype html><html lang="en"><meta charset="utf-8"><title>Service-level burn</title>`
        + `<style>body{font:15px sans-serif;max-width:760px;margin:2em auto}table{border-collapse:collapse}`
        + `td,th{padding:.2em 1em;text-align:right;border-bottom:1px solid #ddd}.over{color:#c0392b;font-weight:bold}</style>`
        + `<h1>Service-level burn</h1><p>${escape(report.at)}. Objective ${(report.objective * 100).toFixed(2)}%. `
        + `${report.answered} of ${report.asked} gateways answered.</p>${sections.join("")}</html>\n`;
};
