/** Confirmation of a VM's copy of the operators' keys by the owner, in place of a reading of the store over a narrow link. */
import type { HallClosures, UpkeepWave } from "@pebbledale/cell";
import type { Clock, Milliseconds } from "@pebbledale/core";
import { createAbortController } from "@pebbledale/runtime";
import type { FollowLimits } from "../following/index.js";

/** What a VM has read of the operators' keys from the store. */
export interface OperatorsCopy {
    /** Revision of the store up to which it is complete. */
    readonly cursor: string;
    /** Time since the store confirmed it. */
    readonly age: Milliseconds;
    /** Version of the configuration; 0 when there is none. */
    readonly version: number;
    readonly closures: HallClosures;
    /** The waves of upkeep, which a VM needs when it becomes the owner; those that the asking VM has read may be missing. */
    readonly waves: readonly UpkeepWave[];
}

/** What {@link OwnerConfirmation} depends on. */
export interface OwnerConfirmationOptions {
    readonly clock: Clock;
    readonly limits: FollowLimits;
    /** Whether this VM is to rely on the owner now. */
    readonly isWanted: () => boolean;
    /**
     * Asks the owner for its copy; resolves to undefined when the connection ends or the owner has none. `since`: revision up to which
     * this VM's copy is complete.
     */
    readonly ask: (since: string) => Promise<OperatorsCopy | undefined>;
}

/** Share of the wait for changes after which the owner is asked again, and which it has for its answer. */
const stepShare = 1 / 4;
/** After a missing, old or different answer the VM reads the store by itself for this long. */
const distrustTime: Milliseconds = 5_000;
/** Interval of checks for content of which the owner has told and which is on its way. */
const arrivalPollInterval: Milliseconds = 20;

/**
 * Asks the owner whether this VM's copy is complete and fresh. The copy counts as confirmed at the time of the question less the age that the
 * owner tells, so that no delay of messages makes it look fresher than it is.
 */
export class OwnerConfirmation {
    #distrustedUntil = -Infinity;

    constructor(private readonly options: OwnerConfirmationOptions) {}

    /**
     * Resolves to the owner's copy if this VM's holds everything that the owner's does; to undefined if this VM has to read the store by
     * itself. Takes at most three quarters of `wait`. `holds` checks the content.
     */
    async confirm(
        wait: Milliseconds,
        since: string,
        holds: (copy: OperatorsCopy) => boolean,
        signal: AbortSignal,
    ): Promise<OperatorsCopy | undefined> {
        const { clock, isWanted, limits } = this.options;
        if (wait < limits.wait || clock.monotonic() < this.#distrustedUntil || !isWanted()) {
            return undefined;
        }
        const step = wait * stepShare;
        await clock.sleep(step, signal);
        const copy = await this.#askWithin(step, since, signal);
        if (
            copy !== undefined && copy.age <= limits.wait + step
            && await this.#hasArrived(() => holds(copy), step, signal)
        ) {
            return copy;
        }
        this.#distrustedUntil = clock.monotonic() + distrustTime;
        return undefined;
    }

    async #askWithin(limit: Milliseconds, since: string, signal: AbortSignal): Promise<OperatorsCopy | undefined> {
        const { clock, ask } = this.options;
        const answered = createAbortController();
        const end = () => answered.abort();
        signal.addEventListener("abort", end, { once: true });
        const askedAt = clock.monotonic();
        try {
            const late = clock.sleep(limit, answered.signal).then(() => undefined);
            const copy = await Promise.race([ask(since), late]);
            return copy && { ...copy, age: copy.age + clock.monotonic() - askedAt };
        }
        finally {
            answered.abort();
            signal.removeEventListener("abort", end);
        }
    }

    /** Whether `condition` holds within `limit`: a configuration may still be on its way from the owner. */
    async #hasArrived(condition: () => boolean, limit: Milliseconds, signal: AbortSignal): Promise<boolean> {
        const deadline = this.options.clock.monotonic() + limit;
        while (!condition() && this.options.clock.monotonic() < deadline && !signal.aborted) {
            await this.options.clock.sleep(arrivalPollInterval, signal);
        }
        return condition();
    }
}
