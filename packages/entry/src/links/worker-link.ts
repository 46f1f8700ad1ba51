/**
 * The link to one life of a worker for one owner: orders, and looks one after the other that renew its lease.
 *
 * The numbers of ends, the clock and the leases are those of the life. When another one answers, the link tells the owner and ends.
 *
 * A start without an answer may still be carried out later. The link then raises the fencing token and looks: what that
 * look shows is final, as the worker refuses whatever still carries a lower token.
 */
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
import {
    acknowledgementTimeout,
    idleAfter,
    idlePollWait,
    lateOrderRetryDelay,
    lateOrderWindow,
    leavingLeaseLength,
    lossyPollWait,
    maxAnswerTimeout,
    minAnswerTimeout,
    minPollInterval,
    pollTimeout,
    pollWait,
    progressInterval,
    retryDelay,
} from "./constants.js";
import { EndedRunTracker } from "./end-numbers.js";
import type { LossMonitor } from "./loss-watch.js";
import { BestEffortOrders } from "./side-orders.js";
import { type ClockReading, WorkerLease } from "./worker-lease.js";

/** What a link needs. */
export interface WorkerLinkOptions {
    readonly assignment: AssignMessage;
    readonly client: TaskWorkerClient;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** How long a lease runs. */
    readonly leaseLength: Milliseconds;
    /** Whether the owner was heard lately enough to give leases in its name. */
    readonly mayPoll: () => boolean;
    /** Whether orders may be passed on in the owner's name: not before it is heard anew after a suspension. */
    readonly mayForwardOrders?: () => boolean;
    /** Shared by all links of the VM. */
    readonly lossMonitor: LossMonitor;
    readonly send: (report: WorkerReport) => void;
}

/** How one look is made. */
interface PollTerms {
    /** How long it waits for an end. */
    readonly wait: Milliseconds;
    /** It has failed without an answer by then. */
    readonly timeout: Milliseconds;
    /** Whether the owner is told all that it shows. */
    readonly isFull?: boolean;
}

/** See the module's comment. */
export class WorkerLink {
    readonly worker: WorkerId;
    readonly #closed = createAbortController();
    #token: FencingToken;
    readonly #lease: WorkerLease;
    readonly #endedRuns: EndedRunTracker;
    readonly #bestEffortOrders: BestEffortOrders;
    #lastProgressAt = -Infinity;
    #isSilent = false;
    /** When a look last showed something, or something was started. */
    #lastActiveAt: Milliseconds;
    /** The life that the link is for; undefined until it is known, and where lives have no names. */
    #incarnation: WorkerIncarnation | undefined;
    /** When the worker last answered anything. */
    #lastHeardAt: Milliseconds | undefined;
    /** Until then an order that got no answer may still be carried out. */
    #lateOrdersUntil: Milliseconds;
    /** After a silence the owner may take the leases for over: none is given until it says so. */
    #mayLease = true;
    #onAcknowledged: (() => void) | undefined;
    #queuedStarts: StartCommand[] = [];
    #resolving: Promise<void> | undefined;
    /** Starts without an answer. */
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

    /** Ends the link: nothing more is sent. */
    close(): void {
        this.#closed.abort();
        this.#onAcknowledged?.();
    }

    /** The owner knows that the worker answers again: leases may be given. */
    resumeLeases(): void {
        this.#mayLease = true;
    }

    /** The worker says that it leaves. */
    noteLeaving(): void {
        this.#lease.limitLength(leavingLeaseLength);
    }

    /** Passes an order on. */
    order(command: WorkerCommand): void {
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

    /** Ends up to `through` are kept. */
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
            const isAnswered = await this.#pollForEnds();
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

    /** Whether nothing was at work for a while, and nothing can be. */
    get #isIdle(): boolean {
        return !this.#mayLateOrdersArrive && this.options.clock.monotonic() - this.#lastActiveAt > idleAfter;
    }

