/** Enforcement of organisations' limits at placement. */
import type { Milliseconds, OrganisationName } from "@pebbledale/core";
import type { LimitDimension, UsageLedger } from "../organisations/index.js";
import type { Step, Task } from "../state/index.js";
import { limitWaitTime, nonUrgentShare, unrestrictedShare } from "./constants.js";

/**
 * Keeps each organisation's running work within its limit.
 *
 * Steps of an organisation at its limit wait for its own work to end. They take nothing from others meanwhile: no reservations, no
 * questions to the advice service and no preemption.
 */
export class OrganisationLimits {
    /**
     * Organisations whose limit blocks a gang, with the dimensions that the gang lacks: steps that follow it and need one of these start
     * nothing, so that the limit comes free.
     */
    readonly #accumulating = new Map<OrganisationName, ReadonlySet<LimitDimension>>();
    #mostUrgentPriority = 0;

    constructor(private readonly usage: UsageLedger) {}

    /** Begins a cycle. `mostUrgentPriority`: the most urgent priority of all queues. */
    beginCycle(mostUrgentPriority: number): void {
        this.#accumulating.clear();
        this.#mostUrgentPriority = mostUrgentPriority;
    }

    /** Whether the rest of its organisation's limit is too small for one task of a step, or for all tasks of a gang. */
    isAtLimit({ definition, job, tasks }: Step): boolean {
        return this.usage.countRemaining(job.organisation, definition.size) < (definition.isGang ? tasks.length : 1);
    }

    /** The waiting tasks that may start within the limit; all or none of a gang. Called for the steps in their order. */
    admissibleOf(step: Step, waiting: readonly Task[], now: Milliseconds): readonly Task[] {
        const { definition: { isGang, size }, job: { organisation }, readyAt } = step;
        if (organisation === undefined || waiting.length === 0) {
            return waiting;
        }
        if (this.#isBlockedByGang(organisation, step)) {
            return [];
        }
        if (!isGang) {
            return waiting.slice(0, this.#countAdmissible(organisation, step));
        }
        if (this.usage.countRemaining(organisation, size) >= waiting.length) {
            return waiting;
        }
        const hasTimedOut = now - (readyAt ?? now) >= limitWaitTime;
        if (hasTimedOut && this.usage.countWhenIdle(organisation, size) >= waiting.length) {
            const lacking = this.usage.lackingDimensions(organisation, size, waiting.length);
            this.#accumulating.set(organisation, new Set([...this.#accumulating.get(organisation) ?? [], ...lacking]));
        }
        return [];
    }

    /** Whether a step would use up what a blocked gang of its organisation waits for. */
    #isBlockedByGang(organisation: OrganisationName, { definition: { size } }: Step): boolean {
        const contended = [...this.#accumulating.get(organisation) ?? []].filter(dimension => size[dimension] > 0);
        return contended.length > 0 && !this.usage.isBelowShare(organisation, unrestrictedShare, contended);
    }

    /** How many tasks of a step that is no gang may start. Queues other than the most urgent ones leave a part of the limit free. */
    #countAdmissible(organisation: OrganisationName, { definition: { size }, job: { terms } }: Step): number {
        const remaining = this.usage.countRemaining(organisation, size);
        if (terms.priority <= this.#mostUrgentPriority) {
            return remaining;
        }
        const admissible = this.usage.countRemaining(organisation, size, nonUrgentShare);
        const isStarving = admissible === 0 && this.usage.isBelowShare(organisation, unrestrictedShare);
        return isStarving ? Math.min(1, remaining) : admissible;
    }
}
