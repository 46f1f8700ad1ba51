/** A worker that keeps the workers' protocol to the letter and may be started again under its id, in the tests' time. */
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
import type { RecordedRun, RunHistory } from "./record.js";

/** Longest lease that a worker takes. */
export const longestLease: Milliseconds = 6_000;

/** A member of a gang ends alone when the others are not there by then. */
const gangWait: Milliseconds = 3_000;

interface Run {
    readonly seen: RecordedRun;
    readonly processorThousandths: number;
}

/** One life: all that a worker holds in memory. */
class IncarnationState {
    token = 0;
    leaseUntil: WorkerTime = 0;
    readonly runs: Run[] = [];
    ended: { readonly listed: EndedRun; readonly seen: RecordedRun; }[] = [];
    count = 0;
    /** By task, the highest run that ended here. */
    readonly highestEnded = new Map<TaskAddress, number>();

    constructor(readonly born: WorkerIncarnation, readonly number: number, readonly startedAt: Milliseconds) {}
}

/** When a call was sent, and how many lives its worker had had by then. */
export interface SentCall {
    readonly at: Milliseconds;
    readonly incarnation: number;
}

/** How a worker starts. */
export interface WorkerStart {
    readonly address?: string;
    /** By how much its time of day was set back or ahead. */
    readonly clockStep?: Milliseconds;
}

/** Milliseconds since 1970 at which the tests begin. */
const startOfTime = 1_700_000_000_000;

/** See the module's comment. */
export class SimulatedWorker {
    #incarnation: IncarnationState | undefined;
    #incarnationCount = 0;
    #reportedNames = 0;
    /** The most thousandths of a processor that its runs asked for at once. */
    peakProcessorThousandths = 0;
    /** Whether each answer names another life: a strange worker, or one in a crash loop. */
    changesIncarnationEachAnswer = false;
    /** Whether it names its lives, as the platform that restarts workers under their ids does. */
    namesIncarnations = true;

    constructor(
        readonly id: WorkerId,
        public address: string,
        private readonly clock: Clock,
        private readonly record: RunHistory,
        private readonly sizeOf: (task: TaskAddress) => number = () => 0,
    ) {
        this.start();
    }

    /** Whether it runs. */
    get isUp(): boolean {
        return this.#incarnation !== undefined;
    }

    /** The name of its present life; undefined while it is down, or where lives have no names. */
    get born(): WorkerIncarnation | undefined {
        return this.namesIncarnations ? this.#incarnation?.born : undefined;
    }

    /** The highest token that its present life has seen. */
    get token(): number {
        return this.#incarnation?.token ?? 0;
    }

    /** How many lives it has had, the present one included. */
    get incarnationCount(): number {
        return this.#incarnationCount;
    }

