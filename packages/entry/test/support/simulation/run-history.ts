/** History of the runs of a simulation. */
import { RunEnd } from "@pebbledale/cell";
import type { Milliseconds, RunNumber, TaskAddress, WorkerId } from "@pebbledale/core";
import { type Behaviour, TaskKind } from "./behaviour.js";

/** A run as its worker observed it. */
export interface RecordedRun {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly worker: WorkerId;
    readonly behaviour: Behaviour;
    /** Incarnation of the worker that started it, counted from 1. */
    readonly incarnation: number;
    /** Whether the order was sent to an earlier incarnation and arrived late. */
    readonly isStray: boolean;
    readonly sentAt: Milliseconds;
    readonly startedAt: Milliseconds;
    /** Undefined while it runs. */
    endedAt: Milliseconds | undefined;
    /** Undefined while it runs, or when it ended with a crash of its worker. */
    end: RunEnd | undefined;
    /** Whether it crashed its worker. */
    hasCrashed: boolean;
    /** Whether the product has acknowledged its end to the worker. */
    isAcknowledged: boolean;
}

/** Two runs of a task of which the later one must not have started. */
export interface DuplicateRun {
    /** The later run. */
    readonly run: RecordedRun;
    readonly other: RecordedRun;
    /** Whether the other run had finished and was acknowledged, at once or later; otherwise both ran at the same time. */
    readonly isAfterCompletion: boolean;
}

/** Records what workers observe: starts, ends, and which ends were acknowledged to them. */
export class RunHistory {
    readonly runs: RecordedRun[] = [];

    /** All runs of a task in the order of their starts. */
    of(task: TaskAddress): RecordedRun[] {
        return this.runs.filter(run => run.task === task);
    }

    /** The members of a gang: all runs of a step with one number. */
    membersOf({ task, run }: RecordedRun): RecordedRun[] {
        const step = stepOf(task);
        return this.runs.filter(other => other.run === run && stepOf(other.task) === step);
    }

    /** Runs that started although another run of the task had finished or was running. */
    duplicates(): DuplicateRun[] {
        return this.runs.flatMap(run =>
            this.runs.filter(other => other !== run).flatMap(other => {
                const isAfterCompletion = isForbiddenAfter(run, other) && hasFinished(other)
                    && other.endedAt! < run.startedAt;
                const isOverlapping = other.task === run.task && areOverlapping(run, other);
                return isAfterCompletion || isOverlapping ? [{ run, other, isAfterCompletion }] : [];
            })
        );
    }
}

/** Describes a duplicate run in one line. */
export const describeDuplicate = ({ run, other, isAfterCompletion }: DuplicateRun): string =>
    `${run.task} run ${run.run} started at ${run.worker} at ${run.startedAt} ms `
    + (isAfterCompletion
        ? `after run ${other.run} had ended done at ${other.worker}`
        : `beside run ${other.run} at ${other.worker}`);

const hasFinished = ({ end, isAcknowledged }: RecordedRun): boolean => end === RunEnd.Done && isAcknowledged;

/** Whether a run must not start once another has finished. The end of one gang member counts for the whole gang. */
const isForbiddenAfter = ({ task, run, behaviour }: RecordedRun, other: RecordedRun): boolean => {
    if (behaviour.kind === TaskKind.Copied) {
        return false;
    }
    return behaviour.kind === TaskKind.Gang
        ? stepOf(task) === stepOf(other.task) && run > other.run
        : task === other.task;
};

/** Whether two runs of a task overlap, the first being the later one: by its start, or by its number if they start together. */
const areOverlapping = (run: RecordedRun, other: RecordedRun): boolean => {
    if (run.behaviour.kind === TaskKind.Copied || (other.endedAt ?? Infinity) <= run.startedAt) {
        return false;
    }
    return other.startedAt < run.startedAt || other.startedAt === run.startedAt && other.run < run.run;
};

const stepOf = (task: TaskAddress): string => task.slice(0, task.lastIndexOf("/"));
