/** Reads INI text with the line of each entry. The `ini` library reads the values; the places are found here. */
import { parse } from "ini";
import type { Finding, IniEntry } from "./types.js";

/** Entries of an INI file and what is wrong with its form. */
export interface IniDocument {
    readonly file: string;
    readonly entries: readonly IniEntry[];
    /** The line of each section's head. */
    readonly sections: ReadonlyMap<string, number>;
    readonly findings: readonly Finding[];
}

const sectionPattern = /^\[([^\]]*)\]\s*$/;
const entryPattern = /^([^=]+?)\s*=/;

/** Reads one value as the library does: quotes and escapes are its matter. */
const readValue = (line: string): string => {
    const value = Object.values(parse(line))[0];
    return typeof value === "string" ? value : String(value);
};

/** Reads INI text; never throws. */
export const readIniDocument = (text: string, file: string): IniDocument => {
    const entries: IniEntry[] = [];
    const findings: Finding[] = [];
    const sections = new Map<string, number>();
    const seen = new Map<string, number>();
    let section = "";
    text.split(/\r?\n/).forEach((raw, index) => {
        const line = index + 1;
        const content = raw.trim();
        if (content === "" || content.startsWith(";") || content.startsWith("#")) {
            return;
        }
        const head = sectionPattern.exec(content)?.[1];
        if (head !== undefined) {
            section = head.trim();
            if (sections.has(section)) {
                const message = `the section stands already at line ${sections.get(section)}`;
                findings.push({ file, line, section, key: "", message });
            }
            sections.set(section, sections.get(section) ?? line);
            return;
        }
        const key = entryPattern.exec(content)?.[1];
        if (key === undefined) {
            findings.push({
                file,
                line,
                section,
                key: "",
                message: `not a section, a key with a value, or a comment: ${content}`,
            });
            return;
        }
        const name = `${section}\n${key}`;
        if (seen.has(name)) {
            findings.push({ file, line, section, key, message: `the key is set already at line ${seen.get(name)}` });
            return;
        }
        seen.set(name, line);
        entries.push({ section, key, value: readValue(content), line });
    });
    return { file, entries, sections, findings };
};
