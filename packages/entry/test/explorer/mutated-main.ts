/** Explores the product with one mutation, given by its index, and prints the finding as JSON. Started by `mutate.ts`. */
import { register } from "node:module";
import { mutations } from "./mutations.js";

const [number = "", seconds = ""] = process.argv.slice(2);
const mutation = mutations[Number(number)];
register("./mutation-hooks.js", import.meta.url, { data: mutation });
// Modules loaded from here on are mutated.
const { exploreUntilFound } = await import("./explore-until-found.js");
process.stdout.write(`${JSON.stringify(await exploreUntilFound(mutation, Number(seconds)))}\n`);
process.exit(0);
