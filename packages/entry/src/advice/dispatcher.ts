/**
 * Deals the questions to the advice service out over the VMs.
 *
 * The service answers one call at a time for each VM that asks, so a quick question must not wait behind a slow one:
 * some VMs never get slow ones while there are others.
 */
import type { AdviceCommand } from "@pebbledale/cell";
import type { Milliseconds } from "@pebbledale/core";

/** Questions that take longer than this are slow ones: half of what an urgent job can lose without being late. */
const slowQuestion: Milliseconds = 150;
/** Share of the VMs that get no slow questions. */
const quickShare = 0.34;
/** Most quick questions of one VM that are on their way at once. */
const mostOnTheirWay = 8;

/** One VM that can ask. */
interface Asker {
    readonly name: string;
    readonly ask: (question: number, command: AdviceCommand) => void;
    readonly onTheirWay: Set<number>;
    /** When the service will have answered all of this VM's questions. */
    busyUntil: Milliseconds;
    hasSlow: boolean;
}

/** A question that was dealt out or waits to be. */
interface Question {
    readonly number: number;
    readonly command: AdviceCommand;
    asker: Asker | undefined;
}

/** See the module's comment. */
export class AdviceDispatcher {
    readonly #askers = new Map<string, Asker>();
    readonly #questions = new Map<number, Question>();
    #waiting: Question[] = [];
    #next = 1;

    constructor(private readonly now: () => Milliseconds) {}

    /** A VM can ask from now on. */
    join(name: string, ask: Asker["ask"]): void {
        this.#askers.set(name, { name, ask, onTheirWay: new Set(), busyUntil: 0, hasSlow: false });
        this.#deal();
    }

    /** A VM is gone; its questions are dealt out again. */
    leave(name: string): void {
        const asker = this.#askers.get(name);
        this.#askers.delete(name);
        for (const number of asker?.onTheirWay ?? []) {
            const question = this.#questions.get(number);
            if (question !== undefined) {
                question.asker = undefined;
                this.#waiting.unshift(question);
            }
        }
        this.#deal();
    }

    /** Asks, now or once a VM is free for it. */
    ask(command: AdviceCommand): void {
        const question: Question = { number: this.#next++, command, asker: undefined };
        this.#questions.set(question.number, question);
        this.#waiting.push(question);
        this.#deal();
    }

    /** A question was answered, or failed; resolves to what was asked. */
    answered(number: number): AdviceCommand | undefined {
        const question = this.#questions.get(number);
        this.#questions.delete(number);
        if (question?.asker !== undefined) {
            this.#free(question.asker, question);
        }
        this.#deal();
        return question?.command;
    }

    #free(asker: Asker, { number, command }: Question): void {
        asker.onTheirWay.delete(number);
        if (command.duration > slowQuestion) {
            asker.hasSlow = false;
        }
        if (asker.onTheirWay.size === 0) {
            asker.busyUntil = 0;
        }
    }

    #deal(): void {
        this.#waiting.sort((left, right) =>
            left.command.priority - right.command.priority || left.number - right.number
        );
        this.#waiting = this.#waiting.filter(question => !this.#dealOne(question));
    }

    #dealOne(question: Question): boolean {
        const { duration } = question.command;
        const isSlow = duration > slowQuestion;
        const now = this.now();
        const free = this.#candidates(isSlow).filter(asker => isFreeFor(asker, isSlow));
        if (free.length === 0) {
            return false;
        }
        const asker = free.reduce((best, other) => waitOf(other, now) < waitOf(best, now) ? other : best);
        question.asker = asker;
        asker.onTheirWay.add(question.number);
        asker.busyUntil = Math.max(asker.busyUntil, now) + duration;
        asker.hasSlow ||= isSlow;
        asker.ask(question.number, question.command);
        return true;
    }

    /** VMs that may get a question of its kind; for quick ones those that never get slow ones come first. */
    #candidates(isSlow: boolean): Asker[] {
        const all = [...this.#askers.values()];
        if (!isSlow || all.length === 1) {
            return all;
        }
        const quick = Math.max(1, Math.floor(all.length * quickShare));
        return all.slice(quick);
    }
}

const isFreeFor = (asker: Asker, isSlow: boolean): boolean =>
    isSlow ? asker.onTheirWay.size === 0 : asker.onTheirWay.size < mostOnTheirWay;

const waitOf = (asker: Asker, now: Milliseconds): Milliseconds => Math.max(0, asker.busyUntil - now);
