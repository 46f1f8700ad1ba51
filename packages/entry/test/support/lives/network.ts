/** The way from the links to the workers of a test: each call is delivered, loses its answer, or is carried out late. */
import {
    type OrderAnswer,
    OrderRefusal,
    type PollAnswer,
    type PollRequest,
    type StartOrder,
    type StopOrder,
    type TaskWorkerClient,
    type TaskWorkerClients,
} from "@pebbledale/cell";
import { type ManualClock, type Milliseconds, type WorkerId, WorkerUnreachableError } from "@pebbledale/core";
import type { SentCall, SimulatedWorker } from "./machine.js";

/** What becomes of a call. */
export interface CallOutcome {
    /** How long after it was sent it is carried out, by whoever is at its address then; undefined when never. */
    readonly executedAfter: Milliseconds | undefined;
    readonly isAnswered: boolean;
}

/** A call that has no answer yet. */
export interface PendingCall {
    readonly kind: CallKind;
    readonly worker: WorkerId;
    readonly sentAt: Milliseconds;
}

/** What a call asks for. */
export type CallKind = "look" | "start" | "stop" | "pace";

const delivered: CallOutcome = { executedAfter: 0, isAnswered: true };
/** How often a look that waits for an end looks for one. */
const pollInterval: Milliseconds = 10;

/** See the module's comment. */
export class SimulatedNetwork implements TaskWorkerClients {
    /** Decides what becomes of a call. */
    outcomeOf: (kind: CallKind, worker: WorkerId) => CallOutcome = () => delivered;
    readonly #pending = new Set<PendingCall>();

    constructor(private readonly clock: ManualClock, private readonly machines: readonly SimulatedWorker[]) {}

    /** See {@link TaskWorkerClients.clientOf}. */
    clientOf(worker: WorkerId, address: string): TaskWorkerClient {
        return new SimulatedWorkerClient(worker, address, this);
    }

    /** Calls that have no answer yet. */
    get pending(): PendingCall[] {
        return [...this.#pending];
    }

    /** Makes one call. */
    async call<Answer>(
        kind: CallKind,
        { worker, address }: SimulatedWorkerClient,
        limit: Milliseconds,
        carryOut: (machine: SimulatedWorker, sent: SentCall) => Promise<Answer> | Answer,
        refused: (refusal: OrderRefusal) => Answer,
    ): Promise<Answer> {
        const { executedAfter: carriedOutAfter, isAnswered } = this.outcomeOf(kind, worker);
        const unreachable = (why: string) => new WorkerUnreachableError(`${kind} at ${address}: ${why}`);
        const sent = {
            at: this.clock.monotonic(),
            incarnation: this.machines.find(({ id }) => id === worker)?.incarnationCount ?? 0,
        };
        const givenUp = this.clock.sleep(limit).then((): Answer => {
            throw unreachable("no answer");
        });
        const answered = async (): Promise<Answer> => {
            if (carriedOutAfter === undefined) {
                return givenUp;
            }
            if (carriedOutAfter > 0) {
                await this.clock.sleep(carriedOutAfter);
            }
            const machine = this.machines.find(other => other.address === address && other.isUp);
            if (machine === undefined) {
                throw unreachable("connection refused");
            }
            const lives = machine.incarnationCount;
            const answer = machine.id === worker
                ? await carryOut(machine, sent)
                : refused(OrderRefusal.WrongWorker);
            if (!machine.isUp || machine.incarnationCount !== lives) {
                throw unreachable("connection reset");
            }
            return isAnswered ? answer : givenUp;
        };
        const call = answered();
        call.catch(() => undefined);
        givenUp.catch(() => undefined);
        const pending = { kind, worker, sentAt: this.clock.monotonic() };
        this.#pending.add(pending);
        const settled = () => void this.#pending.delete(pending);
        call.then(settled, settled);
        return Promise.race([call, givenUp]);
    }

    /** Waits at a worker for an end, or until the wait is over or the worker's life is. */
    async waitForEnds(machine: SimulatedWorker, forgetThrough: number, wait: Milliseconds): Promise<void> {
        const until = this.clock.monotonic() + wait;
        const lives = machine.incarnationCount;
        const isOver = () => !machine.isUp || machine.incarnationCount !== lives || this.clock.monotonic() >= until;
        while (!machine.hasEnds(forgetThrough) && !isOver()) {
            await this.clock.sleep(pollInterval);
        }
    }
}

/** Calls of one worker at one address. */
class SimulatedWorkerClient implements TaskWorkerClient {
    constructor(readonly worker: WorkerId, readonly address: string, private readonly network: SimulatedNetwork) {}

    poll(request: PollRequest, limit: Milliseconds): Promise<PollAnswer> {
        const carryOut = async (machine: SimulatedWorker): Promise<PollAnswer> => {
            const first = machine.poll(request);
            if (first === undefined) {
                return { kind: "refused", refusal: OrderRefusal.Fenced };
            }
            const { wait = 0, forgetThrough } = request;
            const lives = machine.incarnationCount;
            await this.network.waitForEnds(machine, forgetThrough, wait);
            const look = machine.isUp && machine.incarnationCount === lives ? machine.poll(request) : first;
            return look === undefined
                ? { kind: "refused", refusal: OrderRefusal.Fenced }
                : { kind: "seen", poll: look };
        };
        return this.network.call("look", this, limit, carryOut, refusal => ({ kind: "refused", refusal }));
    }

    start(order: StartOrder, limit: Milliseconds): Promise<OrderAnswer> {
        return this.network.call(
            "start",
            this,
            limit,
            (machine, sent) => machine.startRun(order, sent),
            refuse,
        );
    }

    stop(order: StopOrder, limit: Milliseconds): Promise<OrderAnswer> {
        return this.network.call("stop", this, limit, machine => machine.stopRun(order), refuse);
    }

    async pace(): Promise<OrderAnswer> {
        return { kind: "taken", clock: 0 };
    }

    async close(): Promise<void> {}
}

const refuse = (refusal: OrderRefusal): OrderAnswer => ({ kind: "refused", refusal, clock: undefined });
