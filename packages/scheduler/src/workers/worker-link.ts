/** Messages from the owner of a shard to one worker. */
import {
    type Attempt,
    type ListedWorker,
    logEvents,
    type StopMessage,
    type TaskId,
    type ThrottleMessage,
    type WorkerClient,
    WorkerRefusal,
} from "@pebbledale/core";
import { createAbortController, HttpWorkerClient, type LinkedSignal, linkSignals } from "@pebbledale/runtime";
import { workerRetryDelay } from "../ownership/constants.js";
import type { LinkedShard } from "../ownership/types.js";

/**
 * Claims a worker for the epoch of this owner, sends it heartbeats, and repeats starts and stops until they are
 * answered.
 *
 * If the worker refuses a message because it has seen a newer epoch, this process gives up the shard.
 */
export class WorkerLink {
    readonly #client: HttpWorkerClient;
    readonly #closed = createAbortController();
    readonly #linkedSignal: LinkedSignal;
    readonly #signal: AbortSignal;
    readonly #running: Promise<void>;
    #isReachable = true;

    constructor(private readonly shard: LinkedShard, private readonly listed: ListedWorker) {
        this.#client = new HttpWorkerClient(listed.address, shard.options.values["worker.timeout"]);
        this.#linkedSignal = linkSignals([this.#closed.signal, shard.options.lost.signal]);
        this.#signal = this.#linkedSignal.signal;
        this.#running = this.#run(this.#client);
    }

    /** Sends a start until the worker has answered or the attempt is no longer to be started. */
    start(task: TaskId, attempt: Attempt): void {
        void this.#start(this.#client, task, attempt);
    }

    /** Sends a stop until the worker has answered or the attempt is no longer current. */
    stop(message: StopMessage): void {
        void this.#stop(this.#client, message);
    }

    /** Limits a task to its grant. Not retried: the next report that shows excess use triggers another. */
    throttle(message: ThrottleMessage): void {
        void this.#client.throttle(message, this.#signal).catch(() => undefined);
    }

    /** Cancels all messages in flight and closes the connection. */
    async close(): Promise<void> {
        this.#closed.abort();
        this.#linkedSignal.release();
        await this.#running;
        await this.#client.close();
    }

    async #run(client: WorkerClient): Promise<void> {
        const { clock } = this.shard.options;
        let isClaimed = false;
        while (!this.#signal.aborted) {
            isClaimed = isClaimed ? await this.#heartbeat(client) : await this.#claim(client);
            if (!this.#isReachable) {
                await clock.sleep(workerRetryDelay, this.#signal);
            }
        }
    }

    async #claim(client: WorkerClient): Promise<boolean> {
        const { shard } = this;
        const { options } = shard;
        const sentAt = options.clock.monotonic();
        try {
            const message = { shard: options.shard, epoch: options.journal.epoch };
            const answer = await client.claim(message, this.#signal);
            this.#markReachable();
            if (answer.kind === "refused") {
                this.#handleRefusal(answer.refusal);
                return false;
            }
            options.logger.log(logEvents.workerClaimed, {
                worker: this.listed.worker,
                running: answer.value.running.length,
            });
            await this.#applyReport(() => shard.scheduler.claimAnswered(this.listed.worker, answer.value, sentAt));
            return true;
        }
        catch (cause) {
            this.#markUnreachable(cause);
            return false;
        }
    }

    /** Sends one heartbeat. Resolves to false when the worker has to be claimed again. */
    async #heartbeat(client: WorkerClient): Promise<boolean> {
        const { shard } = this;
        const { clock, sharedSettings, values } = shard.options;
        const path = { region: values["process.region"], site: values["process.site"] };
        const message = shard.scheduler.nextHeartbeat(
            this.listed.worker,
            sharedSettings.tree.number("worker.heartbeat", path),
        );
        if (message === undefined) {
            return false;
        }
        const sentAt = clock.monotonic();
        try {
            const answer = await client.heartbeat(message, this.#signal);
            this.#markReachable();
            if (answer.kind === "refused") {
                shard.scheduler.heartbeatFailed(this.listed.worker, message);
                this.#handleRefusal(answer.refusal);
                return answer.refusal !== WorkerRefusal.OldEpoch;
            }
            await this.#applyReport(() => shard.scheduler.heartbeatAnswered(this.listed.worker, answer.value, sentAt));
            return true;
        }
        catch (cause) {
            shard.scheduler.heartbeatFailed(this.listed.worker, message);
            this.#markUnreachable(cause);
            return true;
        }
    }

    /**
     * Applies a report without waiting for its records to be committed, so that the next heartbeat renews leases in
     * time.
     */
    async #applyReport(apply: () => ReturnType<LinkedShard["scheduler"]["tick"]>): Promise<void> {
        if (!this.#signal.aborted) {
            void this.shard.commit(apply());
            this.shard.requestCycle();
        }
    }

    async #start(client: WorkerClient, task: TaskId, attempt: Attempt): Promise<void> {
        const { scheduler, options } = this.shard;
        let mayHaveArrived = false;
        while (!this.#signal.aborted) {
            const message = scheduler.startMessage(task, attempt, mayHaveArrived);
            if (message === undefined) {
                if (!mayHaveArrived) {
                    await this.shard.commit(scheduler.startRefused(task, attempt, undefined));
                }
                return;
            }
            try {
                const answer = await client.start(message, this.#signal);
                if (answer.kind === "accepted") {
                    await this.shard.commit(scheduler.startAccepted(task, attempt, answer.value));
                    return;
                }
                this.#handleRefusal(answer.refusal);
                if (answer.refusal !== WorkerRefusal.OldEpoch) {
                    await this.shard.commit(scheduler.startRefused(task, attempt, answer.refusal));
                }
                return;
            }
            catch {
                mayHaveArrived = true;
                await options.clock.sleep(workerRetryDelay, this.#signal);
            }
        }
    }

    async #stop(client: WorkerClient, message: StopMessage): Promise<void> {
        const { scheduler, options } = this.shard;
        do {
            try {
                const answer = await client.stop(message, this.#signal);
                if (answer.kind === "refused") {
                    this.#handleRefusal(answer.refusal);
                }
                return;
            }
            catch {
                await options.clock.sleep(workerRetryDelay, this.#signal);
            }
        }
        while (!this.#signal.aborted && scheduler.isCurrent(message.task, message.attempt));
    }

    #handleRefusal(refusal: WorkerRefusal): void {
        const { logger } = this.shard.options;
        logger.log(logEvents.workerRefused, { worker: this.listed.worker, refusal });
        if (refusal === WorkerRefusal.OldEpoch) {
            this.shard.stepDown(`worker ${this.listed.worker} has seen a newer epoch`);
        }
    }

    #markReachable(): void {
        this.#isReachable = true;
    }

    #markUnreachable(cause: unknown): void {
        if (this.#isReachable && !this.#signal.aborted) {
            this.shard.options.logger.log(logEvents.workerUnreachable, {
                worker: this.listed.worker,
                cause: String(cause),
            });
        }
        this.#isReachable = false;
    }
}
