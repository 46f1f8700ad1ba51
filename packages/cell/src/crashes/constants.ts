/** Times, weights and shares of the judgement on crashes that are not settings. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/**
 * A worker that was heard for less than this after it had taken a run may have crashed as it started it. A crash at the start
 * takes some 10 ms; word of the last answer and of the start may be apart by a tenth of a second on a busy owner.
 */
export const startWindow: Milliseconds = 250;
/**
 * Weight of a crash at the start of a run, of any other, and the weight from which a task is given up: after three of the first
 * kind, or five of any. Five are two starts more than the three crashes from which the users count starts (their rules). An innocent
 * run is at its start for a small part of its time, so a crash then says more.
 */
export const startCrashWeight = 5;
/** See {@link startCrashWeight}. */
export const laterCrashWeight = 3;
/** See {@link startCrashWeight}. */
export const atFaultWeight = 15;
/**
 * Weight of a loss that many workers shared while the run was past its start: no one task takes them all down, so it says little.
 * Where a fifth of the workers crashes at once every few seconds, a member of a wide gang can be hit five times.
 */
export const sharedLossWeight = 1;
/** A loss is shared when at least so many other workers fell silent at the same moment, and this share of the service. */
export const minSharedLosses = 3;
/** See {@link minSharedLosses}. */
export const minSharedFraction = 0.05;
/** Silences of workers that crashed together are noticed within this time of each other: a look without an answer takes as long. */
export const sharedLossWindow: Milliseconds = 500;
/** From this weight on a task is tried apart from others, or from its first crash at a start on. */
export const suspectWeight = 9;
/** A run that is at work this much longer than any run of its task that went with its worker clears the task. */
export const outliveMargin: Milliseconds = 500;
/**
 * A run whose order had no answer, or that an earlier owner ordered, is taken to have stood this long: what a look takes to show
 * it, and what a change of owner takes, twice over.
 */
export const assumedRunTime: Milliseconds = 3_000;
/**
 * Most jobs on trial at once, as a share of a service's workers: each may cost a worker. The first crash under a task comes
 * without a warning; from the second on tasks at fault keep under a tenth of the service down (the issue of the incident).
 */
export const maxTrialShare = 0.1;
/** No task is tried while more than this share of a service's workers is silent: the rest is needed. */
export const maxSilentShare = 0.34;
/**
 * A task that silences alone would give up waits this long for their explanation, twice as long each further time: a crashed
 * worker is back after some seconds, and one that is lost for good never tells.
 */
export const explanationWait: Milliseconds = 10_000;
/** With more unexplained silences than this the wait doubles for each: three at the start of a run are the fewest that lead to one. */
export const explanationBackoffThreshold = 3;
/** Most doublings of that wait. */
export const maxExplanationDoublings = 5;
/** Added to the cost of a worker for each run that a trial there would put at risk; more than the processors of a worker. */
export const riskCost = 200;
