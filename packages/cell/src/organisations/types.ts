/** What operators configure for an organisation. */
import type { KeyDigest, OrganisationName } from "@pebbledale/core";
import type { TaskSize } from "../task-size/index.js";

/** One of those that share a cell. */
export interface Organisation {
    readonly name: OrganisationName;
    /** Its callers show one of these keys. */
    readonly keys: readonly KeyDigest[];
    /** Its share when there is not room for all, relative to the others, and the jobs a second that it is owed. */
    readonly weight: number;
    /** Most that it may have at work across all workers; 0 stands for no limit. */
    readonly limit: TaskSize;
}
