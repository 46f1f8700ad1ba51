/**
 * Deals the questions to the advice service out over the VMs.
 *
 * The service answers one call at a time for each VM that asks, so a quick question must not wait behind a slow one:
 * some VMs never get slow ones while there are others. A slow question that names many workers is put in parts to VMs that
 * are free, so that its answers come in little more than the time of one call and all of its tickets hold at one moment.
 */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { type AdvicePolicy, callDuration, mostAdviceWorkers } from "../advice/index.js";
import type { AdviceCommand } from "../state/index.js";

/** Questions that take longer than this are slow ones: half of what an urgent job can lose without being late. */
const slowQuestion: Milliseconds = 150;
/**
 * VMs that get no slow questions: so many, and this share of all. Some of them are to be free at any moment.
 */
const fewestQuick = 2;
const quickShare = 0.06;
/** A question waits behind one that is this much younger for each step that the other is more urgent. */
const headStart: Milliseconds = 300;
/** Most quick questions of one VM that are on their way at once. */
const mostOnTheirWay = 8;

/**
 * A part of a slow question names at least so many workers that naming them takes this share of what the call takes
 * whatever it names: smaller parts keep more VMs busy and are hardly answered sooner.
 */
const leastNamingShare = 1 / 3;
/** Share of the free VMs that one question is put to at once: others come within the same turn. */
const shareOfFree = 1 / 2;

/** Whose questions are dealt out. */
export interface Questioner {
    /** Whether the answer to a question about a step is still of use. */
    isAdviceWanted(step: string): boolean;
    /** The question about a step and workers is not asked: its answer would be of no use. */
    dropAdvice(step: string, workers: readonly WorkerId[]): void;
}

/** One VM that can ask. */
interface Asker {
    readonly name: string;
    readonly ask: (question: number, command: AdviceCommand, duration: Milliseconds) => void;
    readonly onTheirWay: Set<number>;
    /** When the service will have answered all of this VM's questions. */
    busyUntil: Milliseconds;
}

/** A question, or what is left of one, that waits to be dealt out. */
interface WaitingQuestion {
    readonly command: AdviceCommand;
    /** Questions are dealt in this order: when it was asked, put off by how little urgent it is. */
    readonly turn: Milliseconds;
}

/** A question, or a part of one, that a VM has. */
interface DealtQuestion extends WaitingQuestion {
    readonly number: number;
    readonly asker: Asker;
}

/** See the module's comment. */
export class AdviceDispatcher {
    readonly #askers = new Map<string, Asker>();
    readonly #dealt = new Map<number, DealtQuestion>();
    #waiting: WaitingQuestion[] = [];
    #next = 1;

    constructor(private readonly now: () => Milliseconds, private readonly questioner: Questioner) {}

    /** A VM can ask from now on. */
    join(name: string, ask: Asker["ask"]): void {
        this.#askers.set(name, { name, ask, onTheirWay: new Set(), busyUntil: 0 });
        this.#deal();
    }

    /** A VM is gone; its questions are dealt out again. */
    leave(name: string): void {
        const asker = this.#askers.get(name);
        this.#askers.delete(name);
        for (const number of asker?.onTheirWay ?? []) {
            const question = this.#dealt.get(number);
            if (question !== undefined) {
                this.#dealt.delete(number);
                this.#waiting.unshift(question);
            }
        }
        this.#deal();
    }

    /** Asks, now or once VMs are free for it. */
    ask(...commands: readonly AdviceCommand[]): void {
        const now = this.now();
        commands.forEach(command => this.#waiting.push({ command, turn: now + command.urgency * headStart }));
        this.#deal();
    }

    /** A question was answered, or failed; resolves to what was asked. */
    answered(number: number): AdviceCommand | undefined {
        const question = this.#dealt.get(number);
        this.#dealt.delete(number);
        if (question !== undefined) {
            this.#free(question);
        }
        this.#deal();
        return question?.command;
    }

    #free({ asker, number }: DealtQuestion): void {
        asker.onTheirWay.delete(number);
        if (asker.onTheirWay.size === 0) {
            asker.busyUntil = 0;
        }
    }

