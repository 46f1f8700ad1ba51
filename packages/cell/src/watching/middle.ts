/** The middle one of some values: of an even number the upper one of the two. */
export const medianOf = (values: readonly number[]): number =>
    [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)];
