/**
 * Deals the questions to the advice service out over the VMs.
 *
 * The service answers one call at a time for each VM that asks, so a quick question must not wait behind a slow one:
 * some VMs never get slow ones while there are others. A slow question that names many workers is put in parts to VMs that
 * are free, so that its answers come in little more than the time of one call and all of its tickets hold at one moment.
 */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { type AdvicePolicy, callDuration, maxAdviceWorkers } from "../advice/index.js";
import type { AdviceRequest } from "../state/index.js";

/** Questions that take longer than this are slow ones: half of what an urgent job can lose without being late. */
const slowQuestionTime: Milliseconds = 150;
/**
 * VMs that get no slow questions: so many, and this share of all. Some of them are to be free at any moment.
 */
const minQuickVms = 2;
const quickVmShare = 0.06;
/** A question waits behind one that is this much younger for each step that the other is more urgent. */
const urgencyOffset: Milliseconds = 300;
/** Most quick questions of one VM that are on their way at once. */
const maxInFlight = 8;

/**
 * A part of a slow question names at least so many workers that naming them takes this share of what the call takes
 * whatever it names: smaller parts keep more VMs busy and are hardly answered sooner.
 */
const minNamingShare = 1 / 3;
/** Share of the free VMs that one question is put to at once: others come within the same turn. */
const freeVmShare = 1 / 2;

/** Whose questions are dealt out. */
export interface AdviceRequester {
    /** Whether the answer to a question about a step is still of use. */
    isAdviceWanted(step: string): boolean;
    /** The question about a step and workers is not asked: its answer would be of no use. */
    dropAdvice(step: string, workers: readonly WorkerId[]): void;
}

/** One VM that can ask. */
interface AskingVm {
    readonly name: string;
    readonly ask: (question: number, command: AdviceRequest, duration: Milliseconds) => void;
    readonly inFlight: Set<number>;
    /** When the service will have answered all of this VM's questions. */
    busyUntil: Milliseconds;
}

/** A question, or what is left of one, that waits to be dealt out. */
interface WaitingQuestion {
    readonly command: AdviceRequest;
    /** Questions are dealt in this order: when it was asked, put off by how little urgent it is. */
    readonly sortTime: Milliseconds;
}

/** A question, or a part of one, that a VM has. */
interface InFlightQuestion extends WaitingQuestion {
    readonly number: number;
    readonly vm: AskingVm;
}

/** See the module's comment. */
export class AdviceDispatcher {
    readonly #vms = new Map<string, AskingVm>();
    readonly #inFlight = new Map<number, InFlightQuestion>();
    #waiting: WaitingQuestion[] = [];
    #nextNumber = 1;

    constructor(private readonly now: () => Milliseconds, private readonly requester: AdviceRequester) {}

    /** A VM can ask from now on. */
    join(name: string, ask: AskingVm["ask"]): void {
        this.#vms.set(name, { name, ask, inFlight: new Set(), busyUntil: 0 });
        this.#dispatchWaiting();
    }

    /** A VM is gone; its questions are dealt out again. */
    leave(name: string): void {
        const asker = this.#vms.get(name);
        this.#vms.delete(name);
        for (const number of asker?.inFlight ?? []) {
            const question = this.#inFlight.get(number);
            if (question !== undefined) {
                this.#inFlight.delete(number);
                this.#waiting.unshift(question);
            }
        }
        this.#dispatchWaiting();
    }

    /** Asks, now or once VMs are free for it. */
    ask(...commands: readonly AdviceRequest[]): void {
        const now = this.now();
        commands.forEach(command => this.#waiting.push({ command, sortTime: now + command.urgency * urgencyOffset }));
        this.#dispatchWaiting();
    }

    /** A question was answered, or failed; resolves to what was asked. */
    complete(number: number): AdviceRequest | undefined {
        const question = this.#inFlight.get(number);
        this.#inFlight.delete(number);
        if (question !== undefined) {
            this.#release(question);
        }
        this.#dispatchWaiting();
        return question?.command;
    }

    #release({ vm: asker, number }: InFlightQuestion): void {
        asker.inFlight.delete(number);
        if (asker.inFlight.size === 0) {
            asker.busyUntil = 0;
        }
    }

