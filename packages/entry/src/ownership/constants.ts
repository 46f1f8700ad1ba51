/** Timeouts and intervals of campaigning for the cell, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Interval at which a VM checks whether to claim the cell. */
export const campaignInterval: Milliseconds = 50;
/**
 * Interval of that check while ownership is stable: events that could change it wake the candidate, so that an idle VM
 * rarely wakes.
 */
export const stableCampaignInterval: Milliseconds = 1_000;
/** Additional delay of a candidate's claim for each larger VM, which would serve the cell better. */
export const largerCandidateDelay: Milliseconds = 120;
/**
 * Additional delay of a candidate's claim for each VM of the same size with a lower name. A claim is visible to the
 * others within 30 to 50 ms.
 */
export const equalCandidateDelay: Milliseconds = 50;
/**
 * Additional delay of a candidate's claim while VMs nearer to the store, which would serve the cell better, are listed. Enough for the
 * claim of one of the three that go first.
 */
export const farCandidateDelay: Milliseconds = 400;
/** If the owner was heard this recently, candidates leave it to restore its missing key. */
export const ownerRecentlyHeardWindow: Milliseconds = 600;
/** An owner that was not heard for this long is suspected. Requires heartbeats every 125 ms; at 250 ms it would be too short. */
export const ownerSuspicionTimeout: Milliseconds = 400;
/**
 * An owner that has not sent its first message to a VM within this time of its claim is suspected; starting takes 0.2
 * to 0.5 s.
 */
export const firstMessageTimeout: Milliseconds = 1_000;
/** Other VMs confirm a suspicion when they have not heard the owner for this long. Requires heartbeats every 125 ms. */
export const agreedSilenceThreshold: Milliseconds = 300;
/** Minimum time before a VM whose suspicion was not shared suspects the owner again. */
export const suspicionCooldown: Milliseconds = 1_000;
/** Delay after a failed claim. */
export const claimRetryDelay: Milliseconds = 300;
/** Lifetime of the owner's key after its last renewal; bounds how late a silent owner is replaced. */
export const ownerLeaseLength: Milliseconds = 1_000;
/** Lifetime of an entry VM's key after its last renewal. */
export const vmLeaseLength: Milliseconds = 4_000;
/** How long a stopping owner waits for the next one to appear. */
export const handOverTimeout: Milliseconds = 1_500;
/** Number of renewals of the owner's lease within its length. */
export const renewalsPerLease = 3;
/** How long a candidate waits for its dials before it considers itself isolated. */
export const reachTimeout: Milliseconds = 300;
/** An isolated candidate nevertheless claims the cell when no other VM has done so for this long. */
export const isolationTimeout: Milliseconds = 5_000;
/**
 * An owner that is heard but has not restored its missing key by then is considered defective; a restore takes 0.4 s.
 */
export const ownerKeyRestoreTimeout: Milliseconds = 1_500;
/**
 * Candidates wait until no new VM has joined for this long, so that they know the larger ones when the whole cell starts.
 * VMs that start together join within 20 to 50 ms of each other.
 */
export const formationQuietTime: Milliseconds = 60;
/**
 * Delay before a new owner connects its own VM, whose requests would otherwise hold up the first messages to the others
 * by 0.1 s.
 */
export const firstMessagesDelay: Milliseconds = 4;
