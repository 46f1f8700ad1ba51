/** Loads the product with one mutation: hooks of Node.js's module loader. */
import type { InitializeHook, LoadHook } from "node:module";
import type { Mutation } from "./mutations.js";

let mutation: Mutation | undefined;

/** Called once, with the mutation. */
export const initialize: InitializeHook<Mutation> = data => void (mutation = data);

/** Changes the one file as it is loaded. */
export const load: LoadHook = async (url, context, nextLoad) => {
    const loaded = await nextLoad(url, context);
    if (mutation === undefined || !url.endsWith(mutation.file)) {
        return loaded;
    }
    const source = String(loaded.source);
    if (!source.includes(mutation.from)) {
        throw new Error(`${mutation.name}: nothing to change in ${mutation.file}`);
    }
    return { ...loaded, source: source.replaceAll(mutation.from, mutation.to) };
};
