/**
 * Keeps each organisation's work under its limit.
 *
 * The load that it answers: one organisation sends many times its usual, or its limit falls far below what it sends. Its steps then wait
 * for their own organisation's work to end and take nothing from others meanwhile: they keep no room, ask no advice and stop nobody.
 */
import type { Milliseconds, OrganisationName } from "@pebbledale/core";
import type { UsageBook } from "../organisations/index.js";
import type { Step, Task } from "../state/index.js";
import { freelyUsedShare, limitPatience, patientShare } from "./constants.js";

/** See the module's comment. */
export class OrganisationLimits {
    /** Organisations one of whose gangs waits for its limit: what is less urgent starts nothing, so that it gets free. */
    readonly #savesUp = new Set<OrganisationName>();
    #mostUrgent = 0;

    constructor(private readonly usage: UsageBook) {}

    /** Begins a pass. `mostUrgent`: the first priority of all queues. */
    begin(mostUrgent: number): void {
        this.#savesUp.clear();
        this.#mostUrgent = mostUrgent;
    }

    /** Whether nothing of a step can start under its organisation's limit. */
    isAtLimit({ definition, job, tasks }: Step): boolean {
        return this.usage.countLeft(job.organisation, definition.size) < (definition.isGang ? tasks.length : 1);
    }

    /** Of tasks that wait those that may start under the limit: all or none of a gang. Steps come in their order. */
    within(step: Step, waiting: readonly Task[], now: Milliseconds): readonly Task[] {
        const { definition: { isGang, size }, job: { organisation }, readyAt } = step;
        if (organisation === undefined || waiting.length === 0) {
            return waiting;
        }
        if (this.#savesUp.has(organisation) && !this.usage.isBelow(organisation, freelyUsedShare)) {
            return [];
        }
        if (!isGang) {
            return waiting.slice(0, this.#countLeft(organisation, step));
        }
        if (this.usage.countLeft(organisation, size) >= waiting.length) {
            return waiting;
        }
        const isPatienceOver = now - (readyAt ?? now) >= limitPatience;
        if (isPatienceOver && this.usage.countWhenIdle(organisation, size) >= waiting.length) {
            this.#savesUp.add(organisation);
        }
        return [];
    }

    /** How many tasks of a step that is no gang may start: all but the most urgent queues leave a part of the limit. */
    #countLeft(organisation: OrganisationName, { definition: { size }, job: { terms } }: Step): number {
        const whole = this.usage.countLeft(organisation, size);
        if (terms.priority <= this.#mostUrgent) {
            return whole;
        }
        const left = this.usage.countLeft(organisation, size, patientShare);
        const isStarving = left === 0 && this.usage.isBelow(organisation, freelyUsedShare);
        return isStarving ? Math.min(1, whole) : left;
    }
}
