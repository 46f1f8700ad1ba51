/** Places what waits: goes through the ready steps in the order of their urgency and orders what fits. */
import { logEvents, type Milliseconds, type RunNumber, type ServiceName } from "@pebbledale/core";
import type { AdvicePlanner, CapacityOf } from "../advising/index.js";
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
} from "../choosing/index.js";
import { type CrashMonitor, isPastStart, riskCost } from "../crashes/index.js";
import type { Headroom } from "../headroom/index.js";
import { GangDeferral, OrganisationLimits } from "../load/index.js";
import type { RunMigrator } from "../moving/index.js";
import type { OrderOptions, RunLifecycle } from "../runs/index.js";
import type { FairShareOrder } from "../shares/index.js";
import { type CellContext, formatTaskAddress, type Step, type Task, type WorkerState } from "../state/index.js";
import type { HealthMonitor } from "../watching/index.js";
import { type PreemptionPolicy, RunPreemptor } from "../yielding/index.js";
import { rackTimeout, wideTaskReservationDelay } from "./constants.js";
import { PlanPreemptor } from "./preemption.js";
import { Reservations } from "./reservations.js";

/** What a placer is made from. */
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

/** See the module's comment. */
export class Placer {
    readonly #ready = new Set<Step>();
    /** Room that steps further ahead in this pass wait for. */
    readonly #reservations: Reservations;
    readonly #preemption: PlanPreemptor;
    readonly #deferral = new GangDeferral();
    readonly #limits: OrganisationLimits;
    /** Workers that may be ordered in this pass. */
    #openWorkers: readonly WorkerState[] = [];
    #index = new CapacityIndex([]);
    #deferredTasks = 0;

    constructor(private readonly parts: PlacerDependencies) {
        const { context, runs, preemption: yields } = parts;
        this.#reservations = new Reservations(context, yields);
        this.#preemption = new PlanPreemptor(new RunPreemptor(context, runs), yields);
        this.#limits = new OrganisationLimits(context.usage);
    }

    /** Steps that have tasks to place. */
    get readySteps(): ReadonlySet<Step> {
        return this.#ready;
    }

    /** Tasks that the last pass held back. */
    get deferredTasks(): number {
        return this.#deferredTasks;
    }

    /** What the last pass kept free in a service for urgent work, in thousandths of a processor. */
    headroomOf(service: ServiceName): number {
        return this.parts.headroom.headroomOf(service);
    }

    /** Adds a step whose tasks may be placed. */
    add(step: Step): void {
        this.#ready.add(step);
    }

    /** Takes a step out. */
    remove(step: Step): void {
        this.#ready.delete(step);
    }

