/** `npm run docs`: writes the generated reference pages to `docs/`. */
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { pageRenderers } from "../docs/index.js";

for (const [name, render] of Object.entries(pageRenderers)) {
    writeFileSync(fileURLToPath(new URL(`../../../../../docs/${name}`, import.meta.url)), render());
}
