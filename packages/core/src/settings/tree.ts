/** Parsing and validation of the settings tree, and lookup of values in it. */
import { pipe } from "fp-ts/lib/function.js";
import * as Option from "fp-ts/lib/Option.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import { err, ok, type Result } from "neverthrow";
import { readIniDocument } from "./ini-document.js";
import { type TeamKey, teamSchema, type TreeKey, treeSchema } from "./schema.js";
import type { Finding, IniEntry } from "./types.js";

/** Level of the tree at which a value is looked up. */
export interface TreePath {
    readonly region?: string;
    readonly site?: string;
    readonly workloadClass?: string;
}

/** A value with its origin. */
export interface ExplainedValue {
    readonly key: TreeKey;
    readonly value: string;
    /** The section that sets it, or "default". */
    readonly section: string;
    /** 0 for a default. */
    readonly line: number;
}

/** File name in findings when none is given. */
export const defaultTreeFile = "settings.ini";
const organisationSection = "organisation";
const sectionPattern =
    /^(organisation|region [^/\s]+|site [^/\s]+\/[^/\s]+|class [^/\s]+\/[^/\s]+\/[^/\s]+|team [^/\s]+)$/;

const isTreeKey = (key: string): key is TreeKey => Object.hasOwn(treeSchema, key);
const isTeamKey = (key: string): key is TeamKey => Object.hasOwn(teamSchema, key);

/** Returns the sections that a path inherits from, most specific first. */
export const sectionsOf = (path: TreePath): string[] => {
    const sections = [organisationSection];
    if (path.region !== undefined) {
        sections.unshift(`region ${path.region}`);
        if (path.site !== undefined) {
            sections.unshift(`site ${path.region}/${path.site}`);
            if (path.workloadClass !== undefined) {
                sections.unshift(`class ${path.region}/${path.site}/${path.workloadClass}`);
            }
        }
    }
    return sections;
};

/**
 * A validated settings tree. Created by {@link parseSettingsTree}.
 *
 * A class inherits values that it does not set from its site, a site from its region, a region from the organisation.
 */
export class SettingsTree {
    readonly #entries = new Map<string, Map<string, IniEntry>>();

    constructor(entries: readonly IniEntry[]) {
        for (const entry of entries) {
            const section = this.#entries.get(entry.section) ?? new Map<string, IniEntry>();
            section.set(entry.key, entry);
            this.#entries.set(entry.section, section);
        }
    }

    /** All keys that are set explicitly. */
    entries(): IniEntry[] {
        return [...this.#entries.values()].flatMap(section => [...section.values()]);
    }

    /** Returns the effective value at a path and its origin. */
    explain(key: TreeKey, path: TreePath): ExplainedValue {
        return pipe(
            sectionsOf(path),
            ReadonlyArray.findFirstMap(section => Option.fromNullable(this.#entries.get(section)?.get(key))),
            Option.match(
                () => ({ key, value: treeSchema[key].fallback!, section: "default", line: 0 }),
                ({ value, section, line }) => ({ key, value, section, line }),
            ),
        );
    }

    /** Returns the effective value of a numeric key: milliseconds, a count, or a share from 0 to 1. */
    number(key: TreeKey, path: TreePath): number {
        return Number(treeSchema[key].kind.read(this.explain(key, path).value)._unsafeUnwrap());
    }

    /** Names of all teams that have a section. */
    teams(): string[] {
        return [...this.#entries.keys()].filter(name => name.startsWith("team ")).map(name =>
            name.slice("team ".length)
        );
    }

    /** Returns a quota of a team; undefined when it is not set. */
    quota(team: string, key: TeamKey): number | undefined {
        const entry = this.#entries.get(`team ${team}`)?.get(key);
        return entry === undefined ? undefined : Number(entry.value);
    }
}

const checkEntry = (entry: IniEntry, file: string): Finding[] => {
    const location = { file, line: entry.line, section: entry.section, key: entry.key };
    const isTeam = entry.section.startsWith("team ");
    const definition = isTeam
        ? (isTeamKey(entry.key) ? teamSchema[entry.key] : undefined)
        : (isTreeKey(entry.key) ? treeSchema[entry.key] : undefined);
    if (definition === undefined) {
        return [{ ...location, message: "no such key" }];
    }
    return definition.kind.read(entry.value).match(() => [], message => [{ ...location, message }]);
};

/** Parses and validates a settings text. On failure returns all findings, in the order of lines. */
export const parseSettingsTree = (text: string, file = defaultTreeFile): Result<SettingsTree, readonly Finding[]> => {
    const document = readIniDocument(text, file);
    const findings = [...document.findings];
    for (const [section, line] of document.sections) {
        if (!sectionPattern.test(section)) {
            const message = "not organisation, region NAME, site REGION/NAME, class REGION/SITE/NAME or team NAME";
            findings.push({ file, line, section, key: "", message });
        }
    }
    document.entries.forEach(entry => findings.push(...checkEntry(entry, file)));
    findings.sort((left, right) => left.line - right.line);
    return findings.length === 0 ? ok(new SettingsTree(document.entries)) : err(findings);
};
