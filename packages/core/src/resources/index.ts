/** Sizes of workers and of tasks over the dimensions that placement counts. */

/** Amounts in each dimension. Processors are in thousandths, memory in mebibytes, the others are counts. */
export interface Resources {
    readonly processorThousandths: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
    readonly slots: number;
    readonly connections: number;
}

/** The names of the dimensions, in the order of typed arrays. */
export const dimensions = ["processorThousandths", "memoryMebibytes", "accelerators", "slots", "connections"] as const;
/** One dimension of {@link Resources}. */
export type Dimension = (typeof dimensions)[number];
/** Number of dimensions. */
export const dimensionCount = dimensions.length;

/** Nothing in any dimension. */
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

/** The sum, dimension by dimension. */
export const addResources = (left: Resources, right: Resources): Resources => combine(left, right, (a, b) => a + b);
/** The difference, dimension by dimension; may go below zero. */
export const subtractResources = (left: Resources, right: Resources): Resources =>
    combine(left, right, (a, b) => a - b);
/** The larger amount of each dimension. */
export const largerResources = (left: Resources, right: Resources): Resources => combine(left, right, Math.max);
/** `size` taken `count` times. */
export const multiplyResources = (size: Resources, count: number): Resources => combine(size, size, a => a * count);
/** Whether `size` fits into `room` in every dimension. */
export const fitsInto = (size: Resources, room: Resources): boolean =>
    dimensions.every(name => size[name] <= room[name]);
/** The dimensions in which `size` is larger than `room`. */
export const lackingDimensions = (size: Resources, room: Resources): Dimension[] =>
    dimensions.filter(name => size[name] > room[name]);
/** A short text that is equal for equal sizes. */
export const resourcesKey = (size: Resources): string => dimensions.map(name => size[name]).join(":");
