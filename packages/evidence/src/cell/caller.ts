/** A caller of a cell: sends to gateways in turn, as the platform's balancer does. */
import { Agent, request } from "undici";

/** An answer of a gateway. */
export interface CallerResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

/** One call. */
export interface CallerRequest {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly body?: string | Buffer;
    readonly headers?: Readonly<Record<string, string>>;
}

const maxConnections = 64;
const responseTimeout = 60_000;

/** See the module's comment. */
export class Caller {
    readonly #agent = new Agent({
        connections: maxConnections,
        headersTimeout: responseTimeout,
        bodyTimeout: responseTimeout,
    });
    #nextGateway = 0;

    constructor(private readonly gateways: () => readonly string[]) {}

    /** Sends one call to the next gateway. Rejects when the connection fails or the answer breaks off. */
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

    /** Submits a job; the parsed answer. */
    async submit(job: object): Promise<{ status: number; body: Record<string, unknown>; }> {
        const answer = await this.send({
            method: "POST",
            path: "/jobs",
            body: JSON.stringify(job),
            headers: { "content-type": "application/json" },
        });
        return { status: answer.status, body: JSON.parse(answer.text) as Record<string, unknown> };
    }

    /** Submits a job again and again until it is accepted or refused for good; its key makes that safe. */
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

    /** Waits for a job's end; the final view, or undefined when `deadline` came first. */
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
                // A gateway that is gone; the next one is asked.
            }
            await pause(50);
        }
        return undefined;
    }

    /** Ends all connections. */
    close(): Promise<void> {
        return this.#agent.destroy();
    }
}

/** The final view of a job, as a caller reads it. */
export interface FinalJobView {
    readonly job: string;
    readonly state: string;
    readonly ran: string;
    readonly reason: string;
    readonly outcomes: readonly { readonly output: string; readonly succeeded: boolean; }[];
}

/** Waits for a time, in milliseconds. */
export const pause = (duration: number): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

/** Waits until a condition holds; rejects after `limit` milliseconds with what was waited for. */
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
