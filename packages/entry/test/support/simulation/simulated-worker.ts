/** Simulated worker. */
import {
    type EndedRun,
    type OrderAnswer,
    OrderRefusal,
    type PollRequest,
    type PollResult,
    RunEnd,
    type StartOrder,
    type StopOrder,
    type WorkerTime,
} from "@pebbledale/cell";
import {
    type Clock,
    type Milliseconds,
    type TaskAddress,
    type WorkerId,
    type WorkerIncarnation,
    workerIncarnation,
} from "@pebbledale/core";
import { behaviourOf, TaskKind } from "./behaviour.js";
import type { RecordedRun, RunHistory } from "./run-history.js";

/** Maximum length of a lease that a worker accepts. */
export const longestLease: Milliseconds = 6_000;

/** Time after which a gang member ends as `alone` when the others have not started. */
const gangWait: Milliseconds = 3_000;

interface Run {
    readonly record: RecordedRun;
    readonly processorThousandths: number;
}

/** What a worker holds in memory: lost when it crashes. */
class IncarnationState {
    token = 0;
    leaseUntil: WorkerTime = 0;
    readonly runs: Run[] = [];
    ended: { readonly listed: EndedRun; readonly record: RecordedRun; }[] = [];
    endCount = 0;
    /** By task, the highest run that ended here. */
    readonly highestEnded = new Map<TaskAddress, number>();

    constructor(readonly born: WorkerIncarnation, readonly number: number, readonly startedAt: Milliseconds) {}
}

/** When a call was sent, and the number of the incarnation of its worker at that time, counted from 1. */
export interface SentCall {
    readonly at: Milliseconds;
    readonly incarnation: number;
}

/** How a worker starts. */
export interface WorkerStart {
    readonly address?: string;
    /** Shift of its wall clock. */
    readonly clockStep?: Milliseconds;
}

/** Wall-clock time at which simulations begin, in Unix milliseconds. */
const simulationStartTime = 1_700_000_000_000;

/** Implements the workers' protocol exactly, in virtual time, and may restart under its id. */
export class SimulatedWorker {
    #incarnation: IncarnationState | undefined;
    #incarnationCount = 0;
    #reportedIncarnationCount = 0;
    /** Peak of the thousandths of a processor that its runs requested together. */
    peakProcessorThousandths = 0;
    /** Whether each answer reports another incarnation, as a faulty worker or one in a crash loop does. */
    changesIncarnationEachAnswer = false;
    /** Whether it reports its incarnation. */
    namesIncarnations = true;
    /** Maximum number of ends in one answer. */
    maxListedEnds = Infinity;

    constructor(
        readonly id: WorkerId,
        public address: string,
        private readonly clock: Clock,
        private readonly history: RunHistory,
        private readonly sizeOf: (task: TaskAddress) => number = () => 0,
    ) {
        this.start();
    }

    get isUp(): boolean {
        return this.#incarnation !== undefined;
    }

    /** The current incarnation as reported; undefined while it is down or where incarnations are not reported. */
    get born(): WorkerIncarnation | undefined {
        return this.namesIncarnations ? this.#incarnation?.born : undefined;
    }

    /** Highest token seen by the current incarnation. */
    get token(): number {
        return this.#incarnation?.token ?? 0;
    }

    /** Number of incarnations so far, including the current one. */
    get incarnationCount(): number {
        return this.#incarnationCount;
    }

