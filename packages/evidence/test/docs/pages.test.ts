import { logEvents } from "@pebbledale/core";
import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { pageRenderers } from "../../src/docs/index.js";

const readPage = (name: string): string =>
    readFileSync(fileURLToPath(new URL(`../../../../../docs/${name}`, import.meta.url)), "utf8");

describe("generated reference pages", () => {
    for (const [name, render] of Object.entries(pageRenderers)) {
        it(`${name} is up to date (npm run docs regenerates it)`, () => {
            expect(readPage(name)).toEqual(render());
        });
    }

    it("EVENTS.md contains every event, and event numbers are unique", () => {
        const page = readPage("EVENTS.md");
        const numbers = Object.values(logEvents).map(event => event.number);
        expect(numbers.filter(number => !page.includes(`| ${number} |`))).toEqual([]);
        expect(new Set(numbers).size).toEqual(numbers.length);
    });
});