    /**
     * Goes through what waits as far as VMs are free. Hundreds of questions wait after a change of owner, and each answer
     * leads here: while all of them were looked at each time, a new owner took in 35 answers in 0.3 s and did little else.
     */
    #deal(): void {
        this.#waiting.sort((left, right) => left.turn - right.turn);
        const hasFree = { slow: this.#freeFor(true).length > 0, quick: this.#freeFor(false).length > 0 };
        const left: WaitingQuestion[] = [];
        for (const question of this.#waiting) {
            const kind = isSlow(question.command) ? "slow" : "quick";
            if (!hasFree[kind]) {
                left.push(question);
            }
            else if (!this.#dropUnwanted(question)) {
                const rest = this.#put(question);
                hasFree[kind] = rest.length === 0 && this.#freeFor(kind === "slow").length > 0;
                left.push(...rest);
            }
        }
        this.#waiting = left;
    }

    /** Whether the answer to a question is of no use any more. */
    #dropUnwanted({ command: { step, workers } }: WaitingQuestion): boolean {
        if (this.questioner.isAdviceWanted(step)) {
            return false;
        }
        this.questioner.dropAdvice(step, workers);
        return true;
    }

    /** Puts a question to free VMs, in parts; returns what is left of it. */
    #put(question: WaitingQuestion): WaitingQuestion[] {
        const { command, turn } = question;
        const size = this.#partSize(command);
        for (let next = 0; next < command.workers.length; next += size) {
            const part = { ...command, workers: command.workers.slice(next, next + size) };
            if (!this.#putPart(part, turn)) {
                return [{ command: { ...command, workers: command.workers.slice(next) }, turn }];
            }
        }
        return [];
    }

    #putPart(command: AdviceCommand, turn: Milliseconds): boolean {
        const free = this.#freeFor(isSlow(command));
        if (free.length === 0) {
            return false;
        }
        const now = this.now();
        const asker = free.reduce((best, other) => waitOf(other, now) < waitOf(best, now) ? other : best);
        const duration = callDuration(command.policy, command.workers.length);
        const number = this.#next++;
        this.#dealt.set(number, { number, command, turn, asker });
        asker.onTheirWay.add(number);
        asker.busyUntil = Math.max(asker.busyUntil, now) + duration;
        asker.ask(number, command, duration);
        return true;
    }

    /** How many workers a part of a question names. */
    #partSize(command: AdviceCommand): number {
        const { workers, policy } = command;
        if (!isSlow(command)) {
            return mostAdviceWorkers;
        }
        const parts = Math.max(1, Math.floor(this.#freeFor(true).length * shareOfFree));
        const size = Math.max(leastPartSize(policy), Math.ceil(workers.length / parts));
        return Math.min(mostAdviceWorkers, size);
    }

    /** VMs that may get a question of its kind now; for quick ones those that never get slow ones come first. */
    #freeFor(isSlowOne: boolean): Asker[] {
        const all = [...this.#askers.values()];
        const quick = Math.min(Math.floor(all.length / 2), Math.floor(fewestQuick + all.length * quickShare));
        const candidates = !isSlowOne || all.length === 1 ? all : all.slice(quick);
        return candidates.filter(asker => isFreeFor(asker, isSlowOne));
    }
}

const isSlow = ({ policy, workers }: AdviceCommand): boolean => callDuration(policy, workers.length) > slowQuestion;

const leastPartSize = ({ decision, eachWorker }: AdvicePolicy): number =>
    eachWorker === 0 ? mostAdviceWorkers : Math.ceil(decision * leastNamingShare / eachWorker);

const isFreeFor = (asker: Asker, isSlowOne: boolean): boolean =>
    isSlowOne ? asker.onTheirWay.size === 0 : asker.onTheirWay.size < mostOnTheirWay;

const waitOf = (asker: Asker, now: Milliseconds): Milliseconds => Math.max(0, asker.busyUntil - now);
