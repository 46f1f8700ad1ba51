/** Results of the capacity measurements. */

/** Cost of one more unit of load, or a base value, for one role of process. */
export interface Slope {
    readonly role: string;
    readonly what: string;
    readonly value: number;
    readonly unit: string;
}
