/** Constants of the judgement on crashes that are not settings. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/**
 * A crash counts as one at the start of a run when the worker's last answer came less than this after it confirmed the run. Wide
 * enough for the delays with which a busy owner sees confirmations and answers.
 */
export const startWindow: Milliseconds = 250;
/**
 * Weight of a strike whose crash came at the start of the run. It exceeds {@link laterCrashWeight} because an innocent run is rarely at its
 * start when its worker crashes for another reason.
 */
export const startCrashWeight = 5;
/** Weight of a strike whose crash came later in the run. */
export const laterCrashWeight = 3;
/** Total weight at which a task is given up: three crashes at the start of its runs, or five at any time. */
export const atFaultWeight = 15;
/**
 * Weight of a strike for a shared loss. It is low because a single task does not take down many workers at once, while repeated mass
 * failures can hit the same innocent gang member several times.
 */
export const sharedLossWeight = 1;
/** Minimum number of other workers that fell silent at the same time for a loss to be shared. */
export const minSharedLosses = 3;
/** Minimum share of the service's workers that fell silent at the same time for a loss to be shared. */
export const minSharedFraction = 0.05;
/** Maximum difference between silences that count as simultaneous: about the timeout of a poll, by which they are detected. */
export const sharedLossWindow: Milliseconds = 500;
/** Total weight from which a task runs only in isolated trials; one crash at the start of a run is enough as well. */
export const suspectWeight = 9;
/** A run clears its task once it has run this much longer than each run that was lost with its worker. */
export const outliveMargin: Milliseconds = 500;
/** Run time assumed for lost runs whose run time is unknown, because their order had no answer or an earlier owner sent it. */
export const assumedRunTime: Milliseconds = 3_000;
/** Maximum number of concurrent trials, as a share of the service's workers, since each trial may cost a worker. */
export const maxTrialShare = 0.1;
/** No trial starts while more than this share of the service's workers is silent. */
export const maxSilentShare = 0.34;
/**
 * Time for which a task waits for silent workers to return, when unproved strikes would be decisive. A crashed worker usually restarts
 * within seconds; if it is gone for good, it never becomes known why it was silent.
 */
export const explanationWait: Milliseconds = 10_000;
/** The wait doubles for each unexplained silence beyond this number, the lowest at which a task waits at all. */
export const explanationBackoffThreshold = 3;
/** Maximum number of doublings of {@link explanationWait}. */
export const maxExplanationDoublings = 5;
/** Cost of a worker for a trial, for each run there that a crash would lose. Exceeds the cost of any worker's free processors. */
export const riskCost = 200;
