/** Results of the capacity measurements. */

/** A measured cost in one kind of process: per unit of load, such as a job or a worker, or of the process when idle. */
export interface Slope {
    readonly role: string;
    readonly what: string;
    readonly value: number;
    readonly unit: string;
}
