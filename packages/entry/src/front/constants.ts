/** Times of the front, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Kept back from a caller's deadline for the answer's way, which takes 3 ms, and a short wait for the processor. */
export const answerMargin: Milliseconds = 25;
/** With less time left than this nothing is sent to the owner: a record is kept in 10 to 30 ms. */
export const minOwnerCall: Milliseconds = 20;
/** Longest wait for an owner before a request is answered without one. */
export const maxOwnerWait: Milliseconds = 1_500;
/** When a caller that was refused for want of an owner is to come back. */
export const noOwnerRetryAfter: Milliseconds = 500;
/** How long a queue's count may be answered again without asking the owner. The users allow two seconds. */
export const pendingCountLifetime: Milliseconds = 700;
