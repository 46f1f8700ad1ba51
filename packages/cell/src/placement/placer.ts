/** Places ready steps on workers. */
import { logEvents, type Milliseconds, type RunNumber, type ServiceName } from "@pebbledale/core";
import type { AdvicePlanner, CapacityOf } from "../advising/index.js";
import { type CrashMonitor, needsIsolation, riskCost, sharedTrialCost } from "../crashes/index.js";
import type { FairShareOrder } from "../fair-share/index.js";
import type { Headroom } from "../headroom/index.js";
import { GangDeferral, OrganisationLimits } from "../limits/index.js";
import type { RunMigrator } from "../migration/index.js";
import type { HealthMonitor } from "../monitoring/index.js";
import { type PreemptionPolicy, RunPreemptor } from "../preemption/index.js";
import type { OrderOptions, RunLifecycle } from "../runs/index.js";
import {
    allocate,
    allocateInOneRack,
    type Allocation,
    type CandidateQuery,
    CapacityIndex,
    compareRanks,
    DeadlineStatus,
    findCandidates,
    isWide,
    type RankedStep,
    rankStep,
    spreadOverHalls,
} from "../selection/index.js";
import { type CellContext, formatTaskAddress, type Step, type Task, type WorkerState } from "../state/index.js";
import { rackTimeout, wideTaskReservationDelay } from "./constants.js";
import { PlanPreemptor } from "./plan-preemptor.js";
import { Reservations } from "./reservations.js";

/** Components and policies that placement consults. */
export interface PlacerDependencies {
    readonly context: CellContext;
    readonly runs: RunLifecycle;
    readonly advice: AdvicePlanner;
    readonly health: HealthMonitor;
    readonly migrator: RunMigrator;
    readonly crashes: CrashMonitor;
    readonly preemption: PreemptionPolicy;
    readonly fairShare: FairShareOrder;
    readonly headroom: Headroom;
}

/** Goes through the ready steps in the order of their ranks once a cycle, orders runs where tasks fit and reserves resources elsewhere. */
export class Placer {
    readonly #ready = new Set<Step>();
    /** Resources that steps ahead in this cycle wait for. */
    readonly #reservations: Reservations;
    readonly #preemptor: PlanPreemptor;
    readonly #deferral = new GangDeferral();
    readonly #limits: OrganisationLimits;
    /** Workers that accept new runs in this cycle. */
    #openWorkers: readonly WorkerState[] = [];
    #index = new CapacityIndex([]);
    #deferredTasks = 0;

    constructor(private readonly dependencies: PlacerDependencies) {
        const { context, runs, preemption } = dependencies;
        this.#reservations = new Reservations(context, preemption);
        this.#preemptor = new PlanPreemptor(new RunPreemptor(context, runs), preemption);
        this.#limits = new OrganisationLimits(context.usage);
    }

    get readySteps(): ReadonlySet<Step> {
        return this.#ready;
    }

    /** Number of tasks that the last cycle deferred for the sake of a blocked gang. */
    get deferredTasks(): number {
        return this.#deferredTasks;
    }

    /** Headroom for urgent work in a service as of the last cycle, in thousandths of a processor. */
    headroomOf(service: ServiceName): number {
        return this.dependencies.headroom.headroomOf(service);
    }

    add(step: Step): void {
        this.#ready.add(step);
    }

    remove(step: Step): void {
        this.#ready.delete(step);
    }

