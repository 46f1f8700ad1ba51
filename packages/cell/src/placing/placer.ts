/** Places ready steps on workers. */
import { logEvents, type Milliseconds, type RunNumber, type ServiceName } from "@pebbledale/core";
import type { AdviceDesk, RoomOf } from "../advising/index.js";
import {
    candidatesFor,
    type ChoiceInput,
    compareRanks,
    dealAll,
    dealInOneRack,
    isWide,
    Prospect,
    rank,
    type RankedStep,
    RoomIndex,
    type Share,
} from "../choosing/index.js";
import { type CrashWatch, isPastStart, riskCost } from "../crashes/index.js";
import type { Headroom } from "../headroom/index.js";
import { HoldBack, OrganisationLimits } from "../load/index.js";
import type { Mover } from "../moving/index.js";
import type { OrderTerms, RunBook } from "../runs/index.js";
import type { ShareOrder } from "../shares/index.js";
import { addressOf, type CellContext, type Step, type Task, type WorkerState } from "../state/index.js";
import type { HealthWatch } from "../watching/index.js";
import { RunStopper, type YieldPolicy } from "../yielding/index.js";
import { rackPatience, wideTaskPatience } from "./constants.js";
import { Preemption } from "./preemption.js";
import { Reservations } from "./reservations.js";

/** Components and policies that placement consults. */
export interface PlacerParts {
    readonly context: CellContext;
    readonly runs: RunBook;
    readonly advice: AdviceDesk;
    readonly health: HealthWatch;
    readonly mover: Mover;
    readonly crashes: CrashWatch;
    readonly yields: YieldPolicy;
    readonly shares: ShareOrder;
    readonly headroom: Headroom;
}

/** Goes through the ready steps in the order of their ranks once a cycle, orders the tasks that fit and reserves resources for others. */
export class Placer {
    readonly #ready = new Set<Step>();
    /** Resources that steps ahead in this cycle wait for. */
    readonly #reservations: Reservations;
    readonly #preemption: Preemption;
    readonly #holdBack = new HoldBack();
    readonly #limits: OrganisationLimits;
    /** Workers that accept new runs in this cycle. */
    #open: readonly WorkerState[] = [];
    #index = new RoomIndex([]);
    #heldBack = 0;

    constructor(private readonly parts: PlacerParts) {
        const { context, runs, yields } = parts;
        this.#reservations = new Reservations(context, yields);
        this.#preemption = new Preemption(new RunStopper(context, runs), yields);
        this.#limits = new OrganisationLimits(context.usage);
    }

    get readySteps(): ReadonlySet<Step> {
        return this.#ready;
    }

    /** Number of tasks that the last cycle deferred for the sake of a blocked gang. */
    get heldBack(): number {
        return this.#heldBack;
    }

    /** Headroom for urgent work in a service as of the last cycle, in thousandths of a processor. */
    keptIn(service: ServiceName): number {
        return this.parts.headroom.keptIn(service);
    }

    add(step: Step): void {
        this.#ready.add(step);
    }

    remove(step: Step): void {
        this.#ready.delete(step);
    }

