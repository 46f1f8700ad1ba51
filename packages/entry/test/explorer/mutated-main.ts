/** Explores with one mutation, named by its number, and prints as JSON what was found. Started by `mutate.ts`. */
import { register } from "node:module";
import { mutations } from "./mutations.js";

const [number = "", seconds = ""] = process.argv.slice(2);
const mutation = mutations[Number(number)];
register("./mutation-hooks.js", import.meta.url, { data: mutation });
// What is loaded from here on is mutated.
const { exploreUntilFound } = await import("./explore-until-found.js");
process.stdout.write(`${JSON.stringify(await exploreUntilFound(mutation, Number(seconds)))}\n`);
process.exit(0);
