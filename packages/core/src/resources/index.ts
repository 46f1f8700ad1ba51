/** Resource vectors: capacities of workers and sizes of tasks. */

/** Amounts per dimension: processors in thousandths, memory in mebibytes, all others as counts. */
export interface Resources {
    readonly processorThousandths: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
    readonly slots: number;
    readonly connections: number;
}

/** Names of all dimensions, in the order in which typed arrays store them. */
export const dimensions = ["processorThousandths", "memoryMebibytes", "accelerators", "slots", "connections"] as const;
/** Name of a dimension of {@link Resources}. */
export type Dimension = (typeof dimensions)[number];
/** Number of values per entry in typed arrays of resources. */
export const dimensionCount = dimensions.length;

/** Zero in all dimensions. */
export const noResources: Resources = {
    processorThousandths: 0,
    memoryMebibytes: 0,
    accelerators: 0,
    slots: 0,
    connections: 0,
};

const combine = (left: Resources, right: Resources, merge: (left: number, right: number) => number): Resources => ({
    processorThousandths: merge(left.processorThousandths, right.processorThousandths),
    memoryMebibytes: merge(left.memoryMebibytes, right.memoryMebibytes),
    accelerators: merge(left.accelerators, right.accelerators),
    slots: merge(left.slots, right.slots),
    connections: merge(left.connections, right.connections),
});

/** Adds two vectors by dimension. */
export const addResources = (left: Resources, right: Resources): Resources => combine(left, right, (a, b) => a + b);
/** Subtracts `right` from `left` by dimension. The result may be negative. */
export const subtractResources = (left: Resources, right: Resources): Resources =>
    combine(left, right, (a, b) => a - b);
/** Multiplies all dimensions by `count`. */
export const multiplyResources = (size: Resources, count: number): Resources => combine(size, size, a => a * count);
/** Whether `size` is at most `available` in every dimension. */
export const fitsInto = (size: Resources, available: Resources): boolean =>
    dimensions.every(name => size[name] <= available[name]);
/** Returns the dimensions in which `size` exceeds `available`. */
export const lackingDimensions = (size: Resources, available: Resources): Dimension[] =>
    dimensions.filter(name => size[name] > available[name]);
/** Returns a string that is equal for equal vectors, for use as a map key. */
export const resourcesKey = (size: Resources): string => dimensions.map(name => size[name]).join(":");
