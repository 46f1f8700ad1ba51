/** Times of campaigning for the cell, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Time between two looks at whether this VM is to claim the cell. */
export const campaignInterval: Milliseconds = 50;
/**
 * The same while there is an owner and nothing speaks against it: what could is told at once. A VM without work
 * wakes seldom.
 */
export const stableCampaignInterval: Milliseconds = 1_000;
/** Each larger VM makes a candidate wait this long more: a larger one serves the cell better. */
export const largerCandidateDelay: Milliseconds = 120;
/**
 * Each VM of the same size that goes first by its name makes a candidate wait this long more, in which a claim is seen by
 * the others: it takes 30 to 50 ms.
 */
export const equalCandidateDelay: Milliseconds = 50;
/** While an owner was heard this lately, a missing key is its own to renew. */
export const ownerRecentlyHeardWindow: Milliseconds = 600;
/** An owner that was not heard for this long is suspected. Too short for beats of 250 ms: it wants them at 125 ms. */
export const ownerSuspicionTimeout: Milliseconds = 400;
/** An owner that claimed the cell and has not spoken to a VM by then is suspected too: it takes 0.2 to 0.5 s to begin. */
export const firstMessageTimeout: Milliseconds = 1_000;
/** Other VMs agree that the owner is silent once they have not heard it for this long. Wants beats of 125 ms. */
export const agreedSilenceThreshold: Milliseconds = 300;
/** A VM whose suspicion the others did not share asks them again no sooner than this. */
export const suspicionCooldown: Milliseconds = 1_000;
/** Wait after a failed claim. */
export const claimRetryDelay: Milliseconds = 300;
/** How long the owner's key outlives its last renewal: bounds how late a silent owner is replaced. */
export const ownerLeaseLength: Milliseconds = 1_000;
/** How long the key of an entry VM outlives its last renewal. */
export const vmLeaseLength: Milliseconds = 4_000;
/** How long a stopping owner waits for the next one to speak. */
export const handOverTimeout: Milliseconds = 1_500;
/** The owner's lease is renewed this many times in its length. */
export const renewalsPerLease = 3;
/** How long a candidate waits for its dials before it takes itself for cut off. */
export const reachTimeout: Milliseconds = 300;
/** A candidate that is cut off claims all the same once nobody else has for this long. */
export const isolationTimeout: Milliseconds = 5_000;
/** An owner that is heard and has not put its missing key back by then cannot do its work: it does so in 0.4 s. */
export const ownerKeyRestoreTimeout: Milliseconds = 1_500;
/**
 * Candidates wait until no VM has shown up for the first time for this long: in a start of all, larger ones follow. VMs that
 * start together show up within 20 to 50 ms of each other.
 */
export const formationQuietTime: Milliseconds = 60;
/** A new owner's first messages to the VMs leave before it takes its own VM's requests in: these keep it busy for 0.1 s. */
export const firstMessagesDelay: Milliseconds = 4;
