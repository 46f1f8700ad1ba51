/** The median; for an even number of values, the upper one of the two in the middle. */
export const medianOf = (values: readonly number[]): number =>
    [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)];
