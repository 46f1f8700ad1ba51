/** Reads a program's settings file and collects all findings with their lines. */
import { type Finding, readIniDocument } from "@pebbledale/core";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { ProgramSchema, ProgramValues } from "./schema.js";

/** Parses and validates the text of a settings file. Keys that are missing take their fallback, if they have one. */
export const parseProgramSettings = <Schema extends ProgramSchema>(
    schema: Schema,
    text: string,
    file: string,
): Result<ProgramValues<Schema>, readonly Finding[]> => {
    const document = readIniDocument(text, file);
    const findings: Finding[] = [...document.findings];
    const values: Record<string, unknown> = {};
    const present = new Set<string>();
    for (const { section, key, value, line } of document.entries) {
        const name = `${section}.${key}`;
        const definition = schema[name];
        present.add(name);
        if (definition === undefined) {
            findings.push({ file, line, section, key, message: "no such key" });
            continue;
        }
        definition.kind.read(value).match(
            parsed => {
                values[name] = parsed;
            },
            message => findings.push({ file, line, section, key, message }),
        );
    }
    for (const [name, definition] of Object.entries(schema)) {
        if (present.has(name)) {
            continue;
        }
        const [section, key] = splitName(name);
        if (definition.fallback === undefined) {
            const line = document.sections.get(section) ?? 1;
            findings.push({ file, line, section, key, message: "must be set" });
            continue;
        }
        values[name] = definition.kind.read(definition.fallback)._unsafeUnwrap();
    }
    findings.sort((left, right) => left.line - right.line);
    return findings.length === 0 ? ok(values as ProgramValues<Schema>) : err(findings);
};

/** Reads and validates a settings file; a file that cannot be read is a finding as well. */
export const loadProgramSettings = <Schema extends ProgramSchema>(
    schema: Schema,
    file: string,
): Result<ProgramValues<Schema>, readonly Finding[]> => {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (cause) {
        return err([{ file, line: 0, section: "", key: "", message: `cannot be read: ${(cause as Error).message}` }]);
    }
    return parseProgramSettings(schema, text, file);
};

const splitName = (name: string): [string, string] => {
    const dot = name.indexOf(".");
    return [name.slice(0, dot), name.slice(dot + 1)];
};
