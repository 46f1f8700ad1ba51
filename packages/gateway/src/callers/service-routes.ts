/** Routes that forward live requests. */
import {
    type Clock,
    type ErrorName,
    logEvents,
    type Milliseconds,
    processId,
    type Random,
    type SettingsTree,
    type TreePath,
} from "@pebbledale/core";
import { type BurnRecorder, digestOf, type EventLogger, type Metrics, shardOfText } from "@pebbledale/runtime";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { Forwarder, type LiveRequest, requestIdHeader, RetryBudget, type Slot, SlotBroker } from "../live/index.js";
import type { OwnerClient } from "../owners/index.js";
import { sendError } from "./send-error.js";

/** Dependencies of the service routes. */
export interface ServiceRoutesOptions {
    readonly owners: OwnerClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    readonly burnRecorder: BurnRecorder;
    readonly shardCount: number;
    readonly gateway: string;
    readonly dataHall: string;
    readonly settingsPath: TreePath;
    readonly settingsTree: () => SettingsTree;
    readonly onSettingsRevision: (revision: number) => void;
    /**
     * Ends the renewal of slots. Fires once all requests are answered, or at the latest after `process.stop_within`.
     */
    readonly signal: AbortSignal;
}

/** Headers by which a caller marks a request as unrepeatable, identifies it and limits its duration. */
const unrepeatableHeader = "pebbledale-unrepeatable";
const keyHeader = "pebbledale-key";
const deadlineHeader = "pebbledale-deadline-milliseconds";

const defaultDeadline: Milliseconds = 30_000;
const maxDeadline: Milliseconds = 3_600_000;
const acquireTimeout: Milliseconds = 1_000;
const acquireAttemptTimeout: Milliseconds = 300;
const recordTimeout: Milliseconds = 3_000;
/** Maximum number of sends of one request. */
const maxAttempts = 4;
const statusServerError = 500;
const idPattern = /^[A-Za-z0-9._:-]{1,200}$/;

/** A request that is being forwarded. */
interface RequestContext {
    readonly request: LiveRequest;
    readonly service: string;
    readonly unrepeatable: boolean;
    readonly reply: FastifyReply;
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
}

/** Result of forwarding a request. Without `error` the response, complete or not, has gone to the caller. */
export interface RequestOutcome {
    readonly error?: ErrorName;
    readonly status?: number;
    readonly reason?: string;
    readonly retryAfter?: Milliseconds;
    readonly isComplete: boolean;
}

/**
 * Forwards `/services/NAME/...` to an instance of the service.
 *
 * Each send needs a slot of the service. Failed sends are repeated within a retry budget, unless the request is
 * unrepeatable and may have run.
 */
export class ServiceRoutes {
    readonly forwarder = new Forwarder();
    readonly #brokers = new Map<string, SlotBroker>();
    readonly #budgets = new Map<string, RetryBudget>();
    readonly #slotWaits;
    readonly #requestCounter;

