/** Link between an entry VM and a worker. */
import {
    OrderRefusal,
    type PollRequest,
    type PollResult,
    type StartCommand,
    type TaskWorkerClient,
    type WorkerCommand,
} from "@pebbledale/cell";
import {
    type Clock,
    type DataHallName,
    type FencingToken,
    fencingToken,
    logEvents,
    type Milliseconds,
    ResponseTimeEstimator,
    type WorkerId,
    type WorkerIncarnation,
} from "@pebbledale/core";
import { createAbortController, type EventLogger } from "@pebbledale/runtime";
import type { AssignMessage, WorkerReport } from "../protocol/index.js";
import { BestEffortOrders } from "./best-effort-orders.js";
import {
    acknowledgementTimeout,
    drainingLeaseLength,
    idleAfter,
    idlePollWait,
    lateOrderRetryDelay,
    lateOrderWindow,
    lossyPollWait,
    maxAnswerTimeout,
    minAnswerTimeout,
    minPollInterval,
    pollTimeout,
    pollWait,
    progressInterval,
    retryDelay,
} from "./constants.js";
import { EndedRunTracker } from "./ended-run-tracker.js";
import type { LossMonitor } from "./loss-monitor.js";
import { type ClockReading, WorkerLease } from "./worker-lease.js";

/** Dependencies and parameters of a worker link. */
export interface WorkerLinkOptions {
    readonly assignment: AssignMessage;
    readonly client: TaskWorkerClient;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly leaseLength: Milliseconds;
    /** Whether the owner was heard recently enough to poll and grant leases on its behalf. */
    readonly mayPoll: () => boolean;
    /** Whether the owner was heard recently enough to forward its starts: it may have given the link or its runs up since. */
    readonly mayForwardOrders?: () => boolean;
    /** Whether operators have closed a data hall, by what this VM knows. */
    readonly isHallClosed: (hall: DataHallName) => boolean;
    /** Shared by all links of this VM. */
    readonly lossMonitor: LossMonitor;
    readonly send: (report: WorkerReport) => void;
}

/** Parameters of one poll. */
interface PollTerms {
    /** How long the worker waits for a run to end before it answers. */
    readonly wait: Milliseconds;
    /** Timeout of the poll. */
    readonly timeout: Milliseconds;
    /** Whether the full result is sent to the owner. */
    readonly isFull?: boolean;
}

/** How a poll ended. */
enum PollOutcome {
    Complete = "complete",
    /** The worker may have more ends than it listed. */
    CutShort = "cut-short",
    /** Refused or not answered. */
    Failed = "failed",
}

/**
 * A link to one incarnation of a worker on behalf of one owner: forwards orders, and polls the worker in sequence,
 * which renews its lease. When another incarnation answers, the link reports it to the owner and closes, as numbers of
 * ended runs, the clock and leases belong to one incarnation.
 *
 * An unanswered start may still be carried out later. The link then raises its fencing token and polls the worker: a result
 * that lists all ends is final, as the worker refuses orders with a lower token.
 */
export class WorkerLink {
    readonly worker: WorkerId;
    readonly #closed = createAbortController();
    #token: FencingToken;
    readonly #lease: WorkerLease;
    readonly #endedRuns: EndedRunTracker;
    readonly #bestEffortOrders: BestEffortOrders;
    #lastProgressAt = -Infinity;
    #isSilent = false;
    /** When a poll last showed a run or a start was sent. */
    #lastActiveAt: Milliseconds;
    /** The incarnation that the link is for; undefined until it is known, and where workers do not report any. */
    #incarnation: WorkerIncarnation | undefined;
    /** Time of the worker's last answer. */
    #lastHeardAt: Milliseconds | undefined;
    /** Until then an unanswered order may still be carried out. */
    #lateOrdersUntil: Milliseconds;
    /** False after a silence until the owner resumes the link, as it may have considered the leases expired. */
    #mayLease = true;
    #onAcknowledged: (() => void) | undefined;
    #queuedStarts: StartCommand[] = [];
    #resolving: Promise<void> | undefined;
    /** Unanswered starts that are not being resolved yet. */
    #uncertainStarts: StartCommand[] = [];
    readonly #answerTimes = new ResponseTimeEstimator({ min: minAnswerTimeout, max: maxAnswerTimeout });

