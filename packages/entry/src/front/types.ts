/** What a front answers, and the owner as it reaches it. */
import type { CellJobState } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";
import type { OwnerReply, OwnerRequest } from "../protocol/index.js";

/** Answer to a caller. */
export type JobAnswer =
    | { readonly kind: "accepted"; }
    | { readonly kind: "cancelled"; }
    | { readonly kind: "state"; readonly state: CellJobState; }
    | { readonly kind: "pending"; readonly count: number; }
    | { readonly kind: "unknown-job"; }
    /** Another organisation has a job of this id; nothing was taken. */
    | { readonly kind: "id-taken"; }
    /** Its organisation's limit can never hold one of its steps; nothing was taken. */
    | { readonly kind: "beyond-limit"; }
    /** It was not done and will not be; come back after a while. */
    | { readonly kind: "refused"; readonly retryAfter: Milliseconds; readonly reason: string; }
    /** Whether it was done is not known; the same request may be sent again. */
    | { readonly kind: "uncertain"; readonly reason: string; };

/** The owner as a front reaches it. */
export interface OwnerAccess {
    hasOwner(): boolean;
    /** Asks the owner; resolves to undefined when the connection ends before there is an answer. */
    ask(body: OwnerRequest): Promise<OwnerReply | undefined>;
    /** Resolves when there is an owner, or after `wait`. */
    waitForOwner(wait: Milliseconds): Promise<void>;
}
