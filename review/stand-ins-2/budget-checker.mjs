/** Checks the rule AVAIL on one step of tasks that last. */
import { now } from "./record.mjs";
import { startTime } from "./worker.mjs";

/** How a run ends by an order of the system. */
const orderedEnds = new Set(["stopped", "died in the upkeep of its machine"]);

/** Follows the tasks of a step with `MayMiss`, by what the workers see. */
export class BudgetChecker {
    broken = [];
    #tasks = new Map();

    constructor({ mayMiss, noticeTime }) {
        this.mayMiss = mayMiss;
        this.noticeTime = noticeTime;
    }

    /** Number of tasks at work. */
    get atWork() {
        return [...this.#tasks.values()].filter(isAtWork).length;
    }

    began(worker, { task }) {
        const former = this.#tasks.get(task);
        this.#tasks.set(task, {
            worker: worker.id,
            begunAt: now(),
            endedAt: undefined,
            missingSince: former?.missingSince ?? now(),
            isMissedByOrder: former?.isMissedByOrder ?? false,
        });
    }

    ended(worker, { task }, how) {
        const state = this.#tasks.get(task);
        if (state === undefined || state.worker !== worker.id) {
            return;
        }
        const wasAtWork = isAtWork(state);
        const isOrdered = orderedEnds.has(how);
        if (wasAtWork && isOrdered) {
            const away = [...this.#tasks].filter(([other, entry]) => other !== task && this.#isAway(entry));
            if (away.length >= this.mayMiss) {
                const names = away.map(([other, entry]) =>
                    `${other} (away for ${Math.round(now() - (entry.missingSince ?? now()))} ms)`
                );
                this.broken.push(`${task} at ${worker.id}: ${how} while ${names.join(", ")} was away`);
            }
        }
        state.endedAt = now();
        if (wasAtWork) {
            state.missingSince = now();
            state.isMissedByOrder = isOrdered;
        }
    }

    /** Away: ended by such an order and not at work since, or not at work for the time of notice. */
    #isAway(state) {
        return !isAtWork(state) && (state.isMissedByOrder || now() - state.missingSince >= this.noticeTime);
    }
}

const isAtWork = ({ begunAt, endedAt }) => endedAt === undefined && now() - begunAt >= startTime;
