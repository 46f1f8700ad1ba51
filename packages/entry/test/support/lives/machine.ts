/** A worker that keeps the workers' protocol to the letter and may be started again under its id, in the tests' time. */
import {
    type EndedRun,
    type Look,
    type LookRequest,
    type OrderAnswer,
    OrderRefusal,
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
    type WorkerLife,
    workerLife,
} from "@pebbledale/core";
import type { RunRecord, SeenRun } from "./record.js";

/** Longest lease that a worker takes. */
export const longestLease: Milliseconds = 6_000;

/** What a task does, by its payload: `done 600` works for 600 ms, `failed 50` fails then, `crash 10` takes its worker down. */
interface Behaviour {
    readonly what: "done" | "failed" | "crash";
    readonly after: Milliseconds;
}

const behaviourOf = (payload: string): Behaviour => {
    const [what, after] = payload.split(" ");
    return { what: what as Behaviour["what"], after: Number(after) };
};

interface Run {
    readonly seen: SeenRun;
    readonly endsAt: Milliseconds;
    readonly behaviour: Behaviour;
}

/** One life: all that a worker holds in memory. */
class Life {
    token = 0;
    leaseUntil: WorkerTime = 0;
    readonly runs: Run[] = [];
    ended: { readonly listed: EndedRun; readonly seen: SeenRun; }[] = [];
    count = 0;
    /** By task, the highest run that ended here. */
    readonly highestEnded = new Map<TaskAddress, number>();

    constructor(readonly born: WorkerLife, readonly number: number, readonly startedAt: Milliseconds) {}
}

/** How a worker starts. */
export interface MachineStart {
    readonly address?: string;
    /** By how much its time of day was set back or ahead. */
    readonly clockStep?: Milliseconds;
}

/** Milliseconds since 1970 at which the tests begin. */
const startOfTime = 1_700_000_000_000;

/** See the module's comment. */
export class Machine {
    #life: Life | undefined;
    #lives = 0;
    /** Whether it names its lives, as the platform that restarts workers under their ids does. */
    namesLives = true;

    constructor(
        readonly id: WorkerId,
        public address: string,
        private readonly clock: Clock,
        private readonly record: RunRecord,
    ) {
        this.start();
    }

    /** Whether it runs. */
    get isUp(): boolean {
        return this.#life !== undefined;
    }

    /** The name of its present life; undefined while it is down, or where lives have no names. */
    get born(): WorkerLife | undefined {
        return this.namesLives ? this.#life?.born : undefined;
    }

    /** Counts its lives. */
    get lives(): number {
        return this.#lives;
    }

    /** Starts, knowing nothing of before. */
    start({ address = this.address, clockStep = 0 }: MachineStart = {}): void {
        this.crash();
        this.address = address;
        const now = this.clock.monotonic();
        this.#life = new Life(workerLife(startOfTime + now + clockStep), this.#lives++, now);
    }

    /** Loses all it had. */
    crash(): void {
        const now = this.clock.monotonic();
        this.#life?.runs.forEach(({ seen }) => seen.endedAt = now);
        this.#life = undefined;
    }

    /** Whether a look that lets go of ends up to `forgetThrough` would list any. */
    hasEnds(forgetThrough: number): boolean {
        return this.#life?.ended.some(({ listed }) => listed.number > forgetThrough) ?? false;
    }

    /** Carries a look out; undefined when its token is an old one. */
    look({ token, forgetThrough, leaseUntil }: LookRequest): Look | undefined {
        const life = this.#present;
        if (token < life.token) {
            return undefined;
        }
        life.token = token;
        this.#lease(life, leaseUntil);
        life.ended.filter(({ listed }) => listed.number <= forgetThrough).forEach(({ seen }) => seen.isNoted = true);
        life.ended = life.ended.filter(({ listed }) => listed.number > forgetThrough);
        return {
            ...(this.namesLives ? { life: life.born } : {}),
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
    begin({ task, run, payload, token, leaseUntil }: StartOrder): OrderAnswer {
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
        const now = this.clock.monotonic();
        const seen: SeenRun = {
            task,
            run,
            worker: this.id,
            life: life.number,
            startedAt: now,
            endedAt: undefined,
            end: undefined,
            isNoted: false,
        };
        this.record.runs.push(seen);
        const behaviour = behaviourOf(payload);
        life.runs.push({ seen, endsAt: now + behaviour.after, behaviour });
        return { kind: "taken", clock };
    }

    /** Carries a stop out. */
    stop({ task, run, token }: StopOrder): OrderAnswer {
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
        const life = this.#life;
        if (life === undefined) {
            return;
        }
        const now = this.clock.monotonic();
        for (const run of [...life.runs]) {
            if (run.endsAt > now) {
                continue;
            }
            if (run.behaviour.what === "crash") {
                this.crash();
                return;
            }
            this.#end(life, run, run.behaviour.what === "done" ? RunEnd.Done : RunEnd.Failed);
        }
        if (this.#clockOf(life) > life.leaseUntil) {
            [...life.runs].forEach(run => this.#end(life, run, RunEnd.Lapsed));
        }
    }

    get #present(): Life {
        if (this.#life === undefined) {
            throw new Error("a worker that is down was called");
        }
        return this.#life;
    }

    #clockOf(life: Life): WorkerTime {
        return this.clock.monotonic() - life.startedAt;
    }

    #lease(life: Life, until: WorkerTime | undefined): void {
        const longest = this.#clockOf(life) + longestLease;
        life.leaseUntil = Math.max(life.leaseUntil, Math.min(until ?? 0, longest));
    }

    #end(life: Life, run: Run, end: RunEnd): void {
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
