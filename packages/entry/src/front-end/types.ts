/** Answers to callers, and the front end's access to the owner. */
import type { CellJobState } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import type { OwnerReply, OwnerRequest } from "../protocol/index.js";

/** Answer to a caller's request. */
export type JobAnswer =
    | { readonly kind: "accepted"; }
    | { readonly kind: "cancelled"; }
    | { readonly kind: "state"; readonly state: CellJobState; }
    | { readonly kind: "pending"; readonly count: number; }
    | { readonly kind: "unknown-job"; }
    /** The id belongs to a job of another organisation; nothing was stored. */
    | { readonly kind: "id-taken"; }
    /** A step exceeds the limit of its organisation and could never run; nothing was stored. */
    | { readonly kind: "beyond-limit"; }
    /** The request had no effect and may be repeated after `retryAfter`. */
    | { readonly kind: "refused"; readonly retryAfter: Milliseconds; readonly reason: string; }
    /** The request may have taken effect; it is safe to repeat it. */
    | { readonly kind: "uncertain"; readonly reason: string; };

/** Access to the owner of the cell, whichever VM that is at the moment. */
export interface OwnerAccess {
    hasOwner(): boolean;
    /** Resolves to undefined when the connection ends before there is an answer. */
    ask(body: OwnerRequest): Promise<OwnerReply | undefined>;
    /** Resolves once there is an owner, or after `wait`. */
    waitForOwner(wait: Milliseconds): Promise<void>;
}
