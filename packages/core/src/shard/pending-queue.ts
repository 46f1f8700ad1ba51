/** Queue of tasks and gangs that wait for placement. */
import TinyQueue from "tinyqueue";
import type { JobId, TaskId } from "../ids/index.js";
import { Priority } from "../jobs/index.js";
import type { Resources } from "../resources/index.js";

/** Tasks that are placed together: a single task, or all tasks of a gang. */
export interface PendingUnit {
    readonly job: JobId;
    readonly tasks: readonly TaskId[];
    /** Resources of each task. */
    readonly size: Resources;
    readonly priority: Priority;
    /** Equal for units with equal requirements: if one cannot be placed, neither can the others. */
    readonly equivalenceKey: string;
    /** Position in the order of arrival. */
    readonly sequence: number;
    /** When the unit began to wait, on the monotonic clock. */
    readonly since: number;
}

interface Group {
    readonly name: string;
    readonly rank: number;
    units: PendingUnit[];
    /** Index of the head; units before it have been placed or removed. */
    first: number;
}

const ranks: Readonly<Record<Priority, number>> = { [Priority.Urgent]: 0, [Priority.Normal]: 1, [Priority.Patient]: 2 };
/** A group's array is compacted once its head reaches this index. */
const compactionThreshold = 1024;

const compareGroups = (left: Group, right: Group): number =>
    left.rank - right.rank || left.units[left.first].sequence - right.units[right.first].sequence;

/**
 * Pending units by priority and age, grouped by equal requirements.
 *
 * Removal takes constant time: removed units are skipped when they reach the head of their group.
 */
export class PendingQueue {
    readonly #groups = new Map<string, Group>();
    /** Groups ordered by their heads. A head changes only while its group is taken out, which keeps the heap valid. */
    readonly #order = new TinyQueue<Group>([], compareGroups);
    readonly #removed = new Set<PendingUnit>();
    readonly #byTask = new Map<TaskId, PendingUnit>();
    #waiting = 0;

    get length(): number {
        return this.#waiting;
    }

    /** Appends a unit to its group. Sequence numbers must be increasing. */
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

    /** Removes the unit of a task, if it is queued. */
    remove(task: TaskId): void {
        const unit = this.#byTask.get(task);
        if (unit !== undefined) {
            this.#drop(unit);
            this.#removed.add(unit);
        }
    }

    unitOf(task: TaskId): PendingUnit | undefined {
        return this.#byTask.get(task);
    }

    /** Position of a unit in the queue, from 1. */
    positionOf(unit: PendingUnit): number {
        let position = 1;
        for (const group of this.#groups.values()) {
            if (group.first >= group.units.length) {
                continue;
            }
            if (group.rank < ranks[unit.priority]) {
                position += group.units.length - group.first;
            }
            else if (group.rank === ranks[unit.priority]) {
                position += countBefore(group, unit.sequence);
            }
        }
        return position;
    }

    /**
     * Offers units in order to `tryPlace` and removes those it returns true for. After a refusal the other units of the group
     * are skipped. Ends after `maxRefusals` refusals, which bounds the cost on a long queue.
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

    /** Returns a group to the heap, or deletes it when it is empty. */
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

/** Counts the units of a group with a smaller sequence number, by binary search. */
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