    /** Runs one scheduling cycle. */
    place(): void {
        const { context, headroom } = this.parts;
        const now = context.now();
        this.#open = [...context.workers.values()].filter(worker => worker.isOpen(now));
        const ranked = this.#inOrder(now);
        this.#limits.begin(context.queues?.mostUrgent ?? Infinity);
        this.#reservations.begin(ranked.filter(({ step }) => !this.#limits.isAtLimit(step)), now);
        this.#holdBack.begin(this.#open);
        this.#heldBack = 0;
        this.#index = new RoomIndex(this.#open);
        this.parts.advice.begin(this.#index);
        headroom.begin(ranked, this.#open, now);
        ranked.forEach(entry => this.#placeStep(entry, now));
        headroom.end(now);
    }

    #inOrder(now: Milliseconds): RankedStep[] {
        const { context, shares } = this.parts;
        return [...this.#ready]
            .filter(step => step.hasWaitingTask || step.definition.allowsCopies)
            .map(step => rank(context, step, now, shares.standingOf(step)))
            .sort(compareRanks);
    }

    #placeStep(ranked: RankedStep, now: Milliseconds): void {
        const { step } = ranked;
        const wanted = [...step.waitingTasks(), ...this.parts.mover.tasksToCopy(step, now)];
        const waiting = this.#limits.within(step, wanted, now);
        if (waiting.length === 0) {
            return;
        }
        this.parts.advice.prepare(step, step.job.terms);
        if (now < step.notBefore) {
            return;
        }
        if (this.#holdBack.holds(ranked, now)) {
            this.#heldBack += waiting.length;
            return;
        }
        const { trusted, suspects, hasHeld } = this.parts.crashes.sort(step, waiting, now);
        if (!step.definition.isGang) {
            this.#placeTrusted(ranked, trusted, now);
            this.#placeTrial(step, suspects, now);
        }
        else if (!hasHeld) {
            // A gang is as suspect as any of its members: all of it is one trial.
            const isTrial = suspects.length > 0;
            const choice = isTrial ? this.#trialChoiceOf(step, now) : this.#choiceOf(step, now);
            this.#placeGang(ranked, waiting, candidatesFor(choice, waiting.length), isTrial);
        }
    }

    #choiceOf(step: Step, now: Milliseconds): ChoiceInput {
        return {
            step,
            service: step.job.terms.service,
            index: this.#index,
            now,
            limit: worker => this.#limitFor(worker, step, now),
            prefersFast: step.job.terms.priority <= (this.parts.context.queues?.mostUrgent ?? -Infinity),
            doubt: worker => this.parts.health.costOf(worker, step) + this.#reservations.costOf(worker, step, now),
        };
    }

    /** For a trial, workers are preferred on which a crash would lose the fewest runs. */
    #trialChoiceOf(step: Step, now: Milliseconds): ChoiceInput {
        const usual = this.#choiceOf(step, now);
        return { ...usual, doubt: worker => usual.doubt(worker) + worker.runs.size * riskCost };
    }

