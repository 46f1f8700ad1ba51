/** A measured slope. */

/** What one more of something costs. */
export interface Slope {
    readonly role: string;
    readonly what: string;
    readonly value: number;
    readonly unit: string;
}
