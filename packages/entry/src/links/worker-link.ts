/** Link between an entry VM and a worker. */
import {
    type Look,
    type LookRequest,
    OrderRefusal,
    type StartCommand,
    type TaskWorkerClient,
    type WorkerCommand,
} from "@pebbledale/cell";
import {
    AnswerTimes,
    type Clock,
    type FencingToken,
    fencingToken,
    logEvents,
    type Milliseconds,
    type WorkerId,
    type WorkerLife,
} from "@pebbledale/core";
import { createAbortController, type EventLogger } from "@pebbledale/runtime";
import type { AssignMessage, WorkerReport } from "../protocol/index.js";
import {
    acknowledgeWait,
    doubtfulRetryDelay,
    idleAfter,
    idleLookWait,
    lateOrderTime,
    leavingLease,
    longestAnswerTime,
    lookGap,
    lookLimit,
    lookWait,
    lookWaitInDoubt,
    progressInterval,
    retryDelay,
    shortestAnswerTime,
} from "./constants.js";
import { EndNumbers } from "./end-numbers.js";
import type { LossWatch } from "./loss-watch.js";
import { SideOrders } from "./side-orders.js";
import { type ClockReading, WorkerLease } from "./worker-lease.js";

/** Dependencies and parameters of a worker link. */
export interface WorkerLinkOptions {
    readonly assignment: AssignMessage;
    readonly client: TaskWorkerClient;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly leaseLength: Milliseconds;
    /** Whether the owner was heard recently enough to poll and grant leases on its behalf. */
    readonly mayRenew: () => boolean;
    /**
     * Whether orders may be forwarded for the owner, which must have been heard since any suspension of this process.
     */
    readonly mayOrder?: () => boolean;
    /** Shared by all links of this VM. */
    readonly losses: LossWatch;
    readonly send: (report: WorkerReport) => void;
}

/** Parameters of one poll. */
interface LookTerms {
    /** How long the worker waits for a run to end before it answers. */
    readonly wait: Milliseconds;
    /** Timeout of the poll. */
    readonly limit: Milliseconds;
    /** Whether the full result is sent to the owner. */
    readonly isWhole?: boolean;
}

/**
 * A link to one incarnation of a worker on behalf of one owner: forwards orders, and polls the worker in sequence,
 * which renews its lease. When another incarnation answers, the link reports it to the owner and closes, as numbers of
 * ended runs, the clock and leases belong to one incarnation.
 *
 * An unanswered start may still be carried out later. The link then raises its fencing token and polls the worker: the
 * result is final, as the worker refuses orders with a lower token.
 */
export class WorkerLink {
    readonly worker: WorkerId;
    readonly #ended = createAbortController();
    #token: FencingToken;
    readonly #lease: WorkerLease;
    readonly #ends: EndNumbers;
    readonly #sideOrders: SideOrders;
    #progressAt = -Infinity;
    #isSilent = false;
    /** When a poll last showed a run or a start was sent. */
    #activeAt: Milliseconds;
    /** The incarnation that the link is for; undefined until it is known, and where workers do not report any. */
    #life: WorkerLife | undefined;
    /** Time of the worker's last answer. */
    #heardAt: Milliseconds | undefined;
    /** Until then an unanswered order may still be carried out. */
    #doubtfulUntil: Milliseconds;
    /** False after a silence until the owner resumes the link, as it may have considered the leases expired. */
    #mayLease = true;
    #acknowledged: (() => void) | undefined;
    #waitingStarts: StartCommand[] = [];
    #settling: Promise<void> | undefined;
    /** Unanswered starts that are not being resolved yet. */
    #uncertain: StartCommand[] = [];
    readonly #answerTimes = new AnswerTimes({ shortest: shortestAnswerTime, longest: longestAnswerTime });