    /** One pass. */
    place(): void {
        const { context, headroom } = this.parts;
        const now = context.now();
        this.#openWorkers = [...context.workers.values()].filter(worker => worker.isOpen(now));
        const ranked = this.#rankReadySteps(now);
        this.#limits.beginCycle(context.queues?.mostUrgentPriority ?? Infinity);
        this.#reservations.beginCycle(ranked.filter(({ step }) => !this.#limits.isAtLimit(step)), now);
        this.#deferral.beginCycle(this.#openWorkers);
        this.#deferredTasks = 0;
        this.#index = new CapacityIndex(this.#openWorkers);
        this.parts.advice.beginCycle(this.#index);
        headroom.beginCycle(ranked, this.#openWorkers, now);
        ranked.forEach(entry => this.#placeStep(entry, now));
        headroom.endCycle(now);
    }

    /** The ready steps, those that go first in front. */
    #rankReadySteps(now: Milliseconds): RankedStep[] {
        const { context, fairShare: shares } = this.parts;
        return [...this.#ready]
            .filter(step => step.hasWaitingTask || step.definition.allowsCopies)
            .map(step => rankStep(context, step, now, shares.entitlementOf(step)))
            .sort(compareRanks);
    }

    #placeStep(ranked: RankedStep, now: Milliseconds): void {
        const { step } = ranked;
        const wanted = [...step.waitingTasks(), ...this.parts.migrator.tasksToCopy(step, now)];
        const waiting = this.#limits.admissibleOf(step, wanted, now);
        if (waiting.length === 0) {
            return;
        }
        this.parts.advice.prepare(step, step.job.terms);
        if (now < step.notBefore) {
            return;
        }
        if (this.#deferral.mustWait(ranked, now)) {
            this.#deferredTasks += waiting.length;
            return;
        }
        const { trusted, suspects, hasPostponed: hasHeld } = this.parts.crashes.partition(step, waiting, now);
        if (!step.definition.isGang) {
            this.#placeTrusted(ranked, trusted, now);
            this.#placeTrial(step, suspects, now);
        }
        else if (!hasHeld) {
            // A gang is as suspect as any of its members: all of it is one trial.
            const isTrial = suspects.length > 0;
            const choice = isTrial ? this.#trialCandidateQuery(step, now) : this.#candidateQuery(step, now);
            this.#placeGang(ranked, waiting, findCandidates(choice, waiting.length), isTrial);
        }
    }

    #candidateQuery(step: Step, now: Milliseconds): CandidateQuery {
        return {
            step,
            service: step.job.terms.service,
            index: this.#index,
            now,
            limitFor: worker => this.#limitFor(worker, step, now),
            prefersFast: step.job.terms.priority <= (this.parts.context.queues?.mostUrgentPriority ?? -Infinity),
            penaltyOf: worker => this.parts.health.costOf(worker, step) + this.#reservations.costOf(worker, step, now),
        };
    }

    /** Of workers for a trial those come first on which it puts the fewest runs at risk. */
    #trialCandidateQuery(step: Step, now: Milliseconds): CandidateQuery {
        const usual = this.#candidateQuery(step, now);
        return { ...usual, penaltyOf: worker => usual.penaltyOf(worker) + worker.runs.size * riskCost };
    }