    constructor(private readonly options: ServiceRoutesOptions) {
        this.#slotWaits = options.metrics.durationHistogram("pebbledale_live_waiting_seconds", "Wait for a slot", [
            "service",
        ]);
        this.#requestCounter = options.metrics.counter("pebbledale_live_requests_total", "Live requests by their end", [
            "service",
            "end",
        ]);
    }

    addTo(server: FastifyInstance): void {
        // Bodies are forwarded byte for byte, whatever their content type.
        server.removeAllContentTypeParsers();
        server.addContentTypeParser("*", { parseAs: "buffer" }, async (_request: unknown, body: Buffer) => body);
        server.all("/services/:service", (request, reply) => this.#serve(request, reply));
        server.all("/services/:service/*", (request, reply) => this.#serve(request, reply));
    }

    async #serve(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
        const { clock, burnRecorder, random } = this.options;
        const startedAt = clock.monotonic();
        const findings = validateHeaders(request);
        if (findings.length > 0) {
            return sendError(reply, "bad-request", { findings });
        }
        const id = headerOf(request, requestIdHeader) ?? random.name();
        void reply.header(requestIdHeader, id);
        const { service } = request.params as { service: string; };
        const disconnected = new AbortController();
        reply.raw.once("close", () => disconnected.abort());
        const context: RequestContext = {
            request: toLiveRequest(request, id, service),
            service,
            unrepeatable: headerOf(request, unrepeatableHeader) === "true",
            reply,
            deadline: startedAt + Number(headerOf(request, deadlineHeader) ?? defaultDeadline),
            signal: disconnected.signal,
        };
        const result = context.unrepeatable
            ? await this.#forwardUnrepeatable(context, headerOf(request, keyHeader) ?? id)
            : await this.#forward(context);
        this.#requestCounter.inc({ service, end: result.error ?? (result.isComplete ? "answered" : "cut") });
        const { settingsTree, settingsPath } = this.options;
        const isInTime = clock.monotonic() - startedAt
            <= settingsTree().number("objective.waiting", { ...settingsPath, workloadClass: "live" });
        const isGood = result.isComplete && (result.status ?? statusServerError) < statusServerError && isInTime;
        burnRecorder.record(service, isGood);
        if (result.error !== undefined) {
            return sendError(reply, result.error, { reason: result.reason, retryAfterMilliseconds: result.retryAfter });
        }
        return reply;
    }

    /**
     * Records the request at the shard's owner before forwarding it, so that a second request of the same key is
     * refused.
     */
    async #forwardUnrepeatable(context: RequestContext, key: string): Promise<RequestOutcome> {
        const { owners, random, shardCount } = this.options;
        const { method, path, body } = context.request;
        const digest = digestOf({ method, path, body: body?.toString("base64") });
        const message = { shard: shardOfText(key, shardCount), key, digest, nonce: random.name() };
        const answer = await owners.call(
            message.shard,
            recordTimeout,
            (calls, signal) => calls.beginOnce.mutate(message, { signal }),
        );
        if (answer.kind === "not-recorded") {
            return { error: "not-recorded", retryAfter: answer.retryAfter, isComplete: false };
        }
        if (answer.earlier !== undefined) {
            const { status } = answer.earlier;
            const reason = status === undefined ? "its answer is not known" : `it was answered with status ${status}`;
            return { error: "already-sent", reason, isComplete: false };
        }
        const result = await this.#forward(context);
        if (result.status !== undefined || isKnownNotRun(result)) {
            const ending = { ...message, status: result.status };
            void owners.call(message.shard, recordTimeout, (calls, signal) => calls.endOnce.mutate(ending, { signal }))
                .catch(() => undefined);
        }
        return result;
    }

    async #forward(context: RequestContext): Promise<RequestOutcome> {
        const { clock, logger } = this.options;
        const budget = this.#budgetOf(context.service);
        budget.recordFirstAttempt(this.#setting("live.retry_share"));
        let lastResult: RequestOutcome = { error: "instance-unreachable", isComplete: false };
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            const waitStartedAt = clock.monotonic();
            const outcome = await this.#brokerOf(context.service).acquire();
            this.#slotWaits.observe({ service: context.service }, (clock.monotonic() - waitStartedAt) / 1000);
            if (outcome.kind !== "slot") {
                return mostCertain(lastResult, toRequestOutcome(outcome));
            }
            const result = await this.#attempt(context, outcome.slot);
            if (result.isRetryable !== true) {
                return result;
            }
            lastResult = mostCertain(lastResult, result);
            if (!budget.tryConsume()) {
                break;
            }
            logger.log(logEvents.requestRetried, { request: context.request.id, reason: result.reason });
        }
        return lastResult;
    }

    async #attempt(context: RequestContext, slot: Slot): Promise<RequestOutcome & { isRetryable?: boolean; }> {
        const { clock, logger } = this.options;
        const { request, reply } = context;
        const sentAt = clock.monotonic();
        const timeout = Math.max(1, Math.ceil(context.deadline - sentAt));
        const outcome = await this.forwarder.send(request, slot.address, reply.raw, timeout, context.signal);
        const failed = outcome.kind !== "answered" && !context.signal.aborted;
        this.#brokerOf(context.service).release(slot, clock.monotonic() - sentAt, failed);
        if (failed) {
            logger.log(logEvents.requestFailed, { request: request.id, worker: slot.worker, ...outcome });
        }
        switch (outcome.kind) {
            case "answered":
                reply.hijack();
                return { status: outcome.status, isComplete: true };
            case "cut":
                reply.hijack();
                return { isComplete: false };
            case "not-run":
                return {
                    error: "instance-unreachable",
                    reason: outcome.cause,
                    retryAfter: unreachableRetryAfter,
                    isComplete: false,
                    isRetryable: true,
                };
            case "may-have-run":
                return {
                    error: "instance-failed",
                    reason: outcome.cause,
                    isComplete: false,
                    isRetryable: !context.unrepeatable && !context.signal.aborted,
                };
        }
    }

    #setting(key: "live.retry_share" | "live.wait_limit"): number {
        const { settingsTree, settingsPath } = this.options;
        return settingsTree().number(key, { ...settingsPath, workloadClass: "live" });
    }

    #budgetOf(service: string): RetryBudget {
        const budget = this.#budgets.get(service) ?? new RetryBudget();
        this.#budgets.set(service, budget);
        return budget;
    }

    #brokerOf(service: string): SlotBroker {
        const existing = this.#brokers.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const { clock, signal, gateway, dataHall, owners, shardCount, onSettingsRevision } = this.options;
        const shard = shardOfText(service, shardCount);
        const broker = new SlotBroker({
            clock,
            signal,
            gateway: processId(gateway),
            dataHall,
            waitLimit: () => this.#setting("live.wait_limit"),
            requestSlots: async request => {
                const message = { shard, service, request };
                const answer = await owners.call(
                    shard,
                    acquireTimeout,
                    (calls, callSignal) => calls.acquire.mutate(message, { signal: callSignal }),
                    acquireAttemptTimeout,
                );
                if (answer.kind === "no-service") {
                    return undefined;
                }
                onSettingsRevision(answer.revision);
                return answer;
            },
        });
        this.#brokers.set(service, broker);
        void broker.run().then(() => {
            this.#brokers.delete(service);
            this.#budgets.delete(service);
        });
        return broker;
    }
}

