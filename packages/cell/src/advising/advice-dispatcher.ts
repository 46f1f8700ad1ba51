/** Distribution of questions to the advice service over VMs. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { type AdvicePolicy, callDuration, mostAdviceWorkers } from "../advice/index.js";
import type { AdviceCommand } from "../state/index.js";

/** Questions that take longer than this are slow. */
const slowQuestion: Milliseconds = 150;
/** VMs reserved for quick questions: this many, */
const fewestQuick = 2;
/** and this share of all VMs. */
const quickShare = 0.06;
/** Delay in the order of waiting questions for each level of urgency. */
const headStart: Milliseconds = 300;
/** Upper bound of quick questions in flight for each VM. */
const mostOnTheirWay = 8;

/**
 * The per-worker time of a part of a slow question is at least this share of the constant time of a call: smaller parts would occupy more
 * VMs and be answered hardly sooner.
 */
const leastNamingShare = 1 / 3;
/** Share of the free VMs that one question may use, leaving others to the questions that follow. */
const shareOfFree = 1 / 2;

/** Where the questions come from. */
export interface Questioner {
    /** Whether the answer to a question about a step would still be of use. */
    isAdviceWanted(step: string): boolean;
    /** Told that a question was discarded, as its answer would be of no use. */
    dropAdvice(step: string, workers: readonly WorkerId[]): void;
}

/** A VM that can call the advice service. */
interface Asker {
    readonly name: string;
    readonly ask: (question: number, command: AdviceCommand, duration: Milliseconds) => void;
    readonly onTheirWay: Set<number>;
    /** When the service is expected to have answered all of this VM's questions. */
    busyUntil: Milliseconds;
}

/** A question, or the remainder of one, that waits for a free VM. */
interface WaitingQuestion {
    readonly command: AdviceCommand;
    /** When it was asked, with a delay by its urgency; lower goes first. */
    readonly turn: Milliseconds;
}

/** A question, or a part of one, that was sent to a VM. */
interface DealtQuestion extends WaitingQuestion {
    readonly number: number;
    readonly asker: Asker;
}

/**
 * Distributes questions to the advice service over the VMs that can call it.
 *
 * The service answers one call at a time for each VM. Some VMs are therefore reserved for quick questions, which must not wait
 * behind slow ones. A slow question about many workers is split over several free VMs, so that all of its tickets are obtained in little
 * more than the time of one call and are valid together.
 */
export class AdviceDispatcher {
    readonly #askers = new Map<string, Asker>();
    readonly #dealt = new Map<number, DealtQuestion>();
    #waiting: WaitingQuestion[] = [];
    #next = 1;

    constructor(private readonly now: () => Milliseconds, private readonly questioner: Questioner) {}

    /** Adds a VM. */
    join(name: string, ask: Asker["ask"]): void {
        this.#askers.set(name, { name, ask, onTheirWay: new Set(), busyUntil: 0 });
        this.#deal();
    }

    /** Removes a VM. Its unanswered questions are sent to others. */
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

    /** Sends questions, now or once VMs are free for them. */
    ask(...commands: readonly AdviceCommand[]): void {
        const now = this.now();
        commands.forEach(command => this.#waiting.push({ command, turn: now + command.urgency * headStart }));
        this.#deal();
    }

    /** Ends a question that was answered or failed. Returns the command, or undefined for an unknown number. */
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
     * Sends waiting questions as far as VMs are free. Questions without a free VM are skipped cheaply: this runs after each answer, and
     * hundreds may wait after a change of owner.
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

    /** Discards a question whose answer would be of no use; false when it is still wanted. */
    #dropUnwanted({ command: { step, workers } }: WaitingQuestion): boolean {
        if (this.questioner.isAdviceWanted(step)) {
            return false;
        }
        this.questioner.dropAdvice(step, workers);
        return true;
    }

    /** Sends a question to free VMs, in parts. Returns the remainder, if any. */
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

    /** Number of workers in a part of a question. */
    #partSize(command: AdviceCommand): number {
        const { workers, policy } = command;
        if (!isSlow(command)) {
            return mostAdviceWorkers;
        }
        const parts = Math.max(1, Math.floor(this.#freeFor(true).length * shareOfFree));
        const size = Math.max(leastPartSize(policy), Math.ceil(workers.length / parts));
        return Math.min(mostAdviceWorkers, size);
    }

    /** VMs that may be sent a slow or a quick question now. For quick ones, the VMs reserved for them come first. */
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
