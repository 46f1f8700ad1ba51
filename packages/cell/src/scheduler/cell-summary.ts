/** How a cell stands, in a few figures, for logs and metrics. */
import type { OrganisationName } from "@pebbledale/core";
import { type CellContext, type Step, TaskPhase } from "../state/index.js";

/** See the module's comment. */
export interface CellSummary {
    readonly workers: number;
    /** Workers that may be ordered. */
    readonly openWorkers: number;
    /** Workers that do not answer. */
    readonly silentWorkers: number;
    /** Thousandths of processors that all workers have, and that are free on open ones. */
    readonly processor: number;
    readonly freeProcessor: number;
    readonly runs: number;
    /** Jobs that are not over. */
    readonly openJobs: number;
    /** Tasks that wait, by the priority of their queue, and the processor that they ask for, in thousandths. */
    readonly waiting: Readonly<Record<string, { readonly tasks: number; readonly processor: number; }>>;
    /** Of these the tasks that the last pass held back, as a gang of a more urgent queue is short of room. */
    readonly heldBack: number;
    /** Organisations whose work waits for their own limit, those with the most of it first; at most {@link mostToldOrganisations}. */
    readonly atLimit: readonly WaitingOrganisation[];
}

/** An organisation some of whose work would start, were its limit higher. */
export interface WaitingOrganisation {
    readonly organisation: OrganisationName;
    /** Tasks that wait for the limit. */
    readonly tasks: number;
    /** Thousandths of processors and mebibytes that it has at work, and that it may have; 0 stands for no limit. */
    readonly processor: number;
    readonly mostProcessor: number;
    readonly memory: number;
    readonly mostMemory: number;
}

/** Most organisations that one summary tells of: the line stays below two kilobytes. */
const mostToldOrganisations = 10;

/** Works the figures out. */
export const summarize = (context: CellContext, ready: ReadonlySet<Step>, heldBack: number): CellSummary => {
    const now = context.now();
    const workers = [...context.workers.values()];
    const open = workers.filter(worker => worker.isOpen(now));
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    return {
        workers: workers.length,
        openWorkers: open.length,
        silentWorkers: workers.filter(worker => worker.silentSince !== undefined).length,
        processor: sum(workers.map(worker => worker.entry?.capacity.processorThousandths ?? 0)),
        freeProcessor: sum(open.map(worker => Math.max(0, worker.freeProcessor))),
        runs: sum(workers.map(worker => worker.runs.size)),
        openJobs: [...context.table.jobs.values()].filter(job => !job.isOver).length,
        heldBack,
        waiting: waitingByPriority(ready),
        atLimit: waitingForLimits(context, ready),
    };
};

const waitingForLimits = ({ usage }: CellContext, ready: ReadonlySet<Step>): WaitingOrganisation[] => {
    const tasks = new Map<OrganisationName, number>();
    for (const step of ready) {
        const { job: { organisation }, definition: { size, isGang }, tasks: { length } } = step;
        const waiting = step.waitingTasks().length;
        const left = usage.countLeft(organisation, size);
        if (organisation !== undefined && waiting > 0 && left < (isGang ? length : waiting)) {
            tasks.set(organisation, (tasks.get(organisation) ?? 0) + waiting - (isGang ? 0 : left));
        }
    }
    return [...tasks].sort(([, left], [, right]) => right - left).slice(0, mostToldOrganisations).map(
        ([organisation, count]) => {
            const used = usage.usedBy(organisation);
            const limit = usage.limitOf(organisation);
            return {
                organisation,
                tasks: count,
                processor: used.processorThousandths,
                mostProcessor: limit?.processorThousandths ?? 0,
                memory: used.memoryMebibytes,
                mostMemory: limit?.memoryMebibytes ?? 0,
            };
        },
    );
};

const waitingByPriority = (ready: ReadonlySet<Step>): CellSummary["waiting"] => {
    const waiting: Record<string, { tasks: number; processor: number; }> = {};
    for (const { tasks, job, definition } of ready) {
        const count = tasks.filter(task => task.phase === TaskPhase.Waiting).length;
        const entry = waiting[job.terms.priority] ??= { tasks: 0, processor: 0 };
        entry.tasks += count;
        entry.processor += count * definition.size.processorThousandths;
    }
    return waiting;
};
