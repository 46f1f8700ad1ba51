/** Timing of the front end, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Part of a caller's deadline that is kept for sending the answer, which takes about 3 ms, and for processor contention. */
export const answerMargin: Milliseconds = 25;
/** With less time left a request is not sent to the owner, which needs 10 to 30 ms to persist a record. */
export const minOwnerCallTime: Milliseconds = 20;
/** Maximum wait for an owner before a request is refused. */
export const maxOwnerWait: Milliseconds = 1_500;
/** Retry delay given to callers that are refused because there is no owner. */
export const noOwnerRetryAfter: Milliseconds = 500;
/** How long the count of a queue is served from memory. Callers tolerate a count that is two seconds old. */
export const pendingCountLifetime: Milliseconds = 700;
