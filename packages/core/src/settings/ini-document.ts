/** INI parser that keeps line numbers. Values are decoded by the `ini` library, which does not report lines. */
import { parse } from "ini";
import type { Finding, IniEntry } from "./types.js";

/** Entries and syntax errors of an INI file. */
export interface IniDocument {
    readonly file: string;
    readonly entries: readonly IniEntry[];
    /** Line of each section's header. */
    readonly sections: ReadonlyMap<string, number>;
    readonly findings: readonly Finding[];
}

const sectionPattern = /^\[([^\]]*)\]\s*$/;
const entryPattern = /^([^=]+?)\s*=/;

/** Decodes the value of a line with the library, which handles quotes and escapes. */
const readValue = (line: string): string => {
    const value = Object.values(parse(line))[0];
    return typeof value === "string" ? value : String(value);
};

/** Parses INI text. Never throws; errors are returned as findings. */
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
        const header = sectionPattern.exec(content)?.[1];
        if (header !== undefined) {
            section = header.trim();
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