    /**
     * Goes through what waits as far as VMs are free. Hundreds of questions wait after a change of owner, and each answer
     * leads here: while all of them were looked at each time, a new owner took in 35 answers in 0.3 s and did little else.
     */
    #dispatchWaiting(): void {
        this.#waiting.sort((left, right) => left.sortTime - right.sortTime);
        const hasFree = { slow: this.#vmsFreeFor(true).length > 0, quick: this.#vmsFreeFor(false).length > 0 };
        const left: WaitingQuestion[] = [];
        for (const question of this.#waiting) {
            const kind = isSlow(question.command) ? "slow" : "quick";
            if (!hasFree[kind]) {
                left.push(question);
            }
            else if (!this.#dropUnwanted(question)) {
                const rest = this.#send(question);
                hasFree[kind] = rest.length === 0 && this.#vmsFreeFor(kind === "slow").length > 0;
                left.push(...rest);
            }
        }
        this.#waiting = left;
    }

    /** Whether the answer to a question is of no use any more. */
    #dropUnwanted({ command: { step, workers } }: WaitingQuestion): boolean {
        if (this.requester.isAdviceWanted(step)) {
            return false;
        }
        this.requester.dropAdvice(step, workers);
        return true;
    }

    /** Puts a question to free VMs, in parts; returns what is left of it. */
    #send(question: WaitingQuestion): WaitingQuestion[] {
        const { command, sortTime: turn } = question;
        const size = this.#partSize(command);
        for (let next = 0; next < command.workers.length; next += size) {
            const part = { ...command, workers: command.workers.slice(next, next + size) };
            if (!this.#sendPart(part, turn)) {
                return [{ command: { ...command, workers: command.workers.slice(next) }, sortTime: turn }];
            }
        }
        return [];
    }

    #sendPart(command: AdviceRequest, turn: Milliseconds): boolean {
        const free = this.#vmsFreeFor(isSlow(command));
        if (free.length === 0) {
            return false;
        }
        const now = this.now();
        const asker = free.reduce((best, other) => waitOf(other, now) < waitOf(best, now) ? other : best);
        const duration = callDuration(command.policy, command.workers.length);
        const number = this.#nextNumber++;
        this.#inFlight.set(number, { number, command, sortTime: turn, vm: asker });
        asker.inFlight.add(number);
        asker.busyUntil = Math.max(asker.busyUntil, now) + duration;
        asker.ask(number, command, duration);
        return true;
    }

    /** How many workers a part of a question names. */
    #partSize(command: AdviceRequest): number {
        const { workers, policy } = command;
        if (!isSlow(command)) {
            return maxAdviceWorkers;
        }
        const parts = Math.max(1, Math.floor(this.#vmsFreeFor(true).length * freeVmShare));
        const size = Math.max(minPartSize(policy), Math.ceil(workers.length / parts));
        return Math.min(maxAdviceWorkers, size);
    }

    /** VMs that may get a question of its kind now; for quick ones those that never get slow ones come first. */
    #vmsFreeFor(isSlowOne: boolean): AskingVm[] {
        const all = [...this.#vms.values()];
        const quick = Math.min(Math.floor(all.length / 2), Math.floor(minQuickVms + all.length * quickVmShare));
        const candidates = !isSlowOne || all.length === 1 ? all : all.slice(quick);
        return candidates.filter(asker => isFreeFor(asker, isSlowOne));
    }
}

const isSlow = ({ policy, workers }: AdviceRequest): boolean => callDuration(policy, workers.length) > slowQuestionTime;

const minPartSize = ({ decision, eachWorker }: AdvicePolicy): number =>
    eachWorker === 0 ? maxAdviceWorkers : Math.ceil(decision * minNamingShare / eachWorker);

const isFreeFor = (asker: AskingVm, isSlowOne: boolean): boolean =>
    isSlowOne ? asker.inFlight.size === 0 : asker.inFlight.size < maxInFlight;

const waitOf = (asker: AskingVm, now: Milliseconds): Milliseconds => Math.max(0, asker.busyUntil - now);