    /** Runs one scheduling cycle. */
    place(): void {
        const { context, headroom } = this.dependencies;
        const now = context.now();
        this.#openWorkers = [...context.workers.values()].filter(worker => worker.isOpen(now));
        const ranked = this.#rankReadySteps(now);
        this.#limits.beginCycle(context.queues?.mostUrgentPriority ?? Infinity);
        this.#reservations.beginCycle(ranked.filter(({ step }) => !this.#limits.isAtLimit(step)), now);
        this.#deferral.beginCycle(this.#openWorkers);
        this.#deferredTasks = 0;
        this.#index = new CapacityIndex(this.#openWorkers);
        this.dependencies.advice.beginCycle(this.#index);
        this.dependencies.crashes.trials.beginCycle();
        headroom.beginCycle(ranked, this.#openWorkers, now);
        ranked.forEach(entry => this.#placeStep(entry, now));
        headroom.endCycle(now);
    }

    #rankReadySteps(now: Milliseconds): RankedStep[] {
        const { context, fairShare } = this.dependencies;
        return [...this.#ready]
            .filter(step => step.hasWaitingTask || step.definition.allowsCopies)
            .map(step => rankStep(context, step, now, fairShare.entitlementOf(step)))
            .sort(compareRanks);
    }

    #placeStep(ranked: RankedStep, now: Milliseconds): void {
        const { step } = ranked;
        const wanted = [...step.waitingTasks(), ...this.dependencies.migrator.tasksToCopy(step, now)];
        const waiting = this.#limits.admissibleOf(step, wanted, now);
        if (waiting.length === 0) {
            return;
        }
        this.dependencies.advice.prepare(step, step.job.terms);
        if (now < step.notBefore) {
            return;
        }
        if (this.#deferral.mustWait(ranked, now)) {
            this.#deferredTasks += waiting.length;
            return;
        }
        const { trusted, suspects, hasPostponed } = this.dependencies.crashes.partition(step, waiting, now);
        if (!step.definition.isGang) {
            this.#placeTrusted(ranked, trusted, now);
            this.#placeSuspects(step, suspects, now);
        }
        else if (!hasPostponed && (suspects.length === 0 || this.dependencies.crashes.trials.mayTryGang(suspects[0]))) {
            // A gang is as suspect as any of its members: all of it is one trial.
            const isTrial = suspects.length > 0;
            const query = isTrial ? this.#trialCandidateQuery(step, now) : this.#candidateQuery(step, now);
            this.#placeGang(ranked, waiting, findCandidates(query, waiting.length), isTrial);
        }
    }

    #candidateQuery(step: Step, now: Milliseconds): CandidateQuery {
        return {
            step,
            service: step.job.terms.service,
            index: this.#index,
            now,
            limitFor: worker => this.#limitFor(worker, step, now),
            prefersFast: step.job.terms.priority <= (this.dependencies.context.queues?.mostUrgentPriority ?? -Infinity),
            penaltyOf: worker =>
                this.dependencies.health.costOf(worker, step) + this.#reservations.costOf(worker, step, now),
        };
    }

    /** For a trial, workers are preferred on which a crash would lose the fewest runs. */
    #trialCandidateQuery(step: Step, now: Milliseconds): CandidateQuery {
        const query = this.#candidateQuery(step, now);
        const riskOf = ({ runs, trialRuns }: WorkerState) =>
            runs.size * riskCost + (trialRuns > 0 ? sharedTrialCost : 0);
        return { ...query, penaltyOf: worker => query.penaltyOf(worker) + riskOf(worker) };
    }

    #placeTrusted(ranked: RankedStep, tasks: readonly Task[], now: Milliseconds): void {
        if (tasks.length > 0) {
            const candidates = findCandidates(this.#candidateQuery(ranked.step, now), tasks.length);
            const allocations = this.#isSpread(ranked.step)
                ? spreadOverHalls(ranked.step, candidates, tasks.length)
                : candidates;
            this.#placeTasks(ranked, tasks, allocations, now);
        }
    }

