/** Paths of live requests: `/services/NAME/...` goes to an instance of the service. */
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
import type { OwnerCalls } from "../owners/index.js";
import { sendError } from "./replies.js";

/** What the paths need. */
export interface ServiceRoutesOptions {
    readonly owners: OwnerCalls;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    readonly burn: BurnRecorder;
    readonly shards: number;
    readonly gateway: string;
    readonly dataHall: string;
    readonly path: TreePath;
    readonly tree: () => SettingsTree;
    readonly noteRevision: (revision: number) => void;
    /** Fires once all requests are answered. */
    readonly signal: AbortSignal;
}

/** Headers by which a caller says more of its request. */
const unrepeatableHeader = "pebbledale-unrepeatable";
const keyHeader = "pebbledale-key";
const deadlineHeader = "pebbledale-deadline-milliseconds";

const defaultDeadline: Milliseconds = 30_000;
const longestDeadline: Milliseconds = 3_600_000;
const acquireLimit: Milliseconds = 1_000;
const acquireAttemptLimit: Milliseconds = 300;
const onceLimit: Milliseconds = 3_000;
/** Sends of one request at the most. */
const mostSends = 4;
const statusServerError = 500;
const idPattern = /^[A-Za-z0-9._:-]{1,200}$/;

/** One request on its way. */
interface Passage {
    readonly request: LiveRequest;
    readonly service: string;
    readonly unrepeatable: boolean;
    readonly reply: FastifyReply;
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
}

/** What a passage came to. */
interface PassageEnd {
    readonly error?: ErrorName;
    readonly status?: number;
    readonly reason?: string;
    readonly retryAfter?: Milliseconds;
    readonly isWhole: boolean;
}

/** Serves live requests. */
export class ServiceRoutes {
    readonly forwarder = new Forwarder();
    readonly #brokers = new Map<string, SlotBroker>();
    readonly #budgets = new Map<string, RetryBudget>();
    readonly #waiting;
    readonly #ended;

