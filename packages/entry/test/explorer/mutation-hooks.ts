/** Hooks of Node.js's module loader that apply a mutation. */
import type { InitializeHook, LoadHook } from "node:module";
import type { Mutation } from "./mutations.js";

let mutation: Mutation | undefined;

/** Called once with the mutation to apply. */
export const initialize: InitializeHook<Mutation> = data => void (mutation = data);

/** Mutates one file as it is loaded; throws if the mutation does not apply. */
export const load: LoadHook = async (url, context, nextLoad) => {
    const loaded = await nextLoad(url, context);
    if (mutation === undefined || !url.endsWith(mutation.file)) {
        return loaded;
    }
    const source = String(loaded.source);
    if (!source.includes(mutation.from)) {
        throw new Error(`${mutation.name}: text to replace not found in ${mutation.file}`);
    }
    return { ...loaded, source: source.replaceAll(mutation.from, mutation.to) };
};