    #placeTrusted(ranked: RankedStep, tasks: readonly Task[], now: Milliseconds): void {
        if (tasks.length > 0) {
            this.#placeTasks(ranked, tasks, findCandidates(this.#candidateQuery(ranked.step, now), tasks.length), now);
        }
    }

    /**
     * Tries suspects of one step at one worker where each run is past its own start: should the worker crash, it is known under
     * what.
     */
    #placeTrial(step: Step, suspects: readonly Task[], now: Milliseconds): void {
        if (suspects.length === 0) {
            return;
        }
        const choice = this.#trialCandidateQuery(step, now);
        const isQuiet = (worker: WorkerState) => [...worker.runs.values()].every(isPastStart);
        const limit = (worker: WorkerState) => isQuiet(worker) ? choice.limitFor(worker) : 0;
        const candidates = findCandidates({ ...choice, limitFor: limit }, suspects.length);
        if (candidates.length > 0) {
            const { worker, count, ticket } = candidates[0];
            this.#order(suspects.slice(0, count), worker, { ticket, isTrial: true });
            return;
        }
        this.parts.advice.requestAdvice(step, suspects.length, this.#capacityFor(step, suspects.length, now));
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
            // What is kept for urgent steps is kept in the service as a whole: each order leaves less to spare.
            const taken = waiting.slice(next, next + Math.min(count, this.parts.headroom.limitFor(worker, step)));
            if (taken.length > 0) {
                this.#order(taken, worker, { ticket, isTrial: false });
            }
            next += taken.length;
            if (next === waiting.length) {
                return;
            }
        }
        const left = waiting.length - next;
        this.parts.headroom.noteUnplaced(ranked, left);
        // However full the service is, tasks that last are owed a place; wide ones find none by chance.
        if (step.definition.isLasting || this.#isStarving(step, now)) {
            this.#reserve(step, left, now);
        }
        this.parts.advice.requestAdvice(step, left, this.#capacityFor(step, left, now));
    }

    #placeGang(
        ranked: RankedStep,
        waiting: readonly Task[],
        candidates: readonly Allocation[],
        isTrial: boolean,
    ): void {
        const { step } = ranked;
        const now = this.parts.context.now();
        if (waiting.length < step.tasks.length) {
            return;
        }
        const shares = this.#allocate(step, candidates, waiting.length, now);
        if (shares === undefined) {
            if (this.#fitsWhenEmpty(step, waiting.length)) {
                this.#deferral.noteBlockedGang(ranked, now);
            }
            this.#reserve(step, waiting.length, now, latestUsefulStart(ranked));
            this.parts.advice.requestAdvice(step, waiting.length, this.#capacityFor(step, waiting.length, now));
            return;
        }
        const run = this.parts.runs.nextRunNumber(step, waiting[0]);
        let next = 0;
        for (const { worker, count, ticket } of shares) {
            this.#order(waiting.slice(next, next + count), worker, { ticket, isTrial }, run);
            next += count;
        }
    }

    /** Whether the workers that may run a gang, as far as is known, would hold all of it, were they empty. */
    #fitsWhenEmpty(step: Step, count: number): boolean {
        const { permits } = step;
        const workers = permits === undefined ? this.#openWorkers : this.parts.context.findWorkers(permits.permitted);
        let held = 0;
        for (const worker of workers) {
            held += worker.countWhenEmpty(step);
            if (held >= count) {
                return true;
            }
        }
        return false;
    }

    /** Whether a step waits whose tasks seldom find room by chance. */
    #isStarving(step: Step, now: Milliseconds): boolean {
        return now - (step.readyAt ?? now) >= wideTaskReservationDelay && isWide(step, this.#openWorkers);
    }

    /** Places for all members, in one rack where the step wants that and one has room soon enough. */
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
        const isPatienceOver = now - (step.readyAt ?? now) > rackTimeout;
        return inOneRack ?? (isPatienceOver ? allocate(candidates, count) : undefined);
    }

    /** Keeps room for tasks that do not fit yet, unless that comes after `notAfter`, and has their tickets renewed in time. */
    #reserve(step: Step, count: number, now: Milliseconds, notAfter = Infinity): void {
        const plan = this.#reservations.plan(step, count, now, notAfter);
        if (plan !== undefined) {
            this.parts.advice.requestTickets(step, plan, this.#capacityFor(step, count, now));
            if (plan.preempts) {
                this.#preemption.freeResources(step, plan, now);
            }
        }
    }

    /** Room of a worker for a step, without what is kept there for others. */
    #capacityFor(step: Step, count: number, now: Milliseconds): CapacityOf {
        return worker => Math.min(worker.countFitting(step, count), this.#limitFor(worker, step, now));
    }

    /** How many tasks of a step a worker takes at most, so that what is kept there for others stays kept. */
    #limitFor(worker: WorkerState, step: Step, now: Milliseconds): number {
        return Math.min(
            this.#reservations.limitFor(worker, step, now),
            this.parts.headroom.limitFor(worker, step),
        );
    }

    /** Orders tasks of one step at one worker. `run`: their common number, if they are of a gang. */
    #order(tasks: readonly Task[], worker: WorkerState, terms: OrderOptions, run?: RunNumber): void {
        const now = this.parts.context.now();
        const { step } = tasks[0];
        this.#reservations.notePlaced(worker, step, tasks.length, now);
        this.parts.headroom.notePlaced(worker, step, tasks.length);
        for (const task of tasks) {
            const entry = this.parts.runs.order(task, run ?? this.parts.runs.nextRunNumber(step, task), worker, terms);
            if (terms.isTrial) {
                this.parts.crashes.beginTrial(entry);
            }
        }
        this.parts.context.options.log.log(logEvents.runsOrdered, {
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

/** While a gang can be on time, room that comes later is of use to others sooner. */
const latestUsefulStart = ({ deadlineStatus: prospect, latestStart }: RankedStep): Milliseconds =>
    prospect === DeadlineStatus.OnTime ? latestStart : Infinity;
