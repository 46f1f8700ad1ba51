/** Comparison of two settings trees. */
import { pipe } from "fp-ts/lib/function.js";
import * as Ord from "fp-ts/lib/Ord.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import * as String from "fp-ts/lib/string.js";
import type { SettingsTree } from "./tree.js";

/** A key whose value differs between two trees. */
export interface SettingsDifference {
    readonly section: string;
    readonly key: string;
    /** Undefined where the key was not set. */
    readonly before: string | undefined;
    /** Undefined where the key is no longer set. */
    readonly after: string | undefined;
}

const bySection = Ord.contramap((difference: SettingsDifference) => difference.section)(String.Ord);
const byKey = Ord.contramap((difference: SettingsDifference) => difference.key)(String.Ord);

/** Returns all keys that differ between two trees, sorted by section and key. */
export const diffSettings = (before: SettingsTree, after: SettingsTree): readonly SettingsDifference[] => {
    const differences = new Map<string, SettingsDifference>();
    const identify = (section: string, key: string) => `${section}\n${key}`;
    for (const { section, key, value } of before.entries()) {
        differences.set(identify(section, key), { section, key, before: value, after: undefined });
    }
    for (const { section, key, value } of after.entries()) {
        const known = differences.get(identify(section, key));
        differences.set(identify(section, key), { section, key, before: known?.before, after: value });
    }
    return pipe(
        [...differences.values()],
        ReadonlyArray.filter(difference => difference.before !== difference.after),
        ReadonlyArray.sortBy([bySection, byKey]),
    );
};
