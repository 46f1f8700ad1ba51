/** Mutations of the product's compiled code, which show that the explorer finds faults. */

/** A text replacement in one compiled file. */
export interface Mutation {
    readonly name: string;
    /** The rule that it violates. */
    readonly rule: string;
    /** Part of the name of the only scenario that reveals it in reasonable time; undefined when others do as well. */
    readonly scenario?: string;
    /** Suffix of the file's path. */
    readonly file: string;
    /** Replaced throughout the file. */
    readonly from: string;
    readonly to: string;
}

const pool = "cell/dist/src/runs/worker-pool.js";
const incarnations = "cell/dist/src/runs/worker-incarnations.js";
const polls = "cell/dist/src/runs/worker-poll-reconciler.js";
const link = "entry/dist/src/links/worker-link.js";
const runs = "cell/dist/src/runs/run-lifecycle.js";
const turnRunner = "entry/dist/src/owner/turn-runner.js";
const reportHandler = "entry/dist/src/owner/worker-report-handler.js";
const assignments = "entry/dist/src/owner/assignments.js";

/** All mutations. */
export const mutations: readonly Mutation[] = [
    {
        name: "a list that was cut short settles what it does not name",
        rule: "done once",
        scenario: "one end in each answer",
        file: polls,
        from: "if (!mayHaveMoreEnds)",
        to: "if (true)",
    },
    {
        name: "an order without an answer is settled by a list that was cut short",
        rule: "done once",
        scenario: "one end in each answer",
        file: link,
        from: "=== PollOutcome.Complete",
        to: "!== PollOutcome.Failed",
    },
    {
        name: "a link goes on with another life",
        rule: "done once",
        file: link,
        from: "if (this.#isOtherIncarnation(poll, reading))",
        to: "if (false)",
    },
    {
        name: "ends are acknowledged before they are kept",
        rule: "done once",
        file: turnRunner,
        from: "await this.#committed;",
        to: "",
    },
    {
        name: "what was ordered of a former life is over at once",
        rule: "one run at work",
        scenario: "plain tasks, two workers",
        file: incarnations,
        from: "if (run.isReported)",
        to: "if (true)",
    },
    {
        name: "what was ordered of a former life is never settled",
        rule: "each job has its end",
        file: polls,
        from: "formerIncarnation === undefined ? sentAt < resolvedBefore : resolvedBefore > -Infinity",
        to: "formerIncarnation === undefined && sentAt < resolvedBefore",
    },
    {
        name: "what a restarted worker had is waited for",
        rule: "each job has its end",
        file: incarnations,
        from: "runs.forEach(run => this.#handOver(run, worker, loss));",
        to: "",
    },
    {
        name: "a crash is held against nobody",
        rule: "crashes are few",
        file: "cell/dist/src/crashes/judgement.js",
        from: "isProved: cause === LossCause.Crashed",
        to: "isProved: false",
    },
    {
        name: "leases of a silent worker are over at once",
        rule: "one run at work",
        file: pool,
        from: "now > worker.leasesExpireAt + leaseMargin",
        to: "true",
    },
    {
        name: "an order without an answer is settled without a higher token",
        rule: "one run at work",
        file: link,
        from: "this.#token = fencingToken(this.#token + 1);",
        to: "",
    },
    {
        name: "tokens of a later owner are not higher",
        rule: "workers are seen as they are",
        file: assignments,
        from: "(this.epoch * assignmentsPerEpoch + count)",
        to: "(assignmentsPerEpoch - this.epoch)",
    },
    {
        name: "a new owner trusts that nothing runs",
        rule: "one run at work",
        file: pool,
        from: "this.#runs.recover(task, run, worker, incarnation);",
        to: "this.#context.record({ kind: \"lost\", task: task.address, run });",
    },
    {
        name: "a worker that is back at another address is not called there",
        rule: "each job has its end",
        file: incarnations,
        from: "pendingEntry.address !== worker.address",
        to: "false",
    },
    {
        name: "the entry of the next life is dropped",
        rule: "workers are seen as they are",
        file: incarnations,
        from: "worker.pendingEntry = isFormer ? worker.pendingEntry : entry;",
        to: "",
    },
    {
        name: "room that is taken is not counted",
        rule: "room is kept",
        file: "cell/dist/src/state/worker-state.js",
        from: "this.#adjustFree(run.task.step.definition, -1);",
        to: "",
    },
    {
        name: "an end is not taken in",
        rule: "done once",
        file: runs,
        from: "this.#recordEnd(task, ended);",
        to: "",
    },
    {
        name: "a job is shown as completed with its first task",
        rule: "ends are true",
        file: "cell/dist/src/state/entities.js",
        from: "return this.doneCount === this.tasks.length;",
        to: "return this.doneCount > 0;",
    },
    {
        name: "each look settles what was ordered, not only a link's first",
        rule: "one run at work",
        file: reportHandler,
        from: "assignment.hasCompletePoll ? -Infinity : assignment.assignedAt",
        to: "clock.monotonic()",
    },
    {
        name: "a closure that another VM has read is not taken in",
        rule: "workers are seen as they are",
        file: "entry/dist/src/data-halls/hall-closure-watch.js",
        from: "this.#newest = closures;",
        to: "if (source === \"store\") { this.#newest = closures; }",
    },
    {
        name: "closures are not read",
        rule: "closed halls get nothing",
        file: "entry/dist/src/data-halls/hall-closure-watch.js",
        from: "closed.forEach(hall => this.#ownHalls.add(hall));",
        to: "",
    },
    {
        name: "what is ordered of a former life is charged nowhere",
        rule: "each job has its end",
        file: runs,
        from: "run.progressSamples = undefined;\n        worker.allocate(run);",
        to: "run.progressSamples = undefined;",
    },
];
