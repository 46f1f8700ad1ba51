/** Differences between two trees, key by key. */
import type { SettingsTree } from "./tree.js";

/** One key that differs. */
export interface SettingsDifference {
    readonly section: string;
    readonly key: string;
    /** Undefined where the key was not set. */
    readonly before: string | undefined;
    /** Undefined where the key is no longer set. */
    readonly after: string | undefined;
}

/** All keys that differ between two trees, by section and key. */
export const diffSettings = (before: SettingsTree, after: SettingsTree): SettingsDifference[] => {
    const places = new Map<string, SettingsDifference>();
    const placeOf = (section: string, key: string) => `${section}\n${key}`;
    for (const { section, key, value } of before.entries()) {
        places.set(placeOf(section, key), { section, key, before: value, after: undefined });
    }
    for (const { section, key, value } of after.entries()) {
        const known = places.get(placeOf(section, key));
        places.set(placeOf(section, key), { section, key, before: known?.before, after: value });
    }
    return [...places.values()]
        .filter(difference => difference.before !== difference.after)
        .sort((left, right) => left.section.localeCompare(right.section) || left.key.localeCompare(right.key));
};