    /** Starts with an empty memory. */
    start({ address = this.address, clockStep = 0 }: WorkerStart = {}): void {
        this.crash();
        this.address = address;
        const now = this.clock.monotonic();
        this.#incarnation = new IncarnationState(
            workerIncarnation(simulationStartTime + now + clockStep),
            ++this.#incarnationCount,
            now,
        );
    }

    /** Loses its memory and all runs. */
    crash(): void {
        const now = this.clock.monotonic();
        this.#incarnation?.runs.forEach(({ record }) => record.endedAt = now);
        this.#incarnation = undefined;
    }

    /** State for telling states of the simulation apart. */
    describe(): unknown {
        const incarnation = this.#incarnation;
        return incarnation === undefined ? undefined : {
            address: this.address,
            life: incarnation.number,
            token: incarnation.token,
            runs: incarnation.runs.map(({ record: { task, run } }) => [task, run]),
            ended: incarnation.ended.map(({ listed: { number, task, run, end } }) => [number, task, run, end]),
        };
    }

    /** Whether a poll that acknowledges ends up to `forgetThrough` would list further ones. */
    hasEnds(forgetThrough: number): boolean {
        return this.#incarnation?.ended.some(({ listed }) => listed.number > forgetThrough) ?? false;
    }

    /** Undefined when the token is outdated. */
    poll({ token, forgetThrough, leaseUntil }: PollRequest): PollResult | undefined {
        const incarnation = this.#currentIncarnation;
        if (token < incarnation.token) {
            return undefined;
        }
        incarnation.token = token;
        this.#extendLease(incarnation, leaseUntil);
        incarnation.ended.filter(({ listed }) => listed.number <= forgetThrough).forEach(({ record }) =>
            record.isAcknowledged = true
        );
        incarnation.ended = incarnation.ended.filter(({ listed }) => listed.number > forgetThrough);
        return {
            ...(this.namesIncarnations ? { life: this.#reportedIncarnationOf(incarnation) } : {}),
            clock: this.#clockOf(incarnation),
            running: incarnation.runs.map(({ record: { task, run } }) => ({
                task,
                run,
                checkpoint: "",
                percent: 10,
                measure: 0,
            })),
            ended: incarnation.ended.slice(0, this.maxListedEnds).map(({ listed }) => listed),
            mayHaveMoreEnds: incarnation.ended.length >= this.maxListedEnds,
        };
    }

    startRun({ task, run, payload, token, leaseUntil }: StartOrder, sent: SentCall): OrderAnswer {
        const incarnation = this.#currentIncarnation;
        const clock = this.#clockOf(incarnation);
        if (token < incarnation.token) {
            return { kind: "refused", refusal: OrderRefusal.Fenced, clock };
        }
        incarnation.token = token;
        if (leaseUntil < clock) {
            return { kind: "refused", refusal: OrderRefusal.Late, clock };
        }
        this.#extendLease(incarnation, leaseUntil);
        if (incarnation.runs.some(({ record }) => record.task === task && record.run === run)) {
            return { kind: "taken", clock };
        }
        if ((incarnation.highestEnded.get(task) ?? 0) >= run) {
            return { kind: "refused", refusal: OrderRefusal.OldRun, clock };
        }
        const record: RecordedRun = {
            task,
            run,
            worker: this.id,
            behaviour: behaviourOf(payload),
            incarnation: incarnation.number,
            isStray: incarnation.number !== sent.incarnation,
            sentAt: sent.at,
            startedAt: this.clock.monotonic(),
            endedAt: undefined,
            end: undefined,
            hasCrashed: false,
            isAcknowledged: false,
        };
        this.history.runs.push(record);
        incarnation.runs.push({ record, processorThousandths: this.sizeOf(task) });
        const requested = incarnation.runs.reduce((sum, { processorThousandths }) => sum + processorThousandths, 0);
        this.peakProcessorThousandths = Math.max(this.peakProcessorThousandths, requested);
        return { kind: "taken", clock };
    }

    stopRun({ task, run, token }: StopOrder): OrderAnswer {
        const incarnation = this.#currentIncarnation;
        const clock = this.#clockOf(incarnation);
        if (token < incarnation.token) {
            return { kind: "refused", refusal: OrderRefusal.Fenced, clock };
        }
        incarnation.token = token;
        incarnation.runs.filter(({ record }) => record.task === task && record.run === run)
            .forEach(stopped => this.#endRun(incarnation, stopped, RunEnd.Stopped));
        return { kind: "taken", clock };
    }

    /** Processes the time that has passed: runs end, crash the worker, or lose their lease. */
    tick(): void {
        const incarnation = this.#incarnation;
        if (incarnation === undefined) {
            return;
        }
        for (const run of [...incarnation.runs]) {
            const end = this.#endOf(run.record);
            if (end === "crash") {
                run.record.hasCrashed = true;
                this.crash();
                return;
            }
            if (end !== undefined) {
                this.#endRun(incarnation, run, end);
            }
        }
        if (this.#clockOf(incarnation) > incarnation.leaseUntil) {
            [...incarnation.runs].forEach(run => this.#endRun(incarnation, run, RunEnd.Lapsed));
        }
    }

    #reportedIncarnationOf(incarnation: IncarnationState): WorkerIncarnation {
        return this.changesIncarnationEachAnswer
            ? workerIncarnation(incarnation.born + ++this.#reportedIncarnationCount)
            : incarnation.born;
    }

    /** How a run ends now; undefined while it continues. */
    #endOf(record: RecordedRun): RunEnd | "crash" | undefined {
        const { kind, after } = record.behaviour;
        if (kind === TaskKind.Gang) {
            return this.#endOfMember(record);
        }
        if (kind === TaskKind.Lasting || this.clock.monotonic() - record.startedAt < after) {
            return undefined;
        }
        if (kind === TaskKind.Crash) {
            return "crash";
        }
        return kind === TaskKind.Failed ? RunEnd.Failed : RunEnd.Done;
    }

    /** Members begin to work once all have started; they finish together, and none continues without the others. */
    #endOfMember(record: RecordedRun): RunEnd | undefined {
        const now = this.clock.monotonic();
        const startedMembers = this.history.membersOf(record);
        const runningMembers = startedMembers.filter(({ endedAt }) => endedAt === undefined);
        const { members, after } = record.behaviour;
        if (startedMembers.some(({ end }) => end === RunEnd.Done)) {
            return RunEnd.Done;
        }
        if (runningMembers.length < startedMembers.length) {
            return RunEnd.Broken;
        }
        const lastStart = Math.max(...runningMembers.map(({ startedAt }) => startedAt));
        if (runningMembers.length === members && now - lastStart >= after) {
            return RunEnd.Done;
        }
        return runningMembers.length < members && now - record.startedAt >= gangWait ? RunEnd.Alone : undefined;
    }

    get #currentIncarnation(): IncarnationState {
        if (this.#incarnation === undefined) {
            throw new Error("a worker that is down was called");
        }
        return this.#incarnation;
    }

    #clockOf(incarnation: IncarnationState): WorkerTime {
        return this.clock.monotonic() - incarnation.startedAt;
    }

    #extendLease(incarnation: IncarnationState, until: WorkerTime | undefined): void {
        const longest = this.#clockOf(incarnation) + longestLease;
        incarnation.leaseUntil = Math.max(incarnation.leaseUntil, Math.min(until ?? 0, longest));
    }

    #endRun(incarnation: IncarnationState, run: Run, end: RunEnd): void {
        incarnation.runs.splice(incarnation.runs.indexOf(run), 1);
        const { record } = run;
        record.endedAt = this.clock.monotonic();
        record.end = end;
        incarnation.highestEnded.set(record.task, Math.max(record.run, incarnation.highestEnded.get(record.task) ?? 0));
        incarnation.endCount++;
        incarnation.ended.push({
            record,
            listed: { number: incarnation.endCount, task: record.task, run: record.run, end, checkpoint: "" },
        });
    }
}
