/** Times, sizes and weights of the watches over workers that are not settings. Times are in milliseconds. */
import type { HealthThresholds } from "@pebbledale/core";

/**
 * When a worker looks at fault. Its tasks are many and short, and a failed run costs one of the two or three that a
 * task has: two or three failures in a row are enough.
 */
export const workerHealthLimits: HealthThresholds = { outcomeWindow: 6, minFailedJobs: 2, minFailureShare: 0.5 };
/** First time that a worker at fault takes nothing new; twice as long each further time in a row. */
export const initialQuarantine = 1_500;
/**
 * A worker that takes one run at a time after its quarantine takes more once it had nothing for this long: a gang that
 * needs it would wait for ever where no other work comes. Half of the three seconds in which work that fits has to start.
 */
export const idleProbationTime = 1_500;
/** Most doublings of a quarantine. */
export const maxQuarantineDoublings = 3;
/** Most workers that are in quarantine at once, as a share of all. */
export const maxQuarantinedShare = 0.34;
/** Least time between two samples of a run's progress. A look reports it about twice a second. */
export const progressInterval = 300;
/** A sample waits for so much progress, in percent, as that is told in whole ones. */
export const minPercentPerSample = 3;
/** A sample waits no longer than this. */
export const maxSampleTime = 700;
/** Progress of a run that shows none, in percent: it may have made this much. */
export const minProgress = 0.5;
/** A run gets this long to get going before its progress counts. */
export const startingTime = 300;
/** The same for a run that goes on from saved progress, which has to be restored first. */
export const restoringTime = 900;
/** Fewest runs that tell a worker's speed beside those of their steps elsewhere. */
export const minPeerSamples = 4;
/** Fewest runs that tell it beside what they did before; fewer will do if they are of so many jobs. */
export const minChangeSamples = 3;
/** See {@link minChangeSamples}. */
export const minJobs = 2;
/** How much longer a task takes away from its data, as a natural logarithm (the users' rules give 1.5 to 2 times). */
export const remoteDataPace = Math.log(1.75);
/** Variance of the error of callers' estimates, of natural logarithms. */
export const estimateVariance = 1;
/** Variance of a step's pace on one sound worker: these differ in speed, and tasks of a step in their work. */
export const peerVariance = 0.12;
/** Variance of one run's pace among those of its step. */
export const runVariance = 0.06;
/** Variance of the change of one run's pace on a sound worker, which goes on as it was. */
export const steadyVariance = 0.02;
/** Pace of the slowest sound workers beside the usual ones, as a natural logarithm. */
export const slowestSoundPace = Math.log(0.42);
/** A run that does less than this share of what it did before is held up by its worker. */
export const slowestSteadyPace = Math.log(0.5);
/** A worker is taken for slow if it is this many standard deviations below the slowest sound one. */
export const slowDeviations = 2.5;
/** The middle of several values deviates this much more than their mean does. */
export const medianDeviationFactor = 1.25;
/** Most other workers whose paces are kept for a step. */
export const maxPeers = 24;
/** A worker that was slow is taken for slow for this long after the last sample. */
export const slowDuration = 1_500;
/** Most workers that are taken for slow at once, as a share of all. */
export const maxSlowShare = 0.4;
