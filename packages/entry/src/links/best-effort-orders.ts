/** Orders to stop and to pace runs. */
import type { PaceCommand, StopCommand, TaskWorkerClient, WorkerCommand } from "@pebbledale/cell";
import { type Clock, type FencingToken, logEvents } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { maxAnswerTimeout, maxPaceAttempts, retryDelay } from "./constants.js";

/** Dependencies of stop and pace orders. */
export interface BestEffortOrdersOptions {
    readonly client: TaskWorkerClient;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Aborted when the link is closed. */
    readonly signal: AbortSignal;
    /** The current fencing token of the link. */
    readonly token: () => FencingToken;
    /** Called when a stop order was not answered. */
    readonly onStopUnanswered: () => void;
}

/** Sends stop and pace orders, which can be repeated safely, so that the outcome of an unanswered one need not be determined. */
export class BestEffortOrders {
    constructor(private readonly options: BestEffortOrdersOptions) {}

    /** Sends a stop order once. The owner repeats it while polls show the run. */
    async stop(command: StopCommand): Promise<void> {
        const { client, signal, token, onStopUnanswered } = this.options;
        try {
            await client.stop({ task: command.task, run: command.run, token: token() }, maxAnswerTimeout, signal);
        }
        catch (cause) {
            this.logUnanswered(command, cause);
            onStopUnanswered();
        }
    }

    /** Sends a pace order, with retries, as the owner does not repeat the order to return to full pace. */
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

    /** Logs an unanswered order, unless the link is closed and its successor resolves the order. */
    logUnanswered({ kind, worker, task, run }: WorkerCommand, cause: unknown): void {
        const { logger, signal } = this.options;
        if (!signal.aborted) {
            logger.log(logEvents.orderUnanswered, { order: kind, worker, task, run, cause: String(cause) });
        }
    }
}