    #placeTrusted(ranked: RankedStep, tasks: readonly Task[], now: Milliseconds): void {
        if (tasks.length > 0) {
            this.#placeTasks(ranked, tasks, candidatesFor(this.#choiceOf(ranked.step, now), tasks.length), now);
        }
    }

    /** Starts suspect tasks on one worker where no other run is still starting, so that a crash can be attributed to them. */
    #placeTrial(step: Step, suspects: readonly Task[], now: Milliseconds): void {
        if (suspects.length === 0) {
            return;
        }
        const choice = this.#trialChoiceOf(step, now);
        const isQuiet = (worker: WorkerState) => [...worker.runs.values()].every(isPastStart);
        const limit = (worker: WorkerState) => isQuiet(worker) ? choice.limit(worker) : 0;
        const candidates = candidatesFor({ ...choice, limit }, suspects.length);
        if (candidates.length > 0) {
            const { worker, count, ticket } = candidates[0];
            this.#order(suspects.slice(0, count), worker, { ticket, isTrial: true });
            return;
        }
        this.parts.advice.wantRoom(step, suspects.length, this.#roomOf(step, suspects.length, now));
    }

    #placeTasks(
        ranked: RankedStep,
        waiting: readonly Task[],
        candidates: readonly Share[],
        now: Milliseconds,
    ): void {
        const { step } = ranked;
        let next = 0;
        for (const { worker, count, ticket } of candidates) {
            // Headroom is counted for the service as a whole, so each order lowers the limit of the workers that follow.
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
        this.parts.headroom.noteShortage(ranked, left);
        // Long-running tasks must be placed however full the service is, and wide ones do not fit by chance.
        if (step.definition.isLasting || this.#isStarving(step, now)) {
            this.#keepRoom(step, left, now);
        }
        this.parts.advice.wantRoom(step, left, this.#roomOf(step, left, now));
    }

    #placeGang(
        ranked: RankedStep,
        waiting: readonly Task[],
        candidates: readonly Share[],
        isTrial: boolean,
    ): void {
        const { step } = ranked;
        const now = this.parts.context.now();
        if (waiting.length < step.tasks.length) {
            return;
        }
        const shares = this.#deal(step, candidates, waiting.length, now);
        if (shares === undefined) {
            if (this.#mayEverFit(step, waiting.length)) {
                this.#holdBack.noteShortage(ranked, now);
            }
            this.#keepRoom(step, waiting.length, now, latestUsefulStart(ranked));
            this.parts.advice.wantRoom(step, waiting.length, this.#roomOf(step, waiting.length, now));
            return;
        }
        const run = this.parts.runs.nextRunOf(step, waiting[0]);
        let next = 0;
        for (const { worker, count, ticket } of shares) {
            this.#order(waiting.slice(next, next + count), worker, { ticket, isTrial }, run);
            next += count;
        }
    }

    /** Whether the workers known to be permitted could hold all of a gang if they were empty. */
    #mayEverFit(step: Step, count: number): boolean {
        const { permits } = step;
        const workers = permits === undefined ? this.#open : this.parts.context.workersOf(permits.permitted);
        let held = 0;
        for (const worker of workers) {
            held += worker.countWhenEmpty(step);
            if (held >= count) {
                return true;
            }
        }
        return false;
    }

    /** Whether a step of wide tasks has waited long enough for a reservation. */
    #isStarving(step: Step, now: Milliseconds): boolean {
        return now - (step.readyAt ?? now) >= wideTaskPatience && isWide(step, this.#open);
    }

    /** Allocates all members of a gang, within one rack where the step wants that and one fits it within {@link rackPatience}. */
    #deal(step: Step, candidates: readonly Share[], count: number, now: Milliseconds): Share[] | undefined {
        if (!step.definition.wantsOneRack) {
            return dealAll(candidates, count);
        }
        const inOneRack = dealInOneRack(candidates, count);
        const isPatienceOver = now - (step.readyAt ?? now) > rackPatience;
        return inOneRack ?? (isPatienceOver ? dealAll(candidates, count) : undefined);
    }

    /** Reserves resources for tasks that do not fit yet, unless they start after `notAfter`, and has their tickets renewed in time. */
    #keepRoom(step: Step, count: number, now: Milliseconds, notAfter = Infinity): void {
        const plan = this.#reservations.plan(step, count, now, notAfter);
        if (plan !== undefined) {
            this.parts.advice.wantTickets(step, plan, this.#roomOf(step, count, now));
            if (plan.preempts) {
                this.#preemption.makeRoom(step, plan, now);
            }
        }
    }

    /** Counts the tasks of a step that a worker can take now beside reservations and headroom. */
    #roomOf(step: Step, count: number, now: Milliseconds): RoomOf {
        return worker => Math.min(worker.countFitting(step, count), this.#limitFor(worker, step, now));
    }

    /** Upper bound of a step's tasks on a worker, so that reservations and headroom are respected. */
    #limitFor(worker: WorkerState, step: Step, now: Milliseconds): number {
        return Math.min(
            this.#reservations.limitFor(worker, step, now),
            this.parts.headroom.limitFor(worker, step),
        );
    }

    /** Orders tasks of one step at one worker. `run`: the run number that members of a gang share. */
    #order(tasks: readonly Task[], worker: WorkerState, terms: OrderTerms, run?: RunNumber): void {
        const now = this.parts.context.now();
        const { step } = tasks[0];
        this.#reservations.take(worker, step, tasks.length, now);
        this.parts.headroom.take(worker, step, tasks.length);
        for (const task of tasks) {
            const entry = this.parts.runs.order(task, run ?? this.parts.runs.nextRunOf(step, task), worker, terms);
            if (terms.isTrial) {
                this.parts.crashes.begin(entry);
            }
        }
        this.parts.context.options.log.log(logEvents.runsOrdered, {
            job: step.job.id,
            first: addressOf({
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
const latestUsefulStart = ({ prospect, latestStart }: RankedStep): Milliseconds =>
    prospect === Prospect.OnTime ? latestStart : Infinity;
