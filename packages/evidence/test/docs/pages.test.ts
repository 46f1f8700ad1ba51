import { logEvents } from "@pebbledale/core";
import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { pageRenderers } from "../../src/docs/index.js";

const pageOf = (name: string): string =>
    readFileSync(fileURLToPath(new URL(`../../../../../docs/${name}`, import.meta.url)), "utf8");

describe("pages made from catalogues", () => {
    for (const [name, render] of Object.entries(pageRenderers)) {
        it(`${name} is what the catalogue says; npm run docs writes it`, () => {
            expect(pageOf(name)).toEqual(render());
        });
    }

    it("no event is missing from the page, and no number stands twice", () => {
        const page = pageOf("EVENTS.md");
        const numbers = Object.values(logEvents).map(event => event.number);
        expect(numbers.filter(number => !page.includes(`| ${number} |`))).toEqual([]);
        expect(new Set(numbers).size).toEqual(numbers.length);
    });
});