    /** Starts, knowing nothing of before. */
    start({ address = this.address, clockStep = 0 }: WorkerStart = {}): void {
        this.crash();
        this.address = address;
        const now = this.clock.monotonic();
        this.#incarnation = new IncarnationState(
            workerIncarnation(startOfTime + now + clockStep),
            ++this.#incarnationCount,
            now,
        );
    }

    /** Loses all it had. */
    crash(): void {
        const now = this.clock.monotonic();
        this.#incarnation?.runs.forEach(({ seen }) => seen.endedAt = now);
        this.#incarnation = undefined;
    }

    /** What it holds, for telling states of a test apart. */
    describe(): unknown {
        const life = this.#incarnation;
        return life === undefined ? undefined : {
            address: this.address,
            life: life.number,
            token: life.token,
            runs: life.runs.map(({ seen: { task, run } }) => [task, run]),
            ended: life.ended.map(({ listed: { number, task, run, end } }) => [number, task, run, end]),
        };
    }

    /** Whether a look that lets go of ends up to `forgetThrough` would list any. */
    hasEnds(forgetThrough: number): boolean {
        return this.#incarnation?.ended.some(({ listed }) => listed.number > forgetThrough) ?? false;
    }

    /** Carries a look out; undefined when its token is an old one. */
    poll({ token, forgetThrough, leaseUntil }: PollRequest): PollResult | undefined {
        const life = this.#present;
        if (token < life.token) {
            return undefined;
        }
        life.token = token;
        this.#lease(life, leaseUntil);
        life.ended.filter(({ listed }) => listed.number <= forgetThrough).forEach(({ seen }) =>
            seen.isAcknowledged = true
        );
        life.ended = life.ended.filter(({ listed }) => listed.number > forgetThrough);
        return {
            ...(this.namesIncarnations ? { life: this.#nameOf(life) } : {}),
            clock: this.#clockOf(life),
            running: life.runs.map(({ seen: { task, run } }) => ({
                task,
                run,
                checkpoint: "",
                percent: 10,
                measure: 0,
            })),
            ended: life.ended.map(({ listed }) => listed),
        };
    }

    /** Carries a start out. */
    startRun({ task, run, payload, token, leaseUntil }: StartOrder, sent: SentCall): OrderAnswer {
        const life = this.#present;
        const clock = this.#clockOf(life);
        if (token < life.token) {
            return { kind: "refused", refusal: OrderRefusal.Fenced, clock };
        }
        life.token = token;
        if (leaseUntil < clock) {
            return { kind: "refused", refusal: OrderRefusal.Late, clock };
        }
        this.#lease(life, leaseUntil);
        if (life.runs.some(({ seen }) => seen.task === task && seen.run === run)) {
            return { kind: "taken", clock };
        }
        if ((life.highestEnded.get(task) ?? 0) >= run) {
            return { kind: "refused", refusal: OrderRefusal.OldRun, clock };
        }
        const seen: RecordedRun = {
            task,
            run,
            worker: this.id,
            behaviour: behaviourOf(payload),
            incarnation: life.number,
            isStray: life.number !== sent.incarnation,
            sentAt: sent.at,
            startedAt: this.clock.monotonic(),
            endedAt: undefined,
            end: undefined,
            hasCrashed: false,
            isAcknowledged: false,
        };
        this.record.runs.push(seen);
        life.runs.push({ seen, processorThousandths: this.sizeOf(task) });
        const charged = life.runs.reduce((sum, { processorThousandths }) => sum + processorThousandths, 0);
        this.peakProcessorThousandths = Math.max(this.peakProcessorThousandths, charged);
        return { kind: "taken", clock };
    }

    /** Carries a stop out. */
    stopRun({ task, run, token }: StopOrder): OrderAnswer {
        const life = this.#present;
        const clock = this.#clockOf(life);
        if (token < life.token) {
            return { kind: "refused", refusal: OrderRefusal.Fenced, clock };
        }
        life.token = token;
        life.runs.filter(({ seen }) => seen.task === task && seen.run === run)
            .forEach(stopped => this.#end(life, stopped, RunEnd.Stopped));
        return { kind: "taken", clock };
    }

    /** Lets time pass: runs end, crash their worker, or lapse. */
    tick(): void {
        const life = this.#incarnation;
        if (life === undefined) {
            return;
        }
        for (const run of [...life.runs]) {
            const end = this.#endOf(run.seen);
            if (end === "crash") {
                run.seen.hasCrashed = true;
                this.crash();
                return;
            }
            if (end !== undefined) {
                this.#end(life, run, end);
            }
        }
        if (this.#clockOf(life) > life.leaseUntil) {
            [...life.runs].forEach(run => this.#end(life, run, RunEnd.Lapsed));
        }
    }

    #nameOf(life: IncarnationState): WorkerIncarnation {
        return this.changesIncarnationEachAnswer ? workerIncarnation(life.born + ++this.#reportedNames) : life.born;
    }

    /** How a run ends now; undefined while it goes on. */
    #endOf(seen: RecordedRun): RunEnd | "crash" | undefined {
        const { kind, after } = seen.behaviour;
        if (kind === TaskKind.Gang) {
            return this.#endOfMember(seen);
        }
        if (kind === TaskKind.Lasting || this.clock.monotonic() - seen.startedAt < after) {
            return undefined;
        }
        if (kind === TaskKind.Crash) {
            return "crash";
        }
        return kind === TaskKind.Failed ? RunEnd.Failed : RunEnd.Done;
    }

    /** Members work from the moment that all are there; they end done together, and none goes on without the others. */
    #endOfMember(seen: RecordedRun): RunEnd | undefined {
        const now = this.clock.monotonic();
        const all = this.record.membersOf(seen);
        const present = all.filter(({ endedAt }) => endedAt === undefined);
        const { members, after } = seen.behaviour;
        if (all.some(({ end }) => end === RunEnd.Done)) {
            return RunEnd.Done;
        }
        if (present.length < all.length) {
            return RunEnd.Broken;
        }
        const lastStart = Math.max(...present.map(({ startedAt }) => startedAt));
        if (present.length === members && now - lastStart >= after) {
            return RunEnd.Done;
        }
        return present.length < members && now - seen.startedAt >= gangWait ? RunEnd.Alone : undefined;
    }

    get #present(): IncarnationState {
        if (this.#incarnation === undefined) {
            throw new Error("a worker that is down was called");
        }
        return this.#incarnation;
    }

    #clockOf(life: IncarnationState): WorkerTime {
        return this.clock.monotonic() - life.startedAt;
    }

    #lease(life: IncarnationState, until: WorkerTime | undefined): void {
        const longest = this.#clockOf(life) + longestLease;
        life.leaseUntil = Math.max(life.leaseUntil, Math.min(until ?? 0, longest));
    }

    #end(life: IncarnationState, run: Run, end: RunEnd): void {
        life.runs.splice(life.runs.indexOf(run), 1);
        const { seen } = run;
        seen.endedAt = this.clock.monotonic();
        seen.end = end;
        life.highestEnded.set(seen.task, Math.max(seen.run, life.highestEnded.get(seen.task) ?? 0));
        life.count++;
        life.ended.push({
            seen,
            listed: { number: life.count, task: seen.task, run: seen.run, end, checkpoint: "" },
        });
    }
}
