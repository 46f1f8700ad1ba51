/** Stops and paces: orders whose loss costs no more than that they are given again. */
import type { PaceCommand, StopCommand, TaskWorkerClient, WorkerCommand } from "@pebbledale/cell";
import { type Clock, type FencingToken, logEvents } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { maxAnswerTimeout, maxPaceAttempts, retryDelay } from "./constants.js";

/** What these orders need. */
export interface BestEffortOrdersOptions {
    readonly client: TaskWorkerClient;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Fires when the link ends. */
    readonly signal: AbortSignal;
    /** The link's token at the moment. */
    readonly token: () => FencingToken;
    /** Told of a stop without an answer. */
    readonly onStopUnanswered: () => void;
}

/** See the module's comment. */
export class BestEffortOrders {
    constructor(private readonly options: BestEffortOrdersOptions) {}

    /** Passes an order to stop on. One that is lost is given again as long as a look shows the run. */
    async stop(command: StopCommand): Promise<void> {
        const { client, signal, token, onStopUnanswered: onStopLost } = this.options;
        try {
            await client.stop({ task: command.task, run: command.run, token: token() }, maxAnswerTimeout, signal);
        }
        catch (cause) {
            this.logUnanswered(command, cause);
            onStopLost();
        }
    }

    /** Passes a pace on. It is given again, a few times: the full pace is not told a second time. */
    async pace(command: PaceCommand): Promise<void> {
        const { client, clock, signal, token } = this.options;
        const { task, run, percent } = command;
        for (let attempt = 0; attempt < maxPaceAttempts && !signal.aborted; attempt++) {
            try {
                await client.pace({ task, run, percent, token: token() }, maxAnswerTimeout, signal);
                return;
            }
            catch (cause) {
                this.logUnanswered(command, cause);
                await clock.sleep(retryDelay, signal);
            }
        }
    }

    /** An order had no answer; one that was given up with the link is settled by the next link. */
    logUnanswered({ kind, worker, task, run }: WorkerCommand, cause: unknown): void {
        const { logger, signal } = this.options;
        if (!signal.aborted) {
            logger.log(logEvents.orderUnanswered, { order: kind, worker, task, run, cause: String(cause) });
        }
    }
}