    constructor(private readonly options: ServiceRoutesOptions) {
        this.#waiting = options.metrics.waiting("pebbledale_live_waiting_seconds", "Wait for a slot", ["service"]);
        this.#ended = options.metrics.counter("pebbledale_live_requests_total", "Live requests by their end", [
            "service",
            "end",
        ]);
    }

    /** Adds the paths to a server. */
    add(server: FastifyInstance): void {
        // A body is passed on byte for byte, whatever it says it is.
        server.removeAllContentTypeParsers();
        server.addContentTypeParser("*", { parseAs: "buffer" }, async (_request: unknown, body: Buffer) => body);
        server.all("/services/:service", (request, reply) => this.#serve(request, reply));
        server.all("/services/:service/*", (request, reply) => this.#serve(request, reply));
    }

    async #serve(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
        const { clock, burn, random } = this.options;
        const started = clock.monotonic();
        const findings = headerFindings(request);
        if (findings.length > 0) {
            return sendError(reply, "bad-request", { findings });
        }
        const id = headerOf(request, requestIdHeader) ?? random.name();
        void reply.header(requestIdHeader, id);
        const { service } = request.params as { service: string; };
        const gone = new AbortController();
        reply.raw.once("close", () => gone.abort());
        const passage: Passage = {
            request: liveRequestOf(request, id, service),
            service,
            unrepeatable: headerOf(request, unrepeatableHeader) === "true",
            reply,
            deadline: started + Number(headerOf(request, deadlineHeader) ?? defaultDeadline),
            signal: gone.signal,
        };
        const end = passage.unrepeatable
            ? await this.#passOnce(passage, headerOf(request, keyHeader) ?? id)
            : await this.#pass(passage);
        this.#ended.inc({ service, end: end.error ?? (end.isWhole ? "answered" : "cut") });
        const { tree, path } = this.options;
        const isInTime =
            clock.monotonic() - started <= tree().number("objective.waiting", { ...path, workloadClass: "live" });
        const isGood = end.isWhole && (end.status ?? statusServerError) < statusServerError && isInTime;
        burn.record(service, isGood);
        if (end.error !== undefined) {
            return sendError(reply, end.error, { reason: end.reason, retryAfterMilliseconds: end.retryAfter });
        }
        return reply;
    }

    /** An unrepeatable request is recorded before it is sent, and sent once. */
    async #passOnce(passage: Passage, key: string): Promise<PassageEnd> {
        const { owners, random, shards } = this.options;
        const { method, path, body } = passage.request;
        const digest = digestOf({ method, path, body: body?.toString("base64") });
        const message = { shard: shardOfText(key, shards), key, digest, nonce: random.name() };
        const answer = await owners.call(
            message.shard,
            onceLimit,
            (calls, signal) => calls.beginOnce.mutate(message, { signal }),
        );
        if (answer.kind === "not-recorded") {
            return { error: "not-recorded", retryAfter: answer.retryAfter, isWhole: false };
        }
        if (answer.earlier !== undefined) {
            const { status } = answer.earlier;
            const reason = status === undefined ? "its answer is not known" : `it was answered with status ${status}`;
            return { error: "already-sent", reason, isWhole: false };
        }
        const end = await this.#pass(passage);
        if (end.status !== undefined || isSurelyNotRun(end)) {
            const ended = { ...message, status: end.status };
            void owners.call(message.shard, onceLimit, (calls, signal) => calls.endOnce.mutate(ended, { signal }))
                .catch(() => undefined);
        }
        return end;
    }

    async #pass(passage: Passage): Promise<PassageEnd> {
        const { clock, logger } = this.options;
        const budget = this.#budgetOf(passage.service);
        budget.noteFirst(this.#tree("live.retry_share"));
        let last: PassageEnd = { error: "instance-unreachable", isWhole: false };
        for (let sends = 0; sends < mostSends; sends++) {
            const asked = clock.monotonic();
            const outcome = await this.#brokerOf(passage.service).take();
            this.#waiting.observe({ service: passage.service }, (clock.monotonic() - asked) / 1000);
            if (outcome.kind !== "slot") {
                return refusalOf(outcome);
            }
            const end = await this.#sendOnce(passage, outcome.slot);
            if (end.mayRepeat !== true) {
                return end;
            }
            last = end;
            if (!budget.takeRetry()) {
                break;
            }
            logger.log(logEvents.requestRetried, { request: passage.request.id, reason: end.reason });
        }
        return last;
    }

    async #sendOnce(passage: Passage, slot: Slot): Promise<PassageEnd & { mayRepeat?: boolean; }> {
        const { clock, logger } = this.options;
        const { request, reply } = passage;
        const sent = clock.monotonic();
        const timeout = Math.max(1, Math.ceil(passage.deadline - sent));
        const outcome = await this.forwarder.send(request, slot.address, reply.raw, timeout, passage.signal);
        const failed = outcome.kind !== "answered" && !passage.signal.aborted;
        this.#brokerOf(passage.service).release(slot, clock.monotonic() - sent, failed);
        if (failed) {
            logger.log(logEvents.requestFailed, { request: request.id, worker: slot.worker, ...outcome });
        }
        switch (outcome.kind) {
            case "answered":
                reply.hijack();
                return { status: outcome.status, isWhole: true };
            case "cut":
                reply.hijack();
                return { isWhole: false };
            case "not-run":
                return {
                    error: "instance-unreachable",
                    reason: outcome.cause,
                    retryAfter: unreachableRetryAfter,
                    isWhole: false,
                    mayRepeat: true,
                };
            case "may-have-run":
                return {
                    error: "instance-failed",
                    reason: outcome.cause,
                    isWhole: false,
                    mayRepeat: !passage.unrepeatable && !passage.signal.aborted,
                };
        }
    }

    #tree(key: "live.retry_share" | "live.wait_limit"): number {
        const { tree, path } = this.options;
        return tree().number(key, { ...path, workloadClass: "live" });
    }

    #budgetOf(service: string): RetryBudget {
        const budget = this.#budgets.get(service) ?? new RetryBudget();
        this.#budgets.set(service, budget);
        return budget;
    }

    #brokerOf(service: string): SlotBroker {
        const known = this.#brokers.get(service);
        if (known !== undefined) {
            return known;
        }
        const { clock, signal, gateway, dataHall, owners, shards, noteRevision } = this.options;
        const shard = shardOfText(service, shards);
        const broker = new SlotBroker({
            clock,
            signal,
            gateway: processId(gateway),
            dataHall,
            waitLimit: () => this.#tree("live.wait_limit"),
            ask: async request => {
                const message = { shard, service, request };
                const answer = await owners.call(
                    shard,
                    acquireLimit,
                    (calls, limit) => calls.acquire.mutate(message, { signal: limit }),
                    acquireAttemptLimit,
                );
                if (answer.kind === "no-service") {
                    return undefined;
                }
                noteRevision(answer.revision);
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

/** Errors that are only given when no send can have been run. */
const notRunErrors: readonly (ErrorName | undefined)[] = [
    "overloaded",
    "no-owner",
    "no-such-service",
    "instance-unreachable",
];

const isSurelyNotRun = (end: PassageEnd): boolean => notRunErrors.includes(end.error);

const unreachableRetryAfter: Milliseconds = 1_000;

const refusalOf = (outcome: Exclude<Awaited<ReturnType<SlotBroker["take"]>>, { kind: "slot"; }>): PassageEnd => {
    switch (outcome.kind) {
        case "overloaded":
            return { error: "overloaded", retryAfter: outcome.retryAfter, isWhole: false };
        case "no-owner":
            return { error: "no-owner", retryAfter: outcome.retryAfter, isWhole: false };
        case "no-service":
            return { error: "no-such-service", isWhole: false };
    }
};

const headerOf = (request: FastifyRequest, name: string): string | undefined => {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
};

const headerFindings = (request: FastifyRequest): { place: string; message: string; }[] => {
    const findings: { place: string; message: string; }[] = [];
    const check = (name: string, isRight: (value: string) => boolean, message: string) => {
        const value = headerOf(request, name);
        if (value !== undefined && !isRight(value)) {
            findings.push({ place: `header ${name}`, message });
        }
    };
    const isDeadline = (value: string) =>
        Number.isInteger(Number(value)) && Number(value) > 0 && Number(value) <= longestDeadline;
    check(requestIdHeader, value => idPattern.test(value), "must be 1 to 200 letters, digits, dots, colons, hyphens");
    check(keyHeader, value => idPattern.test(value), "must be 1 to 200 letters, digits, dots, colons, hyphens");
    check(unrepeatableHeader, value => value === "true" || value === "false", "must be true or false");
    check(deadlineHeader, isDeadline, `must be a whole number of milliseconds from 1 to ${longestDeadline}`);
    return findings;
};

const liveRequestOf = (request: FastifyRequest, id: string, service: string): LiveRequest => {
    const rest = request.raw.url!.slice(`/services/${encodeURIComponent(service)}`.length);
    const path = rest.startsWith("/") ? rest : `/${rest}`;
    const body = Buffer.isBuffer(request.body) ? request.body : undefined;
    return { id, method: request.method, path, headers: request.headers, body };
};
