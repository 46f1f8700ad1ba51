/** The advice service of a replay: one call at a time for each VM that asks; what it says of a worker never changes. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import type { AdviceCommand, Permit } from "../../../src/index.js";

/** Questions that take longer are asked by some VMs only, so that quick ones do not wait behind them. */
const slowQuestion: Milliseconds = 150;
const quickShare = 0.06;
/** A question waits behind one that is this much younger for each step that the other is more urgent. */
const headStart: Milliseconds = 300;

interface WaitingQuestion {
    readonly command: AdviceCommand;
    readonly turn: Milliseconds;
}

/** Told when a question's answer is there. */
export type Answered = (command: AdviceCommand, at: Milliseconds) => void;

/** See the module's comment. */
export class LoadAdvice {
    readonly #busyUntil: Milliseconds[];
    readonly #quick: number;
    #waiting: WaitingQuestion[] = [];

    constructor(askers: number, private readonly seed: number, private readonly answered: Answered) {
        this.#busyUntil = Array.from({ length: askers }, () => 0);
        this.#quick = Math.floor(2 + askers * quickShare);
    }

    /** Takes questions in. */
    ask(commands: readonly AdviceCommand[], now: Milliseconds): void {
        commands.forEach(command => this.#waiting.push({ command, turn: now + command.urgency * headStart }));
        this.#waiting.sort((left, right) => left.turn - right.turn);
    }

    /** Deals out what waits, if `isWanted` says that it is still of use. */
    deal(now: Milliseconds, isWanted: (step: string) => boolean, drop: (step: string) => void): void {
        this.#waiting = this.#waiting.filter(({ command }) => {
            if (!isWanted(command.step)) {
                drop(command.step);
                return false;
            }
            return !this.#dealOne(command, now);
        });
    }

    /** Whether a worker may run a step. */
    isPermitted(step: string, worker: WorkerId, share: number): boolean {
        return hashOf(`${this.seed} ${step} ${worker}`) < share;
    }

    /** Permits of a question, with the time until which they hold as tickets. */
    permitsOf({ step, workers }: AdviceCommand, share: number, until: Milliseconds): Permit[] {
        return workers
            .filter(worker => this.isPermitted(step, worker, share))
            .map(worker => ({ worker, ticket: String(until) }));
    }

    #dealOne(command: AdviceCommand, now: Milliseconds): boolean {
        const isSlow = command.duration > slowQuestion;
        const asker = isSlow
            ? this.#busyUntil.findIndex((at, index) => index >= this.#quick && at <= now)
            : this.#leastBusy();
        if (asker < 0) {
            return false;
        }
        const at = Math.max(now, this.#busyUntil[asker]) + command.duration;
        this.#busyUntil[asker] = at;
        this.answered(command, at);
        return true;
    }

    #leastBusy(): number {
        return this.#busyUntil.reduce((best, at, index) => at < this.#busyUntil[best] ? index : best, 0);
    }
}

/** A number in [0, 1) that hangs on a text alone (FNV-1a, then mixed). */
const hashOf = (text: string): number => {
    let hash = 0x81_1c_9d_c5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
    }
    hash = Math.imul(hash ^ (hash >>> 15), 0x2c_1b_3c_6d);
    hash = Math.imul(hash ^ (hash >>> 12), 0x29_7a_2d_39);
    return ((hash ^ (hash >>> 15)) >>> 0) / 0x1_0000_0000;
};
