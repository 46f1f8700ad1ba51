/** HTTP client of a test cell. */
import { Agent, request } from "undici";

/** A gateway's response. */
export interface CallerResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

/** A request to a gateway. */
export interface CallerRequest {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly body?: string | Buffer;
    readonly headers?: Readonly<Record<string, string>>;
}

const maxConnections = 64;
const responseTimeout = 60_000;

/** Sends requests to the gateways round-robin, as the platform's load balancer does. */
export class Caller {
    readonly #agent = new Agent({
        connections: maxConnections,
        headersTimeout: responseTimeout,
        bodyTimeout: responseTimeout,
    });
    #nextGateway = 0;

    constructor(private readonly gateways: () => readonly string[]) {}

    /** Sends a request to the next gateway. Rejects when the connection fails or the response is truncated. */
    async send(call: CallerRequest): Promise<CallerResponse> {
        const addresses = this.gateways();
        const address = addresses[this.#nextGateway++ % addresses.length];
        const answer = await request(`http://${address}${call.path}`, {
            method: call.method,
            headers: call.headers,
            body: call.body,
            dispatcher: this.#agent,
        });
        return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
    }

    /** Submits a job; resolves to the status and the parsed body. */
    async submit(job: object): Promise<{ status: number; body: Record<string, unknown>; }> {
        const answer = await this.send({
            method: "POST",
            path: "/jobs",
            body: JSON.stringify(job),
            headers: { "content-type": "application/json" },
        });
        return { status: answer.status, body: JSON.parse(answer.text) as Record<string, unknown> };
    }

    /**
     * Submits a job, retrying on 429, 503 and connection errors until it is accepted or refused or `deadline` has passed. The
     * job's key prevents duplicates.
     */
    async submitUntilSettled(
        job: { key: string; },
        deadline: number,
    ): Promise<{ status: number; body: Record<string, unknown>; }> {
        while (true) {
            const answer = await this.submit(job).catch(() => ({ status: 503, body: {} }));
            const mayRetry = answer.status === 503 || answer.status === 429;
            if (!mayRetry || performance.now() > deadline) {
                return answer;
            }
            await pause(100);
        }
    }

    /** Waits for a job to end; resolves to its final view, or to undefined when `deadline` has passed. */
    async waitForEnd(job: string, deadline: number): Promise<FinalJobView | undefined> {
        while (performance.now() < deadline) {
            try {
                const answer = await this.send({ method: "GET", path: `/jobs/${job}/wait?milliseconds=2000` });
                const view = JSON.parse(answer.text) as FinalJobView;
                if (answer.status === 200 && !["queued", "running", "cancelling"].includes(view.state)) {
                    return view;
                }
            }
            catch {
                // The gateway is unavailable; the next request goes to another one.
            }
            await pause(50);
        }
        return undefined;
    }

    close(): Promise<void> {
        return this.#agent.destroy();
    }
}

/** Final view of a job in the caller API. */
export interface FinalJobView {
    readonly job: string;
    readonly state: string;
    readonly ran: string;
    readonly reason: string;
    readonly outcomes: readonly { readonly output: string; readonly succeeded: boolean; }[];
}

/** Waits for a duration in milliseconds. */
export const pause = (duration: number): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

/**
 * Polls a condition until it holds; rejects after `timeout` milliseconds with an error that contains the description.
 */
export const waitUntil = async (
    description: string,
    timeout: number,
    condition: () => Promise<boolean> | boolean,
): Promise<void> => {
    const deadline = performance.now() + timeout;
    while (!await condition()) {
        if (performance.now() > deadline) {
            throw new Error(`waited ${timeout} ms in vain: ${description}`);
        }
        await pause(20);
    }
};
