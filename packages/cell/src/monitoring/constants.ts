/** Tuning constants of the monitoring of workers. Times are in milliseconds. */
import type { HealthThresholds } from "@pebbledale/core";

/** When a worker counts as faulty. Few failures suffice, as each one uses up one of the two or three attempts of a task. */
export const workerHealthLimits: HealthThresholds = { outcomeWindow: 6, minFailedJobs: 2, minFailureShare: 0.5 };
/** Duration of a worker's first quarantine; each consecutive one is twice as long. */
export const initialQuarantine = 1_500;
/** Probation ends after this long without a run, as a gang that needs the worker would wait for ever where no other work comes. Half of the three seconds in which work that fits has to start. */
export const idleProbationTime = 1_500;
/** Upper bound of the doublings of a quarantine. */
export const maxQuarantineDoublings = 3;
/** Upper bound of the share of workers in quarantine at once. */
export const maxQuarantinedShare = 0.34;
/** Minimum time between two samples of a run's progress. Polls report progress about twice a second. */
export const progressInterval = 300;
/** Progress for which a sample waits, in percent, because progress is reported in whole percent. */
export const minPercentPerSample = 3;
/** Maximum time for which a sample waits for progress. */
export const maxSampleTime = 700;
/** Progress assumed for a run that reports none, in percent, to allow for rounding. */
export const minProgress = 0.5;
/** Progress in this time after a run's start is not sampled. */
export const startingTime = 300;
/** The same for a run that resumes from saved progress, which has to be restored first. */
export const restoringTime = 900;
/** Samples needed to compare a worker with its peers. */
export const minPeerSamples = 4;
/** Samples needed to compare a worker's runs with their own past, unless they are of {@link minJobs} jobs. */
export const minChangeSamples = 3;
/** With samples of this many jobs, fewer than {@link minChangeSamples} suffice. */
export const minJobs = 2;
/** Slowdown of a task away from its data, as a natural logarithm. The platform's rules give a factor of 1.5 to 2. */
export const remoteDataPace = Math.log(1.75);
/** Variance of the natural logarithm of the error of callers' estimates. */
export const estimateVariance = 1;
/** Variance of a step's pace between healthy workers, by the workers' speeds and the tasks' work. */
export const peerVariance = 0.12;
/** Variance of the pace between runs of a step on one worker. */
export const runVariance = 0.06;
/** Variance of the change of one run's pace on a healthy worker. */
export const steadyVariance = 0.02;
/** Pace of the slowest healthy workers relative to their peers, as a natural logarithm. */
export const slowestHealthyPace = Math.log(0.42);
/** Lowest pace of a run on a healthy worker relative to its own past, as a natural logarithm. */
export const slowestPaceChange = Math.log(0.5);
/** A worker counts as slow if it is this many standard deviations below the slowest healthy one. */
export const slowDeviations = 2.5;
/** Ratio of the standard error of a median to that of a mean. */
export const medianDeviationFactor = 1.25;
/** Upper bound of workers whose paces are kept for a step. */
export const maxPeers = 24;
/** How long a worker counts as slow after the last sample that shows it. */
export const slowDuration = 1_500;
/** Upper bound of the share of workers that count as slow at once. */
export const maxSlowShare = 0.4;
