/** Tasks and gangs that wait for room, in order of priority and age, grouped by what they ask for. */
import TinyQueue from "tinyqueue";
import type { JobId, TaskId } from "../ids/index.js";
import { Priority } from "../jobs/index.js";
import type { Resources } from "../resources/index.js";

/** What is placed in one decision: one task, or all tasks of a gang. */
export interface PendingUnit {
    readonly job: JobId;
    readonly tasks: readonly TaskId[];
    /** What each of them asks for. */
    readonly size: Resources;
    readonly priority: Priority;
    /** Equal for units that ask for the same; if one does not fit, its equals do not either. */
    readonly equivalenceKey: string;
    /** Order of arrival. */
    readonly sequence: number;
    /** When it began to wait, by the monotonic clock. */
    readonly since: number;
}

interface Group {
    readonly name: string;
    readonly rank: number;
    units: PendingUnit[];
    /** Index of the first unit that was not taken. */
    first: number;
}

const ranks: Readonly<Record<Priority, number>> = { [Priority.Urgent]: 0, [Priority.Normal]: 1, [Priority.Patient]: 2 };
/** Taken units are dropped from a group's array once there are this many. */
const compactionThreshold = 1024;

const compareGroups = (left: Group, right: Group): number =>
    left.rank - right.rank || left.units[left.first].sequence - right.units[right.first].sequence;

/** A queue whose cancelled units cost constant work: they are skipped when they come up. */
export class PendingQueue {
    readonly #groups = new Map<string, Group>();
    /** Groups by their heads. A head only changes while its group is out of here, so the order stays right. */
    readonly #order = new TinyQueue<Group>([], compareGroups);
    readonly #removed = new Set<PendingUnit>();
    readonly #byTask = new Map<TaskId, PendingUnit>();
    #waiting = 0;

    /** Number of units that wait. */
    get length(): number {
        return this.#waiting;
    }

    /** Adds a unit behind its equals. */
    add(unit: PendingUnit): void {
        const name = `${unit.priority}|${unit.equivalenceKey}`;
        let group = this.#groups.get(name);
        if (group === undefined) {
            group = { name, rank: ranks[unit.priority], units: [unit], first: 0 };
            this.#groups.set(name, group);
            this.#order.push(group);
        }
        else {
            group.units.push(unit);
        }
        unit.tasks.forEach(task => this.#byTask.set(task, unit));
        this.#waiting++;
    }

    /** Takes the unit of a task out; does nothing when it does not wait. */
    remove(task: TaskId): void {
        const unit = this.#byTask.get(task);
        if (unit !== undefined) {
            this.#drop(unit);
            this.#removed.add(unit);
        }
    }

    /** The unit of a task, if it waits. */
    unitOf(task: TaskId): PendingUnit | undefined {
        return this.#byTask.get(task);
    }

    /** Number of units that come before a unit, itself included; counted by group. */
    positionOf(unit: PendingUnit): number {
        let ahead = 1;
        for (const group of this.#groups.values()) {
            if (group.first >= group.units.length) {
                continue;
            }
            if (group.rank < ranks[unit.priority]) {
                ahead += group.units.length - group.first;
            }
            else if (group.rank === ranks[unit.priority]) {
                ahead += countBefore(group, unit.sequence);
            }
        }
        return ahead;
    }

    /**
     * Offers units in order; `place` says whether it took one. Equals of a refused unit are passed over.
     * Stops after `depth` refusals, so that a long queue costs no more than a short one.
     */
    offer(tryPlace: (unit: PendingUnit) => boolean, maxRefusals = Infinity): void {
        const refused: Group[] = [];
        while (refused.length < maxRefusals) {
            const group = this.#order.pop();
            if (group === undefined) {
                break;
            }
            const head = group.units[group.first];
            this.#skipRemoved(group);
            const unit = group.units[group.first];
            if (unit !== head) {
                this.#reinsert(group);
                continue;
            }
            if (!tryPlace(unit)) {
                refused.push(group);
                continue;
            }
            if (this.#byTask.get(unit.tasks[0]) === unit) {
                this.#drop(unit);
            }
            group.first++;
            this.#skipRemoved(group);
            this.#reinsert(group);
        }
        refused.forEach(group => this.#reinsert(group));
    }

    /** Puts a group back in its order, or forgets it when it is empty. */
    #reinsert(group: Group): void {
        if (group.first < group.units.length) {
            this.#order.push(group);
        }
        else {
            this.#groups.delete(group.name);
        }
    }

    #drop(unit: PendingUnit): void {
        unit.tasks.forEach(task => this.#byTask.delete(task));
        this.#waiting--;
    }

    #skipRemoved(group: Group): void {
        while (group.first < group.units.length && this.#removed.delete(group.units[group.first])) {
            group.first++;
        }
        if (group.first >= compactionThreshold) {
            group.units = group.units.slice(group.first);
            group.first = 0;
        }
    }
}

/** Units of a group with a smaller ticket, by binary search. */
const countBefore = (group: Group, sequence: number): number => {
    let low = group.first;
    let high = group.units.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (group.units[middle].sequence < sequence) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low - group.first;
};