    /** Whether the tasks of a step are distributed over data halls, any of which may be lost. */
    #isSpread({ definition: { isLasting, fills } }: Step): boolean {
        return isLasting && !fills && (this.dependencies.context.options.toleratedHallLosses ?? 0) > 0;
    }

    /** Starts suspect tasks as trials: those that have to be tried apart from other jobs at one worker, the others wherever trials fit. */
    #placeSuspects(step: Step, suspects: readonly Task[], now: Milliseconds): void {
        const { trials } = this.dependencies.crashes;
        const isolated = suspects.filter(needsIsolation);
        if (!trials.hasIsolated(step.job)) {
            this.#placeTrials(step, isolated, 1, now);
        }
        this.#placeTrials(step, suspects.filter(task => !needsIsolation(task)), Infinity, now);
    }

    /** Starts suspect tasks at workers where no other run than trials is still starting, so that a crash can be attributed to them. */
    #placeTrials(step: Step, suspects: readonly Task[], maxWorkers: number, now: Milliseconds): void {
        if (suspects.length === 0) {
            return;
        }
        const [first] = suspects;
        const { trials } = this.dependencies.crashes;
        const query = this.#trialCandidateQuery(step, now);
        const limitFor = (worker: WorkerState) => trials.mayTryAt(worker, first) ? query.limitFor(worker) : 0;
        const candidates = findCandidates({ ...query, limitFor, isTrial: true }, suspects.length).slice(0, maxWorkers);
        let next = 0;
        for (const { worker, count, ticket } of candidates) {
            // Each order may use up the workers that are left for trials.
            const fitting = Math.min(count, this.dependencies.headroom.limitFor(worker, step));
            const taken = trials.mayTryAt(worker, first) ? suspects.slice(next, next + fitting) : [];
            if (taken.length > 0) {
                this.#order(taken, worker, { ticket, isTrial: true });
                next += taken.length;
            }
        }
        if (next < suspects.length) {
            const left = suspects.length - next;
            this.dependencies.advice.requestAdvice(step, left, this.#capacityFor(step, left, now));
        }
    }

    #placeTasks(
        ranked: RankedStep,
        waiting: readonly Task[],
        candidates: readonly Allocation[],
        now: Milliseconds,
    ): void {
        const { step } = ranked;
        let next = 0;
        for (const { worker, count, ticket } of candidates) {
            // Headroom is counted for the service as a whole, so each order lowers the limit of the workers that follow.
            const taken = waiting.slice(
                next,
                next + Math.min(count, this.dependencies.headroom.limitFor(worker, step)),
            );
            if (taken.length > 0) {
                this.#order(taken, worker, { ticket, isTrial: false });
            }
            next += taken.length;
            if (next === waiting.length) {
                return;
            }
        }
        const left = waiting.length - next;
        this.dependencies.headroom.noteUnplaced(ranked, left);
        // Long-running tasks must be placed however full the service is, and wide ones do not fit by chance.
        if (step.definition.isLasting || this.#isStarving(step, now)) {
            this.#reserve(step, left, now);
        }
        this.dependencies.advice.requestAdvice(step, left, this.#capacityFor(step, left, now));
    }

    #placeGang(
        ranked: RankedStep,
        waiting: readonly Task[],
        candidates: readonly Allocation[],
        isTrial: boolean,
    ): void {
        const { step } = ranked;
        const now = this.dependencies.context.now();
        if (waiting.length < step.tasks.length) {
            return;
        }
        const allocations = this.#allocate(step, candidates, waiting.length, now);
        if (allocations === undefined) {
            if (this.#fitsWhenEmpty(step, waiting.length)) {
                this.#deferral.noteBlockedGang(ranked, now);
            }
            this.#reserve(step, waiting.length, now, latestUsefulStart(ranked));
            this.dependencies.advice.requestAdvice(step, waiting.length, this.#capacityFor(step, waiting.length, now));
            return;
        }
        const run = this.dependencies.runs.nextRunNumber(step, waiting[0]);
        let next = 0;
        for (const { worker, count, ticket } of allocations) {
            this.#order(waiting.slice(next, next + count), worker, { ticket, isTrial }, run);
            next += count;
        }
    }

    /** Whether the workers known to be permitted could hold all of a gang if they were empty. */
    #fitsWhenEmpty(step: Step, count: number): boolean {
        const { permits } = step;
        const workers = permits === undefined
            ? this.#openWorkers
            : this.dependencies.context.findWorkers(permits.permitted);
        let capacity = 0;
        for (const worker of workers) {
            capacity += worker.isHallClosed ? 0 : worker.countWhenEmpty(step);
            if (capacity >= count) {
                return true;
            }
        }
        return false;
    }

    /** Whether a step of wide tasks has waited long enough for a reservation. */
    #isStarving(step: Step, now: Milliseconds): boolean {
        return now - (step.readyAt ?? now) >= wideTaskReservationDelay && isWide(step, this.#openWorkers);
    }

    /** Allocates all members of a gang, within one rack where the step wants that and one fits it within {@link rackTimeout}. */
    #allocate(
        step: Step,
        candidates: readonly Allocation[],
        count: number,
        now: Milliseconds,
    ): Allocation[] | undefined {
        if (!step.definition.wantsOneRack) {
            return allocate(candidates, count);
        }
        const inOneRack = allocateInOneRack(candidates, count);
        const hasTimedOut = now - (step.readyAt ?? now) > rackTimeout;
        return inOneRack ?? (hasTimedOut ? allocate(candidates, count) : undefined);
    }

    /** Reserves resources for tasks that do not fit yet, unless they start after `notAfter`, and has their tickets renewed in time. */
    #reserve(step: Step, count: number, now: Milliseconds, notAfter = Infinity): void {
        const plan = this.#reservations.plan(step, count, now, notAfter);
        if (plan !== undefined) {
            this.dependencies.advice.requestTickets(step, plan, this.#capacityFor(step, count, now));
            if (plan.preempts) {
                this.#preemptor.freeResources(step, plan, now);
            }
        }
    }

    /** Counts the tasks of a step that a worker can take now beside reservations and headroom. */
    #capacityFor(step: Step, count: number, now: Milliseconds): CapacityOf {
        return worker => Math.min(worker.countFitting(step, count), this.#limitFor(worker, step, now));
    }

    /** Upper bound of a step's tasks on a worker, so that reservations and headroom are respected. */
    #limitFor(worker: WorkerState, step: Step, now: Milliseconds): number {
        return Math.min(
            this.#reservations.limitFor(worker, step, now),
            this.dependencies.headroom.limitFor(worker, step),
        );
    }

    /** Orders tasks of one step at one worker. `run`: the run number that members of a gang share. */
    #order(tasks: readonly Task[], worker: WorkerState, options: OrderOptions, run?: RunNumber): void {
        const now = this.dependencies.context.now();
        const { step } = tasks[0];
        this.#reservations.notePlaced(worker, step, tasks.length, now);
        this.dependencies.headroom.notePlaced(worker, step, tasks.length);
        for (const task of tasks) {
            const taskRun = this.dependencies.runs.order(
                task,
                run ?? this.dependencies.runs.nextRunNumber(step, task),
                worker,
                options,
            );
            if (options.isTrial) {
                this.dependencies.crashes.trials.begin(taskRun);
            }
        }
        this.dependencies.context.options.log.log(logEvents.runsOrdered, {
            job: step.job.id,
            first: formatTaskAddress({
                job: step.job.id,
                occurrence: step.occurrence.number,
                step: step.index,
                index: tasks[0].index,
            }),
            tasks: tasks.length,
            run: tasks[0].lastRun,
            worker: worker.id,
            priority: step.job.terms.priority,
            freeAfter: worker.freeProcessor,
            waited: Math.round(now - (step.readyAt ?? now)),
        });
    }
}

/** While a gang can be on time, resources that come free too late for it are better left to others. */
const latestUsefulStart = ({ deadlineStatus, latestStart }: RankedStep): Milliseconds =>
    deadlineStatus === DeadlineStatus.OnTime ? latestStart : Infinity;
