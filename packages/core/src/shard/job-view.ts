/** What callers see of a job, and the final state that follows from its tasks. */
import { ExecutionStatus, isFinalState, JobState, type JobView, type TaskOutcome } from "../jobs/index.js";
import { type JobEntry, type SubmitOutcome, type TaskEntry, TaskPhase } from "./types.js";

/** Final state of a job with the reason. */
export interface FinalState {
    readonly state: JobState;
    readonly reason: string;
}

/** Describes a job for its caller. A final state is reported only once it is committed. */
export const describeJob = (job: JobEntry, waiting: Pick<JobView, "place" | "expectedWait">): JobView => {
    const isFinal = isFinalState(job.state);
    const isReportable = !isFinal || job.unkept === 0;
    return {
        job: job.job,
        key: job.key,
        state: isReportable ? job.state : JobState.Running,
        ran: isReportable ? reportedExecutionStatus(job) : ExecutionStatus.MayHaveRun,
        reason: isReportable ? job.reason : "its end is being recorded",
        attempts: job.tasks.reduce((max, task) => Math.max(max, task.attempt), 0),
        workers: job.tasks.flatMap(task => task.assignment?.worker ?? []),
        ...waiting,
        outcomes: isReportable && isFinal ? job.tasks.map(outcomeOf) : [],
    };
};

/** `NotRun` is reported only while no start request may be in flight. */
const reportedExecutionStatus = (job: JobEntry): ExecutionStatus => {
    const mayRun = job.ran === ExecutionStatus.NotRun && job.tasks.some(task => task.assignment !== undefined);
    return mayRun ? ExecutionStatus.MayHaveRun : job.ran;
};

const outcomeOf = (task: TaskEntry): TaskOutcome => ({
    task: task.task,
    output: task.output,
    succeeded: task.phase === TaskPhase.Succeeded,
});

/** Whether a job has ended or is about to, so that none of its tasks may be started. */
export const isEnding = (job: JobEntry): boolean =>
    isFinalState(job.state) || job.state === JobState.Cancelling
    || job.tasks.some(task => task.phase === TaskPhase.Failed);

/** Final state of a job that has no running tasks left. */
export const finalStateOf = (job: JobEntry): FinalState => {
    if (job.tasks.every(task => task.phase === TaskPhase.Succeeded)) {
        return { state: JobState.Succeeded, reason: "all tasks succeeded" };
    }
    if (job.state === JobState.Cancelling) {
        return { state: JobState.Cancelled, reason: "the caller cancelled it" };
    }
    const failed = job.tasks.filter(task => task.phase === TaskPhase.Failed);
    if (failed.some(task => task.isLost === true)) {
        return { state: JobState.Unknown, reason: "a worker was lost with it; it may have run" };
    }
    return { state: JobState.Failed, reason: failed[0]?.output || `ended: ${failed[0]?.end}` };
};

/** Answers a submission whose key is known: with the same job, or a refusal when the body differs. */
export const repeatedOutcome = (known: JobEntry, digest: string): SubmitOutcome =>
    known.digest === digest
        ? { kind: "accepted", job: known.job, repeated: true }
        : {
            kind: "refused",
            refusal: { error: "key-reused", reason: `key ${known.key} names a job with another body` },
        };
