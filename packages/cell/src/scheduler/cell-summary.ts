/** How a cell stands, in a few figures, for logs and metrics. */
import type { Milliseconds, OrganisationName, ServiceName } from "@pebbledale/core";
import { type CellContext, type Step, TaskPhase, type WorkerState } from "../state/index.js";

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
    /** How each service stands. */
    readonly services: Readonly<Record<ServiceName, ServiceSummary>>;
    /** Organisations whose work waits for their own limit, those with the most of it first; at most {@link maxReportedOrganisations}. */
    readonly atLimit: readonly WaitingOrganisation[];
}

/** How one service stands: what of its room is free on workers that may be ordered, and what waits for it. */
export interface ServiceSummary {
    readonly workers: number;
    readonly openWorkers: number;
    /** Workers that take nothing new as their runs make little progress. */
    readonly slowWorkers: number;
    /** Thousandths of processors, mebibytes and accelerators. */
    readonly processor: number;
    readonly freeProcessor: number;
    readonly memory: number;
    readonly freeMemory: number;
    readonly accelerators: number;
    readonly freeAccelerators: number;
    /** Tasks that wait, and thousandths of processors that they ask for. */
    readonly waitingTasks: number;
    /** Thousandths of processors that patient work leaves free for urgent work. */
    readonly keptProcessor: number;
    readonly waitingProcessor: number;
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
const maxReportedOrganisations = 10;

/** Works the figures out. */
export const summarizeCell = (
    context: CellContext,
    ready: ReadonlySet<Step>,
    heldBack: number,
    keptIn: (service: ServiceName) => number,
): CellSummary => {
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
        services: summarizeServices(workers, ready, keptIn, now),
        atLimit: waitingForLimits(context, ready),
    };
};

const emptyService = {
    workers: 0,
    openWorkers: 0,
    slowWorkers: 0,
    processor: 0,
    freeProcessor: 0,
    memory: 0,
    freeMemory: 0,
    accelerators: 0,
    freeAccelerators: 0,
    waitingTasks: 0,
    keptProcessor: 0,
    waitingProcessor: 0,
};

const summarizeServices = (
    workers: readonly WorkerState[],
    ready: ReadonlySet<Step>,
    keptIn: (service: ServiceName) => number,
    now: Milliseconds,
): CellSummary["services"] => {
    const services: Record<ServiceName, { -readonly [figure in keyof ServiceSummary]: number; }> = {};
    for (const worker of workers) {
        if (worker.entry !== undefined) {
            const { service, capacity } = worker.entry;
            const figures = services[service] ??= { ...emptyService, keptProcessor: keptIn(service) };
            const isOpen = worker.isOpen(now);
            figures.workers++;
            figures.openWorkers += isOpen ? 1 : 0;
            figures.slowWorkers += worker.slowUntil > now ? 1 : 0;
            figures.processor += capacity.processorThousandths;
            figures.memory += capacity.memoryMebibytes;
            figures.accelerators += capacity.accelerators;
            figures.freeProcessor += isOpen ? Math.max(0, worker.freeProcessor) : 0;
            figures.freeMemory += isOpen ? Math.max(0, worker.freeMemory) : 0;
            figures.freeAccelerators += isOpen ? Math.max(0, worker.freeAccelerators) : 0;
        }
    }
    for (const step of ready) {
        const figures = services[step.job.terms.service] ??= { ...emptyService };
        const waiting = step.waitingTasks().length;
        figures.waitingTasks += waiting;
        figures.waitingProcessor += waiting * step.definition.size.processorThousandths;
    }
    return services;
};

const waitingForLimits = ({ usage }: CellContext, ready: ReadonlySet<Step>): WaitingOrganisation[] => {
    const tasks = new Map<OrganisationName, number>();
    for (const step of ready) {
        const { job: { organisation }, definition: { size, isGang }, tasks: { length } } = step;
        const waiting = step.waitingTasks().length;
        const left = usage.countRemaining(organisation, size);
        if (organisation !== undefined && waiting > 0 && left < (isGang ? length : waiting)) {
            tasks.set(organisation, (tasks.get(organisation) ?? 0) + waiting - (isGang ? 0 : left));
        }
    }
    return [...tasks].sort(([, left], [, right]) => right - left).slice(0, maxReportedOrganisations).map(
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
