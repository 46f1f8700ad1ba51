/** Reference pages of `docs/`, generated from the settings schemas and the catalogues of events and errors. */
import {
    errorCatalogue,
    type ErrorEntry,
    logEvents,
    type SettingDefinition,
    teamSchema,
    treeSchema,
} from "@pebbledale/core";
import { gatewaySchema, operatorSchema, schedulerSchema } from "@pebbledale/runtime";

type Schema = Readonly<Record<string, SettingDefinition<unknown>>>;

const escapeCell = (text: string): string => text.replaceAll("|", "\\|");

const renderSettingRows = (schema: Schema, formatKey: (name: string) => string): string[] =>
    Object.entries(schema).map(([name, { kind, fallback, comment }]) => {
        const shownDefault = fallback === undefined ? "must be set" : fallback === "" ? "empty" : `\`${fallback}\``;
        return `| ${formatKey(name)} | ${escapeCell(kind.description)} | ${shownDefault} | ${escapeCell(comment)} |`;
    });

const renderTable = (schema: Schema, formatKey: (name: string) => string): string =>
    ["| key | value | default | what it does |", "| --- | --- | --- | --- |", ...renderSettingRows(schema, formatKey)]
        .join(
            "\n",
        );

const formatFileKey = (name: string): string => {
    const dot = name.indexOf(".");
    return `\`[${name.slice(0, dot)}]\` \`${name.slice(dot + 1)}\``;
};

/** Renders the reference of all settings: the tree, teams and the programs' files. */
export const renderSettingsPage = (): string =>
    `# Settings

This page is made from the schemas by \`npm run docs\`.

## The tree

Operators edit one INI text. Sections are \`[organisation]\`, \`[region NAME]\`, \`[site REGION/NAME]\`,
\`[class REGION/SITE/NAME]\` and \`[team NAME]\`. A class takes what it does not set from its site, a site from its region, a
region from the organisation, and that from the defaults below. \`pebbledale settings explain KEY --site REGION/SITE
--class NAME\` shows the value in force and the line it came from. Classes are \`live\`, \`batch\`, \`gang\` and \`service\`.

${renderTable(treeSchema, name => `\`${name}\``)}

### Teams

A quota that is not set is no limit.

${renderTable(teamSchema, name => `\`${name}\``).replaceAll("must be set", "none")}

## The programs' files

Each program takes one INI file. \`--check\` prints all findings with file, line, section and key, and exits.

### \`pebbledale-gateway\`

${renderTable(gatewaySchema, formatFileKey)}

### \`pebbledale-scheduler\`

${renderTable(schedulerSchema, formatFileKey)}

### \`pebbledale\`

${renderTable(operatorSchema, formatFileKey)}
`;

/** Renders the reference of all log events. */
export const renderEventsPage = (): string => {
    const rows = Object.values(logEvents)
        .map(({ number, level, message, action }) =>
            `| ${number} | ${level} | ${escapeCell(message)} | ${escapeCell(action)} |`
        );
    return `# Log events

This page is made from the catalogue by \`npm run docs\`. Logs are JSON lines on standard output; \`event\` is the number.
1xxx come from every program, 2xxx from gateways, 3xxx from schedulers. A number is never used twice.

| event | level | message | what an operator does |
| --- | --- | --- | --- |
${rows.join("\n")}
`;
};

/** Renders the reference of all errors. */
export const renderErrorsPage = (): string => {
    const rows = Object.entries(errorCatalogue).map(([name, entry]) => {
        const { title, message, hint, status }: ErrorEntry = entry;
        return `| \`${name}\` | ${status ?? "command line"} | ${escapeCell(title)} | ${escapeCell(message)} | ${
            escapeCell(hint)
        } |`;
    });
    return `# Errors

This page is made from the catalogue by \`npm run docs\`. An error's answer is JSON: \`error\` (the name), \`title\`,
\`message\`, \`hint\`, where it applies \`reason\` (what is particular to this time), \`findings\` (each with its place) and
\`retryAfterMilliseconds\` (also as \`Retry-After\`, in seconds). An error without it is final.

| error | status | title | message | hint |
| --- | --- | --- | --- | --- |
${rows.join("\n")}
`;
};

/** Functions that render the pages, by file name in `docs/`. */
export const pageRenderers: Readonly<Record<string, () => string>> = {
    "SETTINGS.md": renderSettingsPage,
    "EVENTS.md": renderEventsPage,
    "ERRORS.md": renderErrorsPage,
};