    /** Whether an order that got no answer may still be carried out. */
    get #mayLateOrdersArrive(): boolean {
        return this.options.clock.monotonic() < this.#lateOrdersUntil;
    }

    /**
     * A look that waits for an end. When its answer is lost it is repeated at once without a wait: only a worker that does
     * not answer that one either is silent. Where answers are lost now and then, ends are seen all the same.
     */
    async #pollForEnds(): Promise<boolean> {
        if (!this.#isSilent && this.#lease.hasReading) {
            const usualWait = this.#isIdle ? idlePollWait : pollWait;
            const wait = this.options.lossMonitor.hasRecentLoss ? lossyPollWait : usualWait;
            const isAnswered = await this.#tryPoll({ wait, timeout: wait + this.#answerTimes.timeout });
            if (typeof isAnswered === "boolean") {
                return isAnswered;
            }
            this.#noteLost();
        }
        return this.#pollOnce();
    }

    /** One look that does not wait; false when it had no answer. */
    async #pollOnce(isWhole = false): Promise<boolean> {
        const limit = this.#mayLateOrdersArrive && this.#isSilent ? this.#answerTimes.timeout : pollTimeout;
        const isAnswered = await this.#tryPoll({ wait: 0, timeout: limit, isFull: isWhole });
        if (typeof isAnswered === "boolean") {
            return isAnswered;
        }
        this.#reportSilence(isAnswered.cause);
        return false;
    }

    /** One look; the cause when it had no answer. */
    async #tryPoll(
        { wait, timeout: limit, isFull: isWhole = false }: PollTerms,
    ): Promise<boolean | { readonly cause: string; }> {
        const { client, clock } = this.options;
        const sentAt = clock.monotonic();
        const request = this.#pollRequest(wait);
        const token = this.#token;
        try {
            const answer = await client.poll(request, limit, this.#closed.signal);
            if (this.#closed.signal.aborted) {
                return true;
            }
            if (answer.kind === "refused") {
                return this.#handleRefusal(answer.refusal, token);
            }
            this.#lastHeardAt = clock.monotonic();
            this.#noteAnswerTime(clock.monotonic() - sentAt - wait);
            this.#handlePoll(answer.poll, sentAt, isWhole);
            return true;
        }
        catch (cause) {
            this.#endedRuns.noteLost();
            return this.#closed.signal.aborted ? true : { cause: String(cause) };
        }
    }

    /** An answer came; a look that found an end before its wait was over tells nothing of the time that answers take. */
    #noteAnswerTime(took: Milliseconds): void {
        if (took >= 0) {
            this.#answerTimes.recordResponse(took);
        }
    }

    #noteLost(): void {
        this.#answerTimes.recordTimeout();
        this.options.lossMonitor.noteLoss();
    }

    #pollRequest(wait: Milliseconds): PollRequest {
        // What has no answer may still arrive later, so a silent worker is given no lease either.
        const leaseUntil = this.#mayLease ? this.#lease.grant() : undefined;
        return {
            token: this.#token,
            forgetThrough: this.#endedRuns.takeForPoll(),
            ...(leaseUntil === undefined ? {} : { leaseUntil }),
            ...(wait > 0 ? { wait } : {}),
        };
    }

    #handlePoll(look: PollResult, sentAt: Milliseconds, isWhole: boolean): void {
        const { clock, send } = this.options;
        const now = clock.monotonic();
        const reading = { clock: look.clock, sentAt, receivedAt: now };
        if (this.#isOtherIncarnation(look, reading)) {
            this.#closeWithIncarnation(look);
            return;
        }
        this.#incarnation ??= look.life;
        this.#endedRuns.noteAnswer();
        const isFirst = !this.#lease.hasReading;
        this.#lease.noteReading(reading);
        const wasSilent = this.#isSilent;
        this.#isSilent = false;
        if (look.running.length + look.ended.length > 0) {
            this.#lastActiveAt = now;
        }
        const fresh = this.#endedRuns.takeUnreported(look.ended);
        const isDue = now - this.#lastProgressAt >= progressInterval;
        if (isFirst || wasSilent || isDue || isWhole) {
            this.#lastProgressAt = now;
            send({ kind: "looked", worker: this.worker, look: { ...look, ended: fresh }, age: now - sentAt });
        }
        else if (fresh.length > 0) {
            send({ kind: "ends", worker: this.worker, ended: fresh });
        }
        const starts = this.#queuedStarts;
        this.#queuedStarts = [];
        starts.forEach(start => void this.#start(start));
    }

    /** Whether another life answered than the one that the link is for. An answer without a name tells it by a clock that went back. */
    #isOtherIncarnation({ life }: PollResult, reading: ClockReading): boolean {
        const isNamed = life !== undefined && this.#incarnation !== undefined;
        return isNamed && life !== this.#incarnation || this.#lease.isOtherIncarnation(reading);
    }

    #closeWithIncarnation({ life, clock, running, ended }: PollResult): void {
        this.options.logger.log(logEvents.workerAnswersAnew, {
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

    #handleRefusal(refusal: OrderRefusal, token: FencingToken): boolean {
        if (refusal === OrderRefusal.WrongWorker) {
            this.options.send({ kind: "other-life", worker: this.worker });
            this.close();
            return true;
        }
        if (refusal === OrderRefusal.Fenced) {
            if (token === this.#token) {
                this.options.send({ kind: "fenced", worker: this.worker });
            }
            return false;
        }
        this.#reportSilence(refusal);
        return false;
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
        const isAllowed = this.#mayLease && this.options.mayForwardOrders?.() !== false;
        const leaseUntil = isAllowed ? this.#lease.grant() : undefined;
        if (leaseUntil === undefined) {
            send({ kind: "started", worker, task, run, refusal: "not-delivered" });
            return;
        }
        const sentAt = clock.monotonic();
        try {
            const order = { ...command, token, leaseUntil };
            const answer = await client.start(order, this.#answerTimes.timeout, this.#closed.signal);
            this.#noteAnswerTime(clock.monotonic() - sentAt);
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
                this.#endedRuns.noteLost();
                this.#lateOrdersUntil = clock.monotonic() + lateOrderWindow;
                this.#bestEffortOrders.logUnanswered(command, cause);
                this.#noteLost();
                this.#uncertainStarts.push(command);
                this.#resolveUncertainStarts();
            }
        }
    }

    /** Finds out what became of starts without an answer. */
    #resolveUncertainStarts(): void {
        this.#resolving ??= this.#resolveAll().finally(() => {
            this.#resolving = undefined;
            if (this.#uncertainStarts.length > 0 && !this.#closed.signal.aborted) {
                this.#resolveUncertainStarts();
            }
        });
    }

    async #resolveAll(): Promise<void> {
        const doubtful = this.#uncertainStarts;
        this.#uncertainStarts = [];
        this.#token = fencingToken(this.#token + 1);
        while (!this.#closed.signal.aborted) {
            if (this.options.mayPoll() && await this.#pollOnce(true)) {
                break;
            }
            await this.options.clock.sleep(retryDelay, this.#closed.signal);
        }
        if (this.#closed.signal.aborted) {
            return;
        }
        // The look was sent first on the same channel, so the owner has seen which of these run or ended.
        doubtful.forEach(({ worker, task, run }) =>
            this.options.send({ kind: "started", worker, task, run, refusal: "not-delivered" })
        );
    }

    async #untilAcknowledged(): Promise<void> {
        const waited = createAbortController();
        this.#onAcknowledged = () => waited.abort();
        await this.options.clock.sleep(acknowledgementTimeout, waited.signal);
        this.#onAcknowledged = undefined;
    }
}
