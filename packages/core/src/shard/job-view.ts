/** What is told of a job, and how its end is judged. */
import { ExecutionStatus, isFinalState, JobState, type JobView, type TaskOutcome } from "../jobs/index.js";
import { type JobEntry, type SubmitOutcome, type TaskEntry, TaskPhase } from "./types.js";

/** The state that a job ends in, and why. */
export interface FinalState {
    readonly state: JobState;
    readonly reason: string;
}

/** What a caller is told of a job. A final state is told only once it is kept. */
export const describeJob = (job: JobEntry, waiting: Pick<JobView, "place" | "expectedWait">): JobView => {
    const isFinal = isFinalState(job.state);
    const isDurable = !isFinal || job.unkept === 0;
    return {
        job: job.job,
        key: job.key,
        state: isDurable ? job.state : JobState.Running,
        ran: isDurable ? reportedExecutionStatus(job) : ExecutionStatus.MayHaveRun,
        reason: isDurable ? job.reason : "its end is being recorded",
        attempts: job.tasks.reduce((most, task) => Math.max(most, task.attempt), 0),
        workers: job.tasks.flatMap(task => task.assignment?.worker ?? []),
        ...waiting,
        outcomes: isDurable && isFinal ? job.tasks.map(outcomeOf) : [],
    };
};

/** "Not run" is said only while no start is on its way. */
const reportedExecutionStatus = (job: JobEntry): ExecutionStatus => {
    const mayRun = job.ran === ExecutionStatus.NotRun && job.tasks.some(task => task.assignment !== undefined);
    return mayRun ? ExecutionStatus.MayHaveRun : job.ran;
};

const outcomeOf = (task: TaskEntry): TaskOutcome => ({
    task: task.task,
    output: task.output,
    succeeded: task.phase === TaskPhase.Succeeded,
});

/** Whether a job is to end or has ended: nothing of it is started any more. */
export const isEnding = (job: JobEntry): boolean =>
    isFinalState(job.state) || job.state === JobState.Cancelling
    || job.tasks.some(task => task.phase === TaskPhase.Failed);

/** How a job ends of which nothing runs any more. */
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

/** The answer to a submission whose key is known: the same job, or a refusal when the body is another. */
export const repeatedOutcome = (known: JobEntry, digest: string): SubmitOutcome =>
    known.digest === digest
        ? { kind: "accepted", job: known.job, repeated: true }
        : {
            kind: "refused",
            refusal: { error: "key-reused", reason: `key ${known.key} names a job with another body` },
        };
