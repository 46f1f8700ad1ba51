/** Rows of figures with what they must reach. */

/** One figure. */
export interface Figure {
    readonly measure: string;
    readonly value: number;
    readonly unit: string;
    /** What it must reach, in words; undefined where nothing is asked. */
    readonly target?: string;
    /** Whether it reaches that. */
    readonly reached?: boolean;
}

/** Makes a figure with no target. */
export const figure = (measure: string, value: number, unit: string): Figure => ({ measure, value, unit });

/** Makes a figure that must be at least `least`. */
export const atLeast = (measure: string, value: number, unit: string, min: number): Figure => ({
    measure,
    value,
    unit,
    target: `>= ${min}`,
    reached: value >= min,
});

/** Makes a figure that must be at most `most`. */
export const atMost = (measure: string, value: number, unit: string, max: number): Figure => ({
    measure,
    value,
    unit,
    target: `<= ${max}`,
    reached: value <= max,
});

const formatValue = (value: number): string =>
    Number.isInteger(value) ? String(value) : value.toPrecision(4).replace(/\.?0+$/, "");

/** Prints figures as a table of Markdown. */
export const formatFigures = (title: string, figures: readonly Figure[]): string => {
    const rows = figures.map(({ measure, value, unit, target, reached }) => {
        const mark = reached === undefined ? "" : reached ? "yes" : "NO";
        return `| ${measure} | ${formatValue(value)} ${unit} | ${target ?? ""} | ${mark} |`;
    });
    return [`### ${title}`, "", "| measure | figure | must reach | reached |", "| --- | --- | --- | --- |", ...rows, ""]
        .join("\n");
};