    constructor(private readonly options: WorkerLinkOptions) {
        this.worker = options.assignment.worker;
        this.#token = options.assignment.token;
        this.#incarnation = options.assignment.life;
        this.#lateOrdersUntil = options.clock.monotonic() + (options.assignment.doubtfulFor ?? 0);
        this.#lastActiveAt = options.clock.monotonic();
        this.#endedRuns = new EndedRunTracker(options.clock);
        this.#lease = new WorkerLease(options.clock, options.leaseLength);
        const { client, clock, logger } = options;
        this.#bestEffortOrders = new BestEffortOrders({
            client,
            clock,
            logger,
            signal: this.#closed.signal,
            token: () => this.#token,
            onStopUnanswered: () => this.#lastProgressAt = -Infinity,
        });
        void this.#run();
    }

    /** Closes the link; nothing more is sent. */
    close(): void {
        this.#closed.abort();
        this.#onAcknowledged?.();
    }

    /** Allows leases again after a silence of the worker. */
    resumeLeases(): void {
        this.#mayLease = true;
    }

    /** Shortens leases because the worker is draining. */
    noteDraining(): void {
        this.#lease.limitLength(drainingLeaseLength);
    }

    /** Sends an order to the worker. A start is delayed until the worker's clock has been read. */
    forward(command: WorkerCommand): void {
        if (command.kind === "stop") {
            void this.#bestEffortOrders.stop(command);
        }
        else if (command.kind === "pace") {
            void this.#bestEffortOrders.pace(command);
        }
        else if (!this.#lease.hasReading) {
            this.#queuedStarts.push(command);
        }
        else {
            void this.#start(command);
        }
    }

    /** Marks ended runs up to `through` as committed. */
    acknowledge(through: number): void {
        this.#endedRuns.commitThrough(through);
        this.#onAcknowledged?.();
    }

    async #run(): Promise<void> {
        const { pause = 0 } = this.options.assignment;
        if (pause > 0) {
            await this.options.clock.sleep(pause, this.#closed.signal);
        }
        while (!this.#closed.signal.aborted) {
            if (!this.options.mayPoll()) {
                await this.options.clock.sleep(retryDelay, this.#closed.signal);
                continue;
            }
            const startedAt = this.options.clock.monotonic();
            const isAnswered = await this.#pollForEnds() !== PollOutcome.Failed;
            const gap = minPollInterval - (this.options.clock.monotonic() - startedAt);
            if (gap > 0) {
                await this.options.clock.sleep(gap, this.#closed.signal);
            }
            if (!isAnswered) {
                const delay = this.#mayLateOrdersArrive ? lateOrderRetryDelay : retryDelay;
                await this.options.clock.sleep(delay, this.#closed.signal);
            }
            else if (this.#endedRuns.hasUncommitted) {
                await this.#untilAcknowledged();
            }
        }
    }

    /** Whether the worker has had no activity for a while, and no late order can cause any. */
    get #isIdle(): boolean {
        return !this.#mayLateOrdersArrive && this.options.clock.monotonic() - this.#lastActiveAt > idleAfter;
    }

    /** Whether an unanswered order may still be carried out. */
    get #mayLateOrdersArrive(): boolean {
        return this.options.clock.monotonic() < this.#lateOrdersUntil;
    }

    /**
     * Polls the worker, waiting for a run to end. If the answer is lost, the poll is repeated at once without a wait,
     * so that the worker is only considered silent if it does not answer that one either.
     */
    async #pollForEnds(): Promise<PollOutcome> {
        if (!this.#isSilent && this.#lease.hasReading) {
            const usualWait = this.#isIdle ? idlePollWait : pollWait;
            const wait = this.options.lossMonitor.hasRecentLoss ? lossyPollWait : usualWait;
            const outcome = await this.#tryPoll({ wait, timeout: wait + this.#answerTimes.timeout });
            if (typeof outcome === "string") {
                return outcome;
            }
            this.#recordLoss();
        }
        return this.#pollOnce();
    }

    /** Polls without a wait, and reports the worker as silent when there is no answer. */
    async #pollOnce(isFull = false): Promise<PollOutcome> {
        const timeout = this.#mayLateOrdersArrive && this.#isSilent ? this.#answerTimes.timeout : pollTimeout;
        const outcome = await this.#tryPoll({ wait: 0, timeout, isFull });
        if (typeof outcome === "string") {
            return outcome;
        }
        this.#reportSilence(outcome.cause);
        return PollOutcome.Failed;
    }

    /** Polls once; resolves to the cause when there was no answer. */
    async #tryPoll(
        { wait, timeout, isFull = false }: PollTerms,
    ): Promise<PollOutcome | { readonly cause: string; }> {
        const { client, clock } = this.options;
        const sentAt = clock.monotonic();
        const request = this.#pollRequest(wait);
        const token = this.#token;
        try {
            const answer = await client.poll(request, timeout, this.#closed.signal);
            if (this.#closed.signal.aborted) {
                return PollOutcome.Failed;
            }
            if (answer.kind === "refused") {
                this.#handleRefusal(answer.refusal, token);
                return PollOutcome.Failed;
            }
            this.#lastHeardAt = clock.monotonic();
            this.#recordAnswerTime(clock.monotonic() - sentAt - wait);
            this.#handlePoll(answer.poll, sentAt, isFull);
            return answer.poll.mayHaveMoreEnds === true ? PollOutcome.CutShort : PollOutcome.Complete;
        }
        catch (cause) {
            this.#endedRuns.recordUnanswered();
            return this.#closed.signal.aborted ? PollOutcome.Failed : { cause: String(cause) };
        }
    }

    /** Records the time of an answer. A poll that ended before its wait was over says nothing about answer times. */
    #recordAnswerTime(took: Milliseconds): void {
        if (took >= 0) {
            this.#answerTimes.recordResponse(took);
        }
    }

    #recordLoss(): void {
        this.#answerTimes.recordTimeout();
        this.options.lossMonitor.recordLoss();
    }

    #pollRequest(wait: Milliseconds): PollRequest {
        // A poll without an answer may arrive later, so one to a silent worker must not carry a lease either.
        const leaseUntil = this.#mayLease ? this.#lease.grant() : undefined;
        return {
            token: this.#token,
            forgetThrough: this.#endedRuns.takeForPoll(),
            ...(leaseUntil === undefined ? {} : { leaseUntil }),
            ...(wait > 0 ? { wait } : {}),
        };
    }

    #handlePoll(poll: PollResult, sentAt: Milliseconds, isFull: boolean): void {
        const { clock, send } = this.options;
        const now = clock.monotonic();
        const reading = { clock: poll.clock, sentAt, receivedAt: now };
        if (this.#isOtherIncarnation(poll, reading)) {
            this.#closeWithIncarnation(poll);
            return;
        }
        this.#incarnation ??= poll.life;
        this.#endedRuns.recordAnswer();
        const isFirst = !this.#lease.hasReading;
        this.#lease.addReading(reading);
        const wasSilent = this.#isSilent;
        this.#isSilent = false;
        if (poll.running.length + poll.ended.length > 0) {
            this.#lastActiveAt = now;
        }
        const unreported = this.#endedRuns.takeUnreported(poll.ended);
        const isDue = now - this.#lastProgressAt >= progressInterval;
        if (isFirst || wasSilent || isDue || isFull) {
            this.#lastProgressAt = now;
            send({ kind: "looked", worker: this.worker, look: { ...poll, ended: unreported }, age: now - sentAt });
        }
        else if (unreported.length > 0) {
            send({ kind: "ends", worker: this.worker, ended: unreported });
        }
        const starts = this.#queuedStarts;
        this.#queuedStarts = [];
        starts.forEach(start => void this.#start(start));
    }

    /**
     * Whether another incarnation has answered: it reports another identity or, where workers report none, its clock has
     * gone back.
     */
    #isOtherIncarnation({ life }: PollResult, reading: ClockReading): boolean {
        const isNamed = life !== undefined && this.#incarnation !== undefined;
        return isNamed && life !== this.#incarnation || this.#lease.isOtherIncarnation(reading);
    }

    #closeWithIncarnation({ life, clock, running, ended }: PollResult): void {
        this.options.logger.log(logEvents.otherIncarnationAnswered, {
            worker: this.worker,
            former: this.#incarnation,
            life,
            clock,
            running: running.length,
            ended: ended.length,
            forgottenThrough: this.#endedRuns.committedThrough,
            lapsesIn: Math.round(this.#lease.expiresIn()),
        });
        const doubtfulFor = Math.max(0, this.#lateOrdersUntil - this.options.clock.monotonic());
        this.options.send({
            kind: "restarted",
            worker: this.worker,
            ...(life === undefined ? {} : { life }),
            ...(doubtfulFor > 0 ? { doubtfulFor } : {}),
        });
        this.close();
    }

    #handleRefusal(refusal: OrderRefusal, token: FencingToken): void {
        if (refusal === OrderRefusal.WrongWorker) {
            this.options.send({ kind: "other-life", worker: this.worker });
            this.close();
        }
        else if (refusal !== OrderRefusal.Fenced) {
            this.#reportSilence(refusal);
        }
        else if (token === this.#token) {
            this.options.send({ kind: "fenced", worker: this.worker });
        }
    }

    #reportSilence(cause: string): void {
        if (this.#closed.signal.aborted) {
            return;
        }
        if (!this.#isSilent) {
            this.#isSilent = true;
            this.#mayLease = false;
            const heardAgo = this.#lastHeardAt === undefined
                ? {}
                : { heardAgo: this.options.clock.monotonic() - this.#lastHeardAt };
            this.options.send({
                kind: "silent",
                worker: this.worker,
                lapsesIn: this.#lease.expiresIn(),
                cause,
                ...heardAgo,
            });
        }
    }

    async #start(command: StartCommand): Promise<void> {
        const { client, clock, send } = this.options;
        this.#lastActiveAt = clock.monotonic();
        const { worker, task, run } = command;
        const token = this.#token;
        const isAllowed = this.#mayLease && !this.#isOutOfDate(command) && !this.#isHallClosed(command);
        const leaseUntil = isAllowed ? this.#lease.grant() : undefined;
        if (leaseUntil === undefined) {
            send({ kind: "started", worker, task, run, refusal: "not-delivered" });
            return;
        }
        const sentAt = clock.monotonic();
        try {
            const order = { ...command, token, leaseUntil };
            const answer = await client.start(order, this.#answerTimes.timeout, this.#closed.signal);
            this.#recordAnswerTime(clock.monotonic() - sentAt);
            if (answer.kind === "taken") {
                this.#lastHeardAt = clock.monotonic();
                send({ kind: "started", worker, task, run });
                return;
            }
            if (answer.refusal === OrderRefusal.WrongWorker) {
                this.#handleRefusal(answer.refusal, token);
                return;
            }
            if (answer.refusal === OrderRefusal.Fenced && token === this.#token) {
                send({ kind: "fenced", worker });
            }
            send({ kind: "started", worker, task, run, refusal: answer.refusal });
        }
        catch (cause) {
            if (!this.#closed.signal.aborted) {
                this.#endedRuns.recordUnanswered();
                this.#lateOrdersUntil = clock.monotonic() + lateOrderWindow;
                this.#bestEffortOrders.logUnanswered(command, cause);
                this.#recordLoss();
                this.#uncertainStarts.push(command);
                this.#resolveUncertainStarts();
            }
        }
    }

    /** Whether the owner may count on this start no longer. It may have waited in the connection while this process was stopped. */
    #isOutOfDate({ task, run }: StartCommand): boolean {
        const { mayForwardOrders, logger } = this.options;
        if (mayForwardOrders?.() !== false) {
            return false;
        }
        logger.log(logEvents.startOutOfDate, { worker: this.worker, task, run });
        return true;
    }

    /** Whether the worker's data hall is closed to new runs: the owner that ordered this one may not know it yet. */
    #isHallClosed({ task, run, dataHall }: StartCommand): boolean {
        const { isHallClosed, logger } = this.options;
        if (dataHall === undefined || !isHallClosed(dataHall)) {
            return false;
        }
        logger.log(logEvents.startInClosedHallRefused, { worker: this.worker, hall: dataHall, task, run });
        return true;
    }

    /** Resolves unanswered starts by polls with a higher token. */
    #resolveUncertainStarts(): void {
        this.#resolving ??= this.#resolveAll().finally(() => {
            this.#resolving = undefined;
            if (this.#uncertainStarts.length > 0 && !this.#closed.signal.aborted) {
                this.#resolveUncertainStarts();
            }
        });
    }

    async #resolveAll(): Promise<void> {
        const uncertain = this.#uncertainStarts;
        this.#uncertainStarts = [];
        this.#token = fencingToken(this.#token + 1);
        while (!this.#closed.signal.aborted) {
            if (this.options.mayPoll() && await this.#pollOnce(true) === PollOutcome.Complete) {
                break;
            }
            await this.options.clock.sleep(retryDelay, this.#closed.signal);
        }
        if (this.#closed.signal.aborted) {
            return;
        }
        // The poll result was sent on the same channel before, so the owner knows which of these have run.
        uncertain.forEach(({ worker, task, run }) =>
            this.options.send({ kind: "started", worker, task, run, refusal: "not-delivered" })
        );
    }

    async #untilAcknowledged(): Promise<void> {
        const acknowledged = createAbortController();
        this.#onAcknowledged = () => acknowledged.abort();
        await this.options.clock.sleep(acknowledgementTimeout, acknowledged.signal);
        this.#onAcknowledged = undefined;
    }
}