    constructor(private readonly options: WorkerLinkOptions) {
        this.worker = options.assignment.worker;
        this.#token = options.assignment.token;
        this.#life = options.assignment.life;
        this.#doubtfulUntil = options.clock.monotonic() + (options.assignment.doubtfulFor ?? 0);
        this.#activeAt = options.clock.monotonic();
        this.#ends = new EndNumbers(options.clock);
        this.#lease = new WorkerLease(options.clock, options.leaseLength);
        const { client, clock, logger } = options;
        this.#sideOrders = new SideOrders({
            client,
            clock,
            logger,
            signal: this.#ended.signal,
            token: () => this.#token,
            onStopLost: () => this.#progressAt = -Infinity,
        });
        void this.#run();
    }

    /** Closes the link; nothing more is sent. */
    end(): void {
        this.#ended.abort();
        this.#acknowledged?.();
    }

    /** Allows leases again after a silence of the worker. */
    resume(): void {
        this.#mayLease = true;
    }

    /** Shortens leases because the worker is leaving. */
    noteLeaving(): void {
        this.#lease.shorten(leavingLease);
    }

    /** Sends an order to the worker. A start is delayed until the worker's clock has been read. */
    order(command: WorkerCommand): void {
        if (command.kind === "stop") {
            void this.#sideOrders.stop(command);
        }
        else if (command.kind === "pace") {
            void this.#sideOrders.pace(command);
        }
        else if (!this.#lease.hasClock) {
            this.#waitingStarts.push(command);
        }
        else {
            void this.#start(command);
        }
    }

    /** Marks ended runs up to `through` as committed. */
    acknowledge(through: number): void {
        this.#ends.keep(through);
        this.#acknowledged?.();
    }

    async #run(): Promise<void> {
        const { pause = 0 } = this.options.assignment;
        if (pause > 0) {
            await this.options.clock.sleep(pause, this.#ended.signal);
        }
        while (!this.#ended.signal.aborted) {
            if (!this.options.mayRenew()) {
                await this.options.clock.sleep(retryDelay, this.#ended.signal);
                continue;
            }
            const startedAt = this.options.clock.monotonic();
            const isAnswered = await this.#lookForEnds();
            const gap = lookGap - (this.options.clock.monotonic() - startedAt);
            if (gap > 0) {
                await this.options.clock.sleep(gap, this.#ended.signal);
            }
            if (!isAnswered) {
                const delay = this.#isDoubtful ? doubtfulRetryDelay : retryDelay;
                await this.options.clock.sleep(delay, this.#ended.signal);
            }
            else if (this.#ends.areSomeUnkept) {
                await this.#untilAcknowledged();
            }
        }
    }

    /** Whether the worker has had no activity for a while, and no late order can cause any. */
    get #isIdle(): boolean {
        return !this.#isDoubtful && this.options.clock.monotonic() - this.#activeAt > idleAfter;
    }

    /** Whether an unanswered order may still be carried out. */
    get #isDoubtful(): boolean {
        return this.options.clock.monotonic() < this.#doubtfulUntil;
    }

    /**
     * Polls the worker, waiting for a run to end. If the answer is lost, the poll is repeated at once without a wait,
     * so that the worker is only considered silent if it does not answer that one either.
     */
    async #lookForEnds(): Promise<boolean> {
        if (!this.#isSilent && this.#lease.hasClock) {
            const usualWait = this.#isIdle ? idleLookWait : lookWait;
            const wait = this.options.losses.isRecent ? lookWaitInDoubt : usualWait;
            const isAnswered = await this.#tryLook({ wait, limit: wait + this.#answerTimes.limit });
            if (typeof isAnswered === "boolean") {
                return isAnswered;
            }
            this.#noteLost();
        }
        return this.#lookOnce();
    }

    /** Polls without a wait; resolves to false when there was no answer. */
    async #lookOnce(isWhole = false): Promise<boolean> {
        const limit = this.#isDoubtful && this.#isSilent ? this.#answerTimes.limit : lookLimit;
        const isAnswered = await this.#tryLook({ wait: 0, limit, isWhole });
        if (typeof isAnswered === "boolean") {
            return isAnswered;
        }
        this.#noteSilence(isAnswered.cause);
        return false;
    }

    /** Polls once; resolves to the cause when there was no answer. */
    async #tryLook({ wait, limit, isWhole = false }: LookTerms): Promise<boolean | { readonly cause: string; }> {
        const { client, clock } = this.options;
        const sentAt = clock.monotonic();
        const request = this.#lookRequest(wait);
        const token = this.#token;
        try {
            const answer = await client.look(request, limit, this.#ended.signal);
            if (this.#ended.signal.aborted) {
                return true;
            }
            if (answer.kind === "refused") {
                return this.#takeRefusal(answer.refusal, token);
            }
            this.#heardAt = clock.monotonic();
            this.#noteAnswerTime(clock.monotonic() - sentAt - wait);
            this.#takeLook(answer.look, sentAt, isWhole);
            return true;
        }
        catch (cause) {
            this.#ends.noteLost();
            return this.#ended.signal.aborted ? true : { cause: String(cause) };
        }
    }

    /** Records the time of an answer. A poll that ended before its wait was over says nothing about answer times. */
    #noteAnswerTime(took: Milliseconds): void {
        if (took >= 0) {
            this.#answerTimes.note(took);
        }
    }

    #noteLost(): void {
        this.#answerTimes.noteLost();
        this.options.losses.note();
    }

    #lookRequest(wait: Milliseconds): LookRequest {
        // A poll without an answer may arrive later, so one to a silent worker must not carry a lease either.
        const leaseUntil = this.#mayLease ? this.#lease.next() : undefined;
        return {
            token: this.#token,
            forgetThrough: this.#ends.takeForLook(),
            ...(leaseUntil === undefined ? {} : { leaseUntil }),
            ...(wait > 0 ? { wait } : {}),
        };
    }

    #takeLook(look: Look, sentAt: Milliseconds, isWhole: boolean): void {
        const { clock, send } = this.options;
        const now = clock.monotonic();
        const reading = { clock: look.clock, sentAt, receivedAt: now };
        if (this.#isOtherLife(look, reading)) {
            this.#endWithLife(look);
            return;
        }
        this.#life ??= look.life;
        this.#ends.noteAnswer();
        const isFirst = !this.#lease.hasClock;
        this.#lease.readClock(reading);
        const wasSilent = this.#isSilent;
        this.#isSilent = false;
        if (look.running.length + look.ended.length > 0) {
            this.#activeAt = now;
        }
        const fresh = this.#ends.report(look.ended);
        const isDue = now - this.#progressAt >= progressInterval;
        if (isFirst || wasSilent || isDue || isWhole) {
            this.#progressAt = now;
            send({ kind: "looked", worker: this.worker, look: { ...look, ended: fresh }, age: now - sentAt });
        }
        else if (fresh.length > 0) {
            send({ kind: "ends", worker: this.worker, ended: fresh });
        }
        const starts = this.#waitingStarts;
        this.#waitingStarts = [];
        starts.forEach(start => void this.#start(start));
    }

    /**
     * Whether another incarnation has answered: told by its name or, where workers do not report any, by a clock that
     * went back.
     */
    #isOtherLife({ life }: Look, reading: ClockReading): boolean {
        const isNamed = life !== undefined && this.#life !== undefined;
        return isNamed && life !== this.#life || this.#lease.isOfOtherLife(reading);
    }

    #endWithLife({ life, clock, running, ended }: Look): void {
        this.options.logger.log(logEvents.workerAnswersAnew, {
            worker: this.worker,
            former: this.#life,
            life,
            clock,
            running: running.length,
            ended: ended.length,
            forgottenThrough: this.#ends.keptThrough,
            lapsesIn: Math.round(this.#lease.lapsesIn()),
        });
        const doubtfulFor = Math.max(0, this.#doubtfulUntil - this.options.clock.monotonic());
        this.options.send({
            kind: "restarted",
            worker: this.worker,
            ...(life === undefined ? {} : { life }),
            ...(doubtfulFor > 0 ? { doubtfulFor } : {}),
        });
        this.end();
    }

    #takeRefusal(refusal: OrderRefusal, token: FencingToken): boolean {
        if (refusal === OrderRefusal.OtherLife) {
            this.options.send({ kind: "other-life", worker: this.worker });
            this.end();
            return true;
        }
        if (refusal === OrderRefusal.Fenced) {
            if (token === this.#token) {
                this.options.send({ kind: "fenced", worker: this.worker });
            }
            return false;
        }
        this.#noteSilence(refusal);
        return false;
    }

    #noteSilence(cause: string): void {
        if (this.#ended.signal.aborted) {
            return;
        }
        if (!this.#isSilent) {
            this.#isSilent = true;
            this.#mayLease = false;
            const heardAgo = this.#heardAt === undefined
                ? {}
                : { heardAgo: this.options.clock.monotonic() - this.#heardAt };
            this.options.send({
                kind: "silent",
                worker: this.worker,
                lapsesIn: this.#lease.lapsesIn(),
                cause,
                ...heardAgo,
            });
        }
    }

    async #start(command: StartCommand): Promise<void> {
        const { client, clock, send } = this.options;
        this.#activeAt = clock.monotonic();
        const { worker, task, run } = command;
        const token = this.#token;
        const isAllowed = this.#mayLease && this.options.mayOrder?.() !== false;
        const leaseUntil = isAllowed ? this.#lease.next() : undefined;
        if (leaseUntil === undefined) {
            send({ kind: "started", worker, task, run, refusal: "not-delivered" });
            return;
        }
        const sentAt = clock.monotonic();
        try {
            const order = { ...command, token, leaseUntil };
            const answer = await client.start(order, this.#answerTimes.limit, this.#ended.signal);
            this.#noteAnswerTime(clock.monotonic() - sentAt);
            if (answer.kind === "taken") {
                this.#heardAt = clock.monotonic();
                send({ kind: "started", worker, task, run });
                return;
            }
            if (answer.refusal === OrderRefusal.OtherLife) {
                this.#takeRefusal(answer.refusal, token);
                return;
            }
            if (answer.refusal === OrderRefusal.Fenced && token === this.#token) {
                send({ kind: "fenced", worker });
            }
            send({ kind: "started", worker, task, run, refusal: answer.refusal });
        }
        catch (cause) {
            if (!this.#ended.signal.aborted) {
                this.#ends.noteLost();
                this.#doubtfulUntil = clock.monotonic() + lateOrderTime;
                this.#sideOrders.noteUnanswered(command, cause);
                this.#noteLost();
                this.#uncertain.push(command);
                this.#settle();
            }
        }
    }

    /** Resolves unanswered starts by polls with a higher token. */
    #settle(): void {
        this.#settling ??= this.#settleAll().finally(() => {
            this.#settling = undefined;
            if (this.#uncertain.length > 0 && !this.#ended.signal.aborted) {
                this.#settle();
            }
        });
    }

    async #settleAll(): Promise<void> {
        const doubtful = this.#uncertain;
        this.#uncertain = [];
        this.#token = fencingToken(this.#token + 1);
        while (!this.#ended.signal.aborted) {
            if (this.options.mayRenew() && await this.#lookOnce(true)) {
                break;
            }
            await this.options.clock.sleep(retryDelay, this.#ended.signal);
        }
        if (this.#ended.signal.aborted) {
            return;
        }
        // The poll result was sent on the same channel before, so the owner knows which of these have run.
        doubtful.forEach(({ worker, task, run }) =>
            this.options.send({ kind: "started", worker, task, run, refusal: "not-delivered" })
        );
    }

    async #untilAcknowledged(): Promise<void> {
        const waited = createAbortController();
        this.#acknowledged = () => waited.abort();
        await this.options.clock.sleep(acknowledgeWait, waited.signal);
        this.#acknowledged = undefined;
    }
}
