/** What operators configure for an organisation. */
import type { KeyDigest, OrganisationName } from "@pebbledale/core";
import type { TaskSize } from "../task-size/index.js";

/** An organisation that shares a cell with others. */
export interface Organisation {
    readonly name: OrganisationName;
    /** Its callers present one of these keys. */
    readonly keys: readonly KeyDigest[];
    /** Jobs per second that it is entitled to, and its relative share when demand exceeds capacity. */
    readonly weight: number;
    /** Upper bound of its usage across all workers; 0 in a dimension means no limit. */
    readonly limit: TaskSize;
}
