/** Bounds the length of log lines, whose fields may hold values of any length from outside. */

/** Maximum length of a log line, in characters. */
export const maxLineLength = 8_192;

/** How much of a line's values is kept. */
interface ValueLimits {
    /** Characters of a text. */
    readonly text: number;
    /** Entries of a list or an object. */
    readonly entries: number;
    /** Levels of lists and objects within each other. */
    readonly depth: number;
}

/** Tried in this order until the line is short enough, which it is without lists and objects. */
const limits: readonly ValueLimits[] = [
    { text: 512, entries: 50, depth: 6 },
    { text: 64, entries: 10, depth: 3 },
];
const smallestLimits: ValueLimits = { text: 64, entries: 0, depth: 0 };

/** Shortens the texts and lists of a JSON line if it is too long. A shortened line has its former length as `shortenedFrom`. */
export const shortenLine = (line: string): string => {
    if (line.length <= maxLineLength) {
        return line;
    }
    const fields = JSON.parse(line) as object;
    const shortened = (limit: ValueLimits) => `${JSON.stringify(shortenFields(fields, line.length, limit))}\n`;
    const fitting = limits.find(limit => shortened(limit).length <= maxLineLength);
    return shortened(fitting ?? smallestLimits);
};

/** Keeps all fields of the line itself: their names are not from outside. */
const shortenFields = (fields: object, shortenedFrom: number, limit: ValueLimits): object => {
    const kept = Object.entries(fields).map(([name, value]) => [name, shortenValue(value, limit, limit.depth)]);
    return { ...Object.fromEntries(kept), shortenedFrom };
};

const shortenValue = (value: unknown, limit: ValueLimits, depth: number): unknown => {
    if (typeof value === "string") {
        return shortenText(value, limit);
    }
    if (!(value instanceof Object)) {
        return value;
    }
    return depth === 0 ? "..." : shortenEntries(value, limit, depth);
};

const shortenText = (text: string, { text: length }: ValueLimits): string =>
    text.length <= length ? text : `${text.slice(0, length)}... (${text.length} characters)`;

const shortenEntries = (value: object, limit: ValueLimits, depth: number): unknown => {
    if (Array.isArray(value)) {
        const kept = value.slice(0, limit.entries).map((entry: unknown) => shortenValue(entry, limit, depth - 1));
        return value.length <= limit.entries ? kept : [...kept, `... (${value.length} entries)`];
    }
    const entries = Object.entries(value).slice(0, limit.entries);
    return Object.fromEntries(
        entries.map(([name, entry]) => [shortenText(name, limit), shortenValue(entry, limit, depth - 1)]),
    );
};
