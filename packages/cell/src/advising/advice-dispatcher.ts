/**
 * Deals the questions to the advice service out over the VMs.
 *
 * The service answers one call at a time for each VM that asks, so a quick question must not wait behind a slow one:
 * some VMs never get slow ones while there are others.
 */
import type { Milliseconds } from "@pebbledale/core";
import type { AdviceCommand } from "../state/index.js";

/** Questions that take longer than this are slow ones: half of what an urgent job can lose without being late. */
const slowQuestion: Milliseconds = 150;
/**
 * VMs that get no slow questions: so many, and this share of all. Quick ones keep a third of a VM's turn busy at 33
 * workers and one turn at 245; some are to be free at any moment.
 */
const fewestQuick = 2;
const quickShare = 0.06;
/** A question waits behind one that is this much younger for each step that the other is more urgent. */
const headStart: Milliseconds = 300;
/** Most quick questions of one VM that are on their way at once. */
const mostOnTheirWay = 8;

/** Whose questions are dealt out. */
export interface Questioner {
    /** Whether the answer to a question about a step is still of use. */
    isAdviceWanted(step: string): boolean;
    /** The question about a step is not asked: its answer would be of no use. */
    dropAdvice(step: string): void;
}

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
    /** Questions are dealt in this order: when it was asked, put off by how little urgent it is. */
    readonly turn: Milliseconds;
    asker: Asker | undefined;
}

/** See the module's comment. */
export class AdviceDispatcher {
    readonly #askers = new Map<string, Asker>();
    readonly #questions = new Map<number, Question>();
    #waiting: Question[] = [];
    #next = 1;

    constructor(private readonly now: () => Milliseconds, private readonly questioner: Questioner) {}

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
        const turn = this.now() + command.urgency * headStart;
        const question: Question = { number: this.#next++, command, turn, asker: undefined };
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
        this.#waiting.sort((left, right) => left.turn - right.turn || left.number - right.number);
        this.#waiting = this.#waiting.filter(question => !this.#dropUnwanted(question) && !this.#dealOne(question));
    }

    /** Whether the answer to a question is of no use any more. */
    #dropUnwanted({ number, command }: Question): boolean {
        if (this.questioner.isAdviceWanted(command.step)) {
            return false;
        }
        this.#questions.delete(number);
        this.questioner.dropAdvice(command.step);
        return true;
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
        const quick = Math.min(Math.floor(all.length / 2), Math.floor(fewestQuick + all.length * quickShare));
        return all.slice(quick);
    }
}

const isFreeFor = (asker: Asker, isSlow: boolean): boolean =>
    isSlow ? asker.onTheirWay.size === 0 : asker.onTheirWay.size < mostOnTheirWay;

const waitOf = (asker: Asker, now: Milliseconds): Milliseconds => Math.max(0, asker.busyUntil - now);
