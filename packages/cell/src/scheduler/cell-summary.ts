/** Summary of a cell's state for logs and metrics. */
import type { DataHallName, Milliseconds, OrganisationName, ServiceName } from "@pebbledale/core";
import { type CellContext, type Step, TaskPhase, type WorkerState } from "../state/index.js";

/** Figures about a cell at one moment. */
export interface CellSummary {
    readonly workers: number;
    /** Workers that may be given new runs. */
    readonly openWorkers: number;
    readonly silentWorkers: number;
    /** Thousandths of processors: capacity of all workers, and free on open ones. */
    readonly processor: number;
    readonly freeProcessor: number;
    readonly runs: number;
    /** Jobs that have not ended. */
    readonly openJobs: number;
    /** Waiting tasks by the priority of their queue, and the thousandths of processors that they need. */
    readonly waiting: Readonly<Record<string, { readonly tasks: number; readonly processor: number; }>>;
    /** Waiting tasks that the last scheduling cycle deferred because a gang of a more urgent queue lacked resources. */
    readonly heldBack: number;
    readonly services: ReadonlyMap<ServiceName, ServiceSummary>;
    /** Organisations whose tasks wait because of their own limit, most waiting tasks first; at most {@link maxReportedOrganisations}. */
    readonly atLimit: readonly WaitingOrganisation[];
    /** Data halls that operators have closed, and the workers and unfinished runs there. */
    readonly closedHalls: readonly DataHallName[];
    readonly closedHallWorkers: number;
    readonly closedHallRuns: number;
}

/** Capacity and demand of one service. Free resources count on open workers only. */
export interface ServiceSummary {
    readonly workers: number;
    readonly openWorkers: number;
    /** Workers that get no new runs because their runs make too little progress. */
    readonly slowWorkers: number;
    /** Thousandths of processors, mebibytes of memory, and accelerators. */
    readonly processor: number;
    readonly freeProcessor: number;
    readonly memory: number;
    readonly freeMemory: number;
    readonly accelerators: number;
    readonly freeAccelerators: number;
    /** Waiting tasks; `waitingProcessor` is what they need, in thousandths of processors. */
    readonly waitingTasks: number;
    /** Thousandths of processors that deferrable work leaves free for urgent work. */
    readonly keptProcessor: number;
    readonly waitingProcessor: number;
}

/** An organisation with tasks that would start if its limit were higher. */
export interface WaitingOrganisation {
    readonly organisation: OrganisationName;
    /** Tasks that wait because of the limit. */
    readonly tasks: number;
    /** Thousandths of processors and mebibytes in use and allowed; an allowance of 0 means no limit. */
    readonly processor: number;
    readonly mostProcessor: number;
    readonly memory: number;
    readonly mostMemory: number;
}

/** Bounds the length of the log line to about two kilobytes. */
const maxReportedOrganisations = 10;

/** What a summary is computed from besides the cell's context. */
export interface SummarySources {
    /** Steps whose dependencies are complete. */
    readonly ready: ReadonlySet<Step>;
    readonly deferredTasks: number;
    /** Processors kept free in a service. */
    readonly headroomOf: (service: ServiceName) => number;
    readonly closedHalls: ReadonlySet<DataHallName>;
}

/** Computes a summary. */
export const summarizeCell = (context: CellContext, sources: SummarySources): CellSummary => {
    const { ready, deferredTasks, headroomOf, closedHalls } = sources;
    const now = context.now();
    const workers = [...context.workers.values()];
    const open = workers.filter(worker => worker.isOpen(now));
    const inClosedHalls = workers.filter(worker => worker.isHallClosed);
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    return {
        workers: workers.length,
        openWorkers: open.length,
        silentWorkers: workers.filter(worker => worker.silentSince !== undefined).length,
        processor: sum(workers.map(worker => worker.entry?.capacity.processorThousandths ?? 0)),
        freeProcessor: sum(open.map(worker => Math.max(0, worker.freeProcessor))),
        runs: sum(workers.map(worker => worker.runs.size)),
        openJobs: [...context.table.jobs.values()].filter(job => !job.isOver).length,
        heldBack: deferredTasks,
        waiting: waitingByPriority(ready),
        services: summarizeServices(workers, ready, headroomOf, now),
        atLimit: waitingForLimits(context, ready),
        closedHalls: [...closedHalls],
        closedHallWorkers: inClosedHalls.length,
        closedHallRuns: sum(inClosedHalls.map(worker => worker.runs.size)),
    };
};

type ServiceFigures = { -readonly [figure in keyof ServiceSummary]: number; };

const emptyService: ServiceSummary = {
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
    headroomOf: (service: ServiceName) => number,
    now: Milliseconds,
): CellSummary["services"] => {
    const services = new Map<ServiceName, ServiceFigures>();
    const figuresOf = (service: ServiceName): ServiceFigures => {
        const figures = services.get(service) ?? { ...emptyService, keptProcessor: headroomOf(service) };
        services.set(service, figures);
        return figures;
    };
    for (const worker of workers) {
        if (worker.entry !== undefined) {
            const { service, capacity } = worker.entry;
            const figures = figuresOf(service);
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
        const figures = figuresOf(step.job.terms.service);
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
        const remaining = usage.countRemaining(organisation, size);
        if (organisation !== undefined && waiting > 0 && remaining < (isGang ? length : waiting)) {
            tasks.set(organisation, (tasks.get(organisation) ?? 0) + waiting - (isGang ? 0 : remaining));
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
