/** Measured figures and their targets. */

/** A measured figure. */
export interface Figure {
    readonly measure: string;
    readonly value: number;
    readonly unit: string;
    /** The target, as in `>= 95`; absent for figures without one. */
    readonly target?: string;
    /** Whether the target is reached; absent without a target. */
    readonly reached?: boolean;
}

/** Creates a figure without a target. */
export const figure = (measure: string, value: number, unit: string): Figure => ({ measure, value, unit });

/** Creates a figure whose target is a minimum. */
export const atLeast = (measure: string, value: number, unit: string, min: number): Figure => ({
    measure,
    value,
    unit,
    target: `>= ${min}`,
    reached: value >= min,
});

/** Creates a figure whose target is a maximum. */
export const atMost = (measure: string, value: number, unit: string, max: number): Figure => ({
    measure,
    value,
    unit,
    target: `<= ${max}`,
    reached: value <= max,
});

const formatValue = (value: number): string =>
    Number.isInteger(value) ? String(value) : value.toPrecision(4).replace(/\.?0+$/, "");

/** Formats figures as a Markdown table under a heading. */
export const formatFigures = (title: string, figures: readonly Figure[]): string => {
    const rows = figures.map(({ measure, value, unit, target, reached }) => {
        const mark = reached === undefined ? "" : reached ? "yes" : "NO";
        return `| ${measure} | ${formatValue(value)} ${unit} | ${target ?? ""} | ${mark} |`;
    });
    return [`### ${title}`, "", "| measure | figure | must reach | reached |", "| --- | --- | --- | --- |", ...rows, ""]
        .join("\n");
};
