/** Constants of the judgement on crashes that are not settings. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/**
 * A crash counts as one at the start of a run when the worker's last answer came less than this after it confirmed the run. A crash
 * at the start takes some 10 ms; a busy owner may see the confirmation and the last answer a tenth of a second apart.
 */
export const startWindow: Milliseconds = 250;
/**
 * Weight of a strike whose crash came at the start of the run. It exceeds {@link laterCrashWeight} because an innocent run is rarely at its
 * start when its worker crashes for another reason.
 */
export const startCrashWeight = 5;
/** Weight of a strike whose crash came later in the run, or may have had another cause. */
export const laterCrashWeight = 3;
/** Total weight at which a task is given up: three unambiguous crashes at the start of its runs, or five of any kind. */
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
/**
 * Losses of other workers within this time before and after a loss are a series, which one task does not cause. Longer, and two mass failures
 * some seconds apart would excuse the tasks at fault in between.
 */
export const lossSeriesWindow: Milliseconds = 1_500;
/** Total weight above which a suspect is tried apart from those of other jobs, even if all crashes were in series of losses. */
export const isolationWeight = 6;
/** Total weight from which a task runs only in trials; one crash at the start of a run is enough as well. */
export const suspectWeight = 9;
/** A run clears its task once it has run this much longer than each run that was lost with its worker. */
export const outliveMargin: Milliseconds = 500;
/**
 * Run time assumed for lost runs whose run time is unknown, because their order had no answer or an earlier owner sent it: twice the time that a
 * poll takes to show a run, or that a change of owner takes.
 */
export const assumedRunTime: Milliseconds = 3_000;
/** Maximum number of workers with trials, as a share of the service's workers, since each trial may cost a worker. */
export const maxTrialShare = 0.1;
/** Maximum share to which that rises, a worker at a time, while trials pass and none loses its worker. */
export const maxPassingTrialShare = 0.34;
/** How long a trial that passed counts. */
export const passedTrialMemory: Milliseconds = 5_000;
/** No further worker is used for trials while more than this share of the service's workers is silent. */
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
/** Cost of a worker that has trials already: suspects that share a worker are all held responsible when it crashes. */
export const sharedTrialCost = 100_000;
/** Cost of a worker for a trial, for each run there that a crash would lose. Exceeds the cost of any worker's free processors. */
export const riskCost = 200;
