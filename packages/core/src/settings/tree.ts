/** Inheritance: a class takes what it does not set from its site, that from its region, that from the organisation. */
import { pipe } from "fp-ts/lib/function.js";
import * as Option from "fp-ts/lib/Option.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import { err, ok, type Result } from "neverthrow";
import { readIniDocument } from "./ini-document.js";
import { type TeamKey, teamSchema, type TreeKey, treeSchema } from "./schema.js";
import type { Finding, IniEntry } from "./types.js";

/** Where in the tree a value is asked for. */
export interface TreePath {
    readonly region?: string;
    readonly site?: string;
    readonly workloadClass?: string;
}

/** A value with the line it came from. */
export interface ExplainedValue {
    readonly key: TreeKey;
    readonly value: string;
    /** The section that sets it, or "default". */
    readonly section: string;
    /** 0 for a default. */
    readonly line: number;
}

/** The name that the tree's text has in findings. */
export const defaultTreeFile = "settings.ini";
const organisationSection = "organisation";
const sectionPattern =
    /^(organisation|region [^/\s]+|site [^/\s]+\/[^/\s]+|class [^/\s]+\/[^/\s]+\/[^/\s]+|team [^/\s]+)$/;

const isTreeKey = (key: string): key is TreeKey => Object.hasOwn(treeSchema, key);
const isTeamKey = (key: string): key is TeamKey => Object.hasOwn(teamSchema, key);

/** The sections that a path takes its values from, nearest first. */
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

/** A checked tree. Made by {@link parseSettingsTree}. */
export class SettingsTree {
    readonly #entries = new Map<string, Map<string, IniEntry>>();

    constructor(entries: readonly IniEntry[]) {
        for (const entry of entries) {
            const section = this.#entries.get(entry.section) ?? new Map<string, IniEntry>();
            section.set(entry.key, entry);
            this.#entries.set(entry.section, section);
        }
    }

    /** All lines that set a key. */
    entries(): IniEntry[] {
        return [...this.#entries.values()].flatMap(section => [...section.values()]);
    }

    /** The value in force at a path and where it came from. */
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

    /** A number in force at a path: milliseconds, a count, or a share from 0 to 1. */
    number(key: TreeKey, path: TreePath): number {
        return Number(treeSchema[key].kind.read(this.explain(key, path).value)._unsafeUnwrap());
    }

    /** The names of teams with a section. */
    teams(): string[] {
        return [...this.#entries.keys()].filter(name => name.startsWith("team ")).map(name =>
            name.slice("team ".length)
        );
    }

    /** A quota of a team; undefined when it has none. */
    quota(team: string, key: TeamKey): number | undefined {
        const entry = this.#entries.get(`team ${team}`)?.get(key);
        return entry === undefined ? undefined : Number(entry.value);
    }
}

const checkEntry = (entry: IniEntry, file: string): Finding[] => {
    const place = { file, line: entry.line, section: entry.section, key: entry.key };
    const isTeam = entry.section.startsWith("team ");
    const definition = isTeam
        ? (isTeamKey(entry.key) ? teamSchema[entry.key] : undefined)
        : (isTreeKey(entry.key) ? treeSchema[entry.key] : undefined);
    if (definition === undefined) {
        return [{ ...place, message: "no such key" }];
    }
    return definition.kind.read(entry.value).match(() => [], message => [{ ...place, message }]);
};

/** Reads and checks the text of a tree; all findings are returned together. */
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