/** Errors after which an unrepeatable request has certainly not been run. */
const errorsWithoutEffect: readonly (ErrorName | undefined)[] = [
    "overloaded",
    "no-owner",
    "no-such-service",
    "instance-unreachable",
];

const isKnownNotRun = (result: RequestOutcome): boolean => errorsWithoutEffect.includes(result.error);

/** The outcome of several sends of a request: once one of them may have run, no later one says that the request was not run. */
export const mostCertain = (earlier: RequestOutcome, later: RequestOutcome): RequestOutcome =>
    earlier.error !== undefined && !isKnownNotRun(earlier) && isKnownNotRun(later) ? earlier : later;

const unreachableRetryAfter: Milliseconds = 1_000;

const toRequestOutcome = (
    outcome: Exclude<Awaited<ReturnType<SlotBroker["acquire"]>>, { kind: "slot"; }>,
): RequestOutcome => {
    switch (outcome.kind) {
        case "overloaded":
            return { error: "overloaded", retryAfter: outcome.retryAfter, isComplete: false };
        case "no-owner":
            return { error: "no-owner", retryAfter: outcome.retryAfter, isComplete: false };
        case "no-service":
            return { error: "no-such-service", isComplete: false };
    }
};

const headerOf = (request: FastifyRequest, name: string): string | undefined => {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
};

const validateHeaders = (request: FastifyRequest): { place: string; message: string; }[] => {
    const findings: { place: string; message: string; }[] = [];
    const check = (name: string, isValid: (value: string) => boolean, message: string) => {
        const value = headerOf(request, name);
        if (value !== undefined && !isValid(value)) {
            findings.push({ place: `header ${name}`, message });
        }
    };
    const isDeadline = (value: string) =>
        Number.isInteger(Number(value)) && Number(value) > 0 && Number(value) <= maxDeadline;
    check(requestIdHeader, value => idPattern.test(value), "must be 1 to 200 letters, digits, dots, colons, hyphens");
    check(keyHeader, value => idPattern.test(value), "must be 1 to 200 letters, digits, dots, colons, hyphens");
    check(unrepeatableHeader, value => value === "true" || value === "false", "must be true or false");
    check(deadlineHeader, isDeadline, `must be a whole number of milliseconds from 1 to ${maxDeadline}`);
    return findings;
};

const toLiveRequest = (request: FastifyRequest, id: string, service: string): LiveRequest => {
    const rest = request.raw.url!.slice(`/services/${encodeURIComponent(service)}`.length);
    const path = rest.startsWith("/") ? rest : `/${rest}`;
    const body = Buffer.isBuffer(request.body) ? request.body : undefined;
    return { id, method: request.method, path, headers: request.headers, body };
};
