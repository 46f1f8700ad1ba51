/**
 * Keeps each organisation's work under its limit.
 *
 * The load that it answers: one organisation sends many times its usual, or its limit falls far below what it sends. Its steps then wait
 * for their own organisation's work to end and take nothing from others meanwhile: they keep no room, ask no advice and stop nobody.
 */
import type { Milliseconds, OrganisationName } from "@pebbledale/core";
import type { UsageLedger } from "../organisations/index.js";
import type { Step, Task } from "../state/index.js";
import { deferrableShare, limitWaitTime, unrestrictedShare } from "./constants.js";

/** See the module's comment. */
export class OrganisationLimits {
    /** Organisations one of whose gangs waits for its limit: what is less urgent starts nothing, so that it gets free. */
    readonly #accumulating = new Set<OrganisationName>();
    #mostUrgent = 0;

    constructor(private readonly usage: UsageLedger) {}

    /** Begins a pass. `mostUrgent`: the first priority of all queues. */
    beginCycle(mostUrgent: number): void {
        this.#accumulating.clear();
        this.#mostUrgent = mostUrgent;
    }

    /** Whether nothing of a step can start under its organisation's limit. */
    isAtLimit({ definition, job, tasks }: Step): boolean {
        return this.usage.countRemaining(job.organisation, definition.size) < (definition.isGang ? tasks.length : 1);
    }

    /** Of tasks that wait those that may start under the limit: all or none of a gang. Steps come in their order. */
    admissibleOf(step: Step, waiting: readonly Task[], now: Milliseconds): readonly Task[] {
        const { definition: { isGang, size }, job: { organisation }, readyAt } = step;
        if (organisation === undefined || waiting.length === 0) {
            return waiting;
        }
        if (this.#accumulating.has(organisation) && !this.usage.isBelowShare(organisation, unrestrictedShare)) {
            return [];
        }
        if (!isGang) {
            return waiting.slice(0, this.#countAdmissible(organisation, step));
        }
        if (this.usage.countRemaining(organisation, size) >= waiting.length) {
            return waiting;
        }
        const isPatienceOver = now - (readyAt ?? now) >= limitWaitTime;
        if (isPatienceOver && this.usage.countWhenIdle(organisation, size) >= waiting.length) {
            this.#accumulating.add(organisation);
        }
        return [];
    }

    /** How many tasks of a step that is no gang may start: all but the most urgent queues leave a part of the limit. */
    #countAdmissible(organisation: OrganisationName, { definition: { size }, job: { terms } }: Step): number {
        const whole = this.usage.countRemaining(organisation, size);
        if (terms.priority <= this.#mostUrgent) {
            return whole;
        }
        const left = this.usage.countRemaining(organisation, size, deferrableShare);
        const isStarving = left === 0 && this.usage.isBelowShare(organisation, unrestrictedShare);
        return isStarving ? Math.min(1, whole) : left;
    }
}
