/** Metrics of calls to workers. */
import type {
    OrderAnswer,
    PaceOrder,
    PollAnswer,
    PollRequest,
    StartOrder,
    StopOrder,
    TaskWorkerClient,
    TaskWorkerClients,
} from "@pebbledale/cell";
import type { Clock, Milliseconds, WorkerId } from "@pebbledale/core";
import type { EntryMetrics } from "./entry-metrics.js";

/** Makes worker clients whose calls are counted and timed. */
export class InstrumentedWorkerClients implements TaskWorkerClients {
    constructor(
        private readonly clients: TaskWorkerClients,
        private readonly metrics: EntryMetrics,
        private readonly clock: Clock,
    ) {}

    clientOf(worker: WorkerId, address: string): TaskWorkerClient {
        return new InstrumentedWorkerClient(this.clients.clientOf(worker, address), this.metrics, this.clock);
    }
}

class InstrumentedWorkerClient implements TaskWorkerClient {
    constructor(
        private readonly client: TaskWorkerClient,
        private readonly metrics: EntryMetrics,
        private readonly clock: Clock,
    ) {}

    poll(request: PollRequest, limit: Milliseconds, signal: AbortSignal): Promise<PollAnswer> {
        const call = request.wait === undefined ? "look" : "waiting-look";
        return this.#measure(call, this.client.poll(request, limit, signal));
    }

    start(order: StartOrder, limit: Milliseconds, signal: AbortSignal): Promise<OrderAnswer> {
        return this.#measure("start", this.client.start(order, limit, signal));
    }

    stop(order: StopOrder, limit: Milliseconds, signal: AbortSignal): Promise<OrderAnswer> {
        return this.#measure("stop", this.client.stop(order, limit, signal));
    }

    pace(order: PaceOrder, limit: Milliseconds, signal: AbortSignal): Promise<OrderAnswer> {
        return this.#measure("pace", this.client.pace(order, limit, signal));
    }

    close(): Promise<void> {
        return this.client.close();
    }

    async #measure<Answer extends PollAnswer | OrderAnswer>(call: string, answer: Promise<Answer>): Promise<Answer> {
        const startedAt = this.clock.monotonic();
        const record = (outcome: string) =>
            this.metrics.recordWorkerCall(call, outcome, this.clock.monotonic() - startedAt);
        try {
            const given = await answer;
            record(given.kind === "refused" ? given.refusal : given.kind);
            return given;
        }
        catch (cause) {
            record("unanswered");
            throw cause;
        }
    }
}
