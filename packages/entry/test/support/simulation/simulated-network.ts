/** Simulated network between links and workers. */
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
import type { SentCall, SimulatedWorker } from "./simulated-worker.js";

/** What happens to a call. */
export interface CallOutcome {
    /** Delay until the worker then at the address executes the call; undefined when it is lost. */
    readonly executedAfter: Milliseconds | undefined;
    readonly isAnswered: boolean;
}

/** A call without an answer so far. */
export interface PendingCall {
    readonly kind: CallKind;
    readonly worker: WorkerId;
    readonly sentAt: Milliseconds;
}

/** What a call requests. */
export type CallKind = "look" | "start" | "stop" | "pace";

const delivered: CallOutcome = { executedAfter: 0, isAnswered: true };
/** Interval at which a waiting poll checks for ends. */
const pollInterval: Milliseconds = 10;

/** Delivers calls to simulated workers, loses them or their answers, or delays them. */
export class SimulatedNetwork implements TaskWorkerClients {
    /** Decides what happens to a call. */
    outcomeOf: (kind: CallKind, worker: WorkerId) => CallOutcome = () => delivered;
    readonly #pending = new Set<PendingCall>();

    constructor(private readonly clock: ManualClock, private readonly workers: readonly SimulatedWorker[]) {}

    clientOf(worker: WorkerId, address: string): TaskWorkerClient {
        return new SimulatedWorkerClient(worker, address, this);
    }

    /** Calls without an answer so far. */
    get pending(): PendingCall[] {
        return [...this.#pending];
    }

    async call<Answer>(
        kind: CallKind,
        { worker, address }: SimulatedWorkerClient,
        limit: Milliseconds,
        execute: (recipient: SimulatedWorker, sent: SentCall) => Promise<Answer> | Answer,
        refuseCall: (refusal: OrderRefusal) => Answer,
    ): Promise<Answer> {
        const { executedAfter, isAnswered } = this.outcomeOf(kind, worker);
        const unreachable = (why: string) => new WorkerUnreachableError(`${kind} at ${address}: ${why}`);
        const sent = {
            at: this.clock.monotonic(),
            incarnation: this.workers.find(({ id }) => id === worker)?.incarnationCount ?? 0,
        };
        const timedOut = this.clock.sleep(limit).then((): Answer => {
            throw unreachable("no answer");
        });
        const answered = async (): Promise<Answer> => {
            if (executedAfter === undefined) {
                return timedOut;
            }
            if (executedAfter > 0) {
                await this.clock.sleep(executedAfter);
            }
            const recipient = this.workers.find(other => other.address === address && other.isUp);
            if (recipient === undefined) {
                throw unreachable("connection refused");
            }
            const incarnation = recipient.incarnationCount;
            const answer = recipient.id === worker
                ? await execute(recipient, sent)
                : refuseCall(OrderRefusal.WrongWorker);
            if (!recipient.isUp || recipient.incarnationCount !== incarnation) {
                throw unreachable("connection reset");
            }
            return isAnswered ? answer : timedOut;
        };
        const call = answered();
        call.catch(() => undefined);
        timedOut.catch(() => undefined);
        const pending = { kind, worker, sentAt: this.clock.monotonic() };
        this.#pending.add(pending);
        const removePending = () => void this.#pending.delete(pending);
        call.then(removePending, removePending);
        return Promise.race([call, timedOut]);
    }

    /** Waits until the worker has ends to report, the wait is over, or the worker has crashed. */
    async waitForEnds(recipient: SimulatedWorker, forgetThrough: number, wait: Milliseconds): Promise<void> {
        const until = this.clock.monotonic() + wait;
        const incarnation = recipient.incarnationCount;
        const isOver = () =>
            !recipient.isUp || recipient.incarnationCount !== incarnation || this.clock.monotonic() >= until;
        while (!recipient.hasEnds(forgetThrough) && !isOver()) {
            await this.clock.sleep(pollInterval);
        }
    }
}

/** Calls one worker at one address. */
class SimulatedWorkerClient implements TaskWorkerClient {
    constructor(readonly worker: WorkerId, readonly address: string, private readonly network: SimulatedNetwork) {}

    poll(request: PollRequest, limit: Milliseconds): Promise<PollAnswer> {
        const execute = async (recipient: SimulatedWorker): Promise<PollAnswer> => {
            const first = recipient.poll(request);
            if (first === undefined) {
                return { kind: "refused", refusal: OrderRefusal.Fenced };
            }
            const { wait = 0, forgetThrough } = request;
            const incarnation = recipient.incarnationCount;
            await this.network.waitForEnds(recipient, forgetThrough, wait);
            const second = recipient.isUp && recipient.incarnationCount === incarnation
                ? recipient.poll(request)
                : first;
            return second === undefined
                ? { kind: "refused", refusal: OrderRefusal.Fenced }
                : { kind: "seen", poll: second };
        };
        return this.network.call("look", this, limit, execute, refusal => ({ kind: "refused", refusal }));
    }

    start(order: StartOrder, limit: Milliseconds): Promise<OrderAnswer> {
        return this.network.call(
            "start",
            this,
            limit,
            (recipient, sent) => recipient.startRun(order, sent),
            refuse,
        );
    }

    stop(order: StopOrder, limit: Milliseconds): Promise<OrderAnswer> {
        return this.network.call("stop", this, limit, recipient => recipient.stopRun(order), refuse);
    }

    async pace(): Promise<OrderAnswer> {
        return { kind: "taken", clock: 0 };
    }

    async close(): Promise<void> {}
}

const refuse = (refusal: OrderRefusal): OrderAnswer => ({ kind: "refused", refusal, clock: undefined });
