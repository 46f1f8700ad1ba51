/** Findings and places of settings. */

/** Something wrong in a settings file, with its place. Lines count from 1. */
export interface Finding {
    readonly file: string;
    readonly line: number;
    readonly section: string;
    readonly key: string;
    readonly message: string;
}

/** One line that sets a key. */
export interface IniEntry {
    readonly section: string;
    readonly key: string;
    readonly value: string;
    readonly line: number;
}

/** One finding as a line of text. */
export const formatFinding = (finding: Finding): string => {
    const place = [finding.section === "" ? "" : `[${finding.section}]`, finding.key].filter(part => part !== "").join(
        " ",
    );
    return `${finding.file}:${finding.line}: ${place === "" ? "" : `${place}: `}${finding.message}`;
};
