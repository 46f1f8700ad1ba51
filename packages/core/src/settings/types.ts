/** Entries and findings of settings files. */

/** An error in a settings file with its location. Lines are numbered from 1. */
export interface Finding {
    readonly file: string;
    readonly line: number;
    readonly section: string;
    readonly key: string;
    readonly message: string;
}

/** A key set in an INI file, with its location. */
export interface IniEntry {
    readonly section: string;
    readonly key: string;
    readonly value: string;
    readonly line: number;
}

/** Formats a finding as `FILE:LINE: [SECTION] KEY: MESSAGE`. */
export const formatFinding = (finding: Finding): string => {
    const location = [finding.section === "" ? "" : `[${finding.section}]`, finding.key].filter(part => part !== "")
        .join(
            " ",
        );
    return `${finding.file}:${finding.line}: ${location === "" ? "" : `${location}: `}${finding.message}`;
};
