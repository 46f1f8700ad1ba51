/** Replay of a load pattern. */
import {
    type Clock,
    type DataHallName,
    dataHallName,
    jobId,
    type LogEvent,
    logEvents,
    ManualClock,
    type Milliseconds,
    type RunNumber,
    SeededRandom,
    serviceName,
    type TaskAddress,
    type WorkerId,
    workerId,
    workerIncarnation,
} from "@pebbledale/core";
import {
    AdviceDispatcher,
    type AdviceRequest,
    CellJobState,
    CellScheduler,
    type Job,
    OrderRefusal,
    parseTaskAddress,
    type QueueConfiguration,
    RunEnd,
    RunPhase,
    type StartCommand,
    type StepDefinition,
    type StopCommand,
    type TaskSize,
    tasksOf,
    type TurnOutput,
} from "../../../src/index.js";
import { makeConfiguration, makeOrganisation, makeQueue, makeWorker, service } from "../builders.js";
import { generateJobs, type LoadJob, Sampler } from "./generate-jobs.js";
import { type LoadRun, LoadWorker, shareCompleted } from "./load-worker.js";
import {
    type JobOutcome,
    organisationShares,
    type Outcome,
    queueOutcome,
    totalShare,
    unservedShare,
    worstTenth,
    worstWindows,
} from "./outcome.js";
import type { CrashWave, Departure, HallClosure, LoadPattern, LoadService, QueueLoad } from "./pattern.js";
import { SimulatedAdvice } from "./simulated-advice.js";

const stepTime: Milliseconds = 5;
const recordDelay: Milliseconds = 25;
const messageDelay: Milliseconds = 5;
const endDelay: Milliseconds = 10;
const stopDelay: Milliseconds = 300;
/** Minimum time between two scheduling cycles. */
const cycleInterval: Milliseconds = 20;
const pollInterval: Milliseconds = 600;
const tickInterval: Milliseconds = 100;
const restoreTime: Milliseconds = 600;
/** Delays from the start of a task at fault to the crash of its worker and from there to the worker's restart; leases last longer. */
const crashDelay: Milliseconds = 10;
const restartDelay: Milliseconds = 3_000;
const crashedLease: Milliseconds = 6_000;
const lease: Milliseconds = 1_000;
/** Share of the work after which a failing run fails. */
const failsAfter = 0.5;

const hallCount = 4;
const hallOf = (index: number): DataHallName => dataHallName(`hall-${index}`);
/** The data hall that closes. */
const closingHall = hallOf(hallCount - 1);

interface Gang {
    readonly members: LoadRun[];
    hasEnded: boolean;
}

/**
 * Runs the real scheduler over a load pattern on virtual time, with fixed delays for the store, messages and polls. No message is
 * lost; the only faults are those of the pattern.
 */
export class Replay {
    readonly #clock = new ManualClock();
    readonly #cell: CellScheduler;
    readonly #workers = new Map<WorkerId, LoadWorker>();
    readonly #jobs: readonly LoadJob[];
    readonly #byId = new Map<string, LoadJob>();
    readonly #endedAt = new Map<string, Milliseconds>();
    readonly #gangs = new Map<string, Gang>();
    readonly #failed = new Set<TaskAddress>();
    readonly #advice: SimulatedAdvice;
    readonly #dispatcher: AdviceDispatcher;
    readonly #sampler: Sampler;
    readonly #due = new Map<Milliseconds, (() => void)[]>();
    readonly #pollPlanned = new Set<LoadWorker>();
    readonly #violations: string[] = [];
    #restarts = 0;
    readonly #crashesBy = new Map<TaskAddress, number>();
    readonly #stops: Record<string, number> = {};
    readonly #cycleTimes: Milliseconds[] = [];
    #slowJudgements = 0;
    #questions = 0;
    /** Number of jobs that end by themselves. */
    readonly #finiteJobs: number;
    #nextJob = 0;
    #nextCycle: Milliseconds = 0;
    #totalWork = 0;
    #wastedWork = 0;
    /** Sum of the idle shares of all samples, by service. */
    readonly #idle = new Map<string, number>();
    #longRunningTasks = 0;
    #runningLongRunningTasks = 0;
    #samples = 0;

    /** `stopwatch`: real clock that measures the durations of scheduling cycles. */
    constructor(private readonly pattern: LoadPattern, private readonly stopwatch?: Clock) {
        this.#jobs = generateJobs(pattern);
        this.#jobs.forEach(job => this.#byId.set(job.definition.job, job));
        this.#finiteJobs = this.#jobs.filter(({ lifetime }) => lifetime === undefined).length;
        this.#sampler = new Sampler(new SeededRandom(pattern.seed));
        this.#advice = new SimulatedAdvice(pattern.seed);
        this.#cell = new CellScheduler({
            clock: this.#clock,
            log: { log: (event, fields) => this.#countEvent(event, fields) },
        });
        const organisations = (pattern.organisations ?? []).map(({ name, cores, accelerators = 0, weight }) =>
            makeOrganisation(name, cores, {
                weight,
                limit: { processorThousandths: cores * 1_000, memoryMebibytes: 0, accelerators },
            })
        );
        const queues = pattern.queues.map(load => makeQueue(load.name, termsOf(load)));
        this.#cell.configure(makeConfiguration(1, queues, organisations));
        this.#dispatcher = new AdviceDispatcher(() => this.#clock.monotonic(), this.#cell);
        this.#addWorkers();
        this.#addAdvisingVms();
        pattern.departures.forEach(departure => this.#at(departure.at, () => this.#drainWorkers(departure)));
        pattern.closures?.forEach(closure => this.#at(closure.at, () => this.#closeHall(closure)));
        pattern.crashes?.forEach(wave => this.#at(wave.at, () => this.#crashShare(wave)));
    }

    run(): Outcome {
        const end = this.pattern.duration + this.pattern.drainTime;
        while (this.#clock.monotonic() < end && !this.#isDone()) {
            this.#step();
        }
        return this.#outcome();
    }

    #step(): void {
        this.#clock.advance(stepTime);
        const now = this.#clock.monotonic();
        const due = this.#due.get(now) ?? [];
        this.#due.delete(now);
        due.forEach(action => action());
        if (this.pattern.pauses.some(({ at, duration }) => now >= at && now < at + duration)) {
            return;
        }
        this.#submitDue(now);
        if (now % tickInterval === 0) {
            this.#cell.tick();
            this.#sample();
        }
        if (this.#cell.needsCycle && now >= this.#nextCycle) {
            this.#cycle();
            this.#nextCycle = now + cycleInterval;
        }
        if (this.#cell.hasOutput) {
            this.#execute(this.#cell.drain(), now);
        }
    }

    #cycle(): void {
        const startedAt = this.stopwatch?.monotonic() ?? 0;
        this.#cell.place();
        if (this.stopwatch !== undefined) {
            this.#cycleTimes.push(this.stopwatch.monotonic() - startedAt);
        }
    }

    #submitDue(now: Milliseconds): void {
        while (this.#nextJob < this.#jobs.length && this.#jobs[this.#nextJob].at <= now) {
            const { definition, lifetime } = this.#jobs[this.#nextJob++];
            this.#cell.submit(definition);
            if (lifetime !== undefined) {
                this.#after(lifetime, () => this.#cell.cancel(jobId(definition.job)));
            }
        }
    }

    #isDone(): boolean {
        return this.#nextJob === this.#jobs.length && this.#endedAt.size === this.#finiteJobs;
    }

    #at(time: Milliseconds, action: () => void): void {
        const now = this.#clock.monotonic();
        const at = Math.max(now + stepTime, Math.ceil(time / stepTime) * stepTime);
        const actions = this.#due.get(at) ?? [];
        actions.push(action);
        this.#due.set(at, actions);
    }

    #after(delay: Milliseconds, action: () => void): void {
        this.#at(this.#clock.monotonic() + delay, action);
    }

    #execute(turn: TurnOutput, now: Milliseconds): void {
        this.#questions += turn.questions.length;
        this.#dispatcher.ask(...turn.questions);
        for (const command of turn.commands) {
            if (command.kind === "stop") {
                this.#after(messageDelay + stopDelay, () => this.#stop(command));
            }
        }
        this.#after(this.#recordDelay(now), () => this.#commit(turn));
    }

    #recordDelay(now: Milliseconds): Milliseconds {
        const slow = this.pattern.slowStores.find(({ at, duration }) => now >= at && now < at + duration);
        return recordDelay + (slow?.delay ?? 0);
    }

    #commit(turn: TurnOutput): void {
        this.#cell.turnCommitted(turn);
        for (const command of turn.commands) {
            if (command.kind !== "start") {
                continue;
            }
            if (this.#cell.prepareStart(command.worker, command.task, command.run)) {
                this.#after(messageDelay, () => this.#start(command));
            }
            else {
                this.#cell.dropStart(command.worker, command.task, command.run);
            }
        }
        for (const id of turn.jobStates.keys()) {
            const state = this.#cell.stateOf(id);
            const isAtFault = this.#byId.get(id)?.load.crashesWorkers === true;
            const wanted = isAtFault ? CellJobState.Failed : CellJobState.Completed;
            const isLasting = this.#byId.get(id)?.lifetime !== undefined;
            if (state !== wanted && !isLasting && (state === CellJobState.Failed || state === CellJobState.Completed)) {
                this.#violations.push(`${id} is shown as ${state}`);
            }
            if (state === wanted && !this.#endedAt.has(id)) {
                this.#endedAt.set(id, this.#clock.monotonic());
            }
        }
    }

    #start(command: StartCommand): void {
        const { worker: id, task, run, ticket } = command;
        const worker = this.#workers.get(id);
        const now = this.#clock.monotonic();
        if (worker?.isUp !== true) {
            return;
        }
        if (ticket !== undefined && Number(ticket) < now) {
            this.#after(messageDelay, () => this.#cell.startRefused(id, task, run, OrderRefusal.Ticket));
            return;
        }
        const step = this.#stepOf(task);
        const restored = command.checkpoint === "" ? 0 : Number(command.checkpoint);
        const entry: LoadRun = {
            task,
            run,
            worker,
            step,
            restored,
            arrivedAt: now,
            startedAt: undefined,
            endsAt: Infinity,
        };
        worker.add(entry);
        this.#checkCapacity(worker);
        this.#checkHall(worker);
        this.#checkLimit(entry);
        this.#after(messageDelay, () => this.#cell.startAccepted(id, task, run));
        if (step.isGang) {
            this.#join(entry);
        }
        else {
            this.#startWork([entry]);
        }
        if (this.#isAtFault(task)) {
            this.#crashesBy.set(task, (this.#crashesBy.get(task) ?? 0) + 1);
            this.#after(crashDelay, () => this.#crash(worker));
        }
    }

    #isAtFault(task: TaskAddress): boolean {
        const { job, step, index } = parseTaskAddress(task)!;
        return this.#byId.get(job)!.load.crashesWorkers === true && step === 0 && index === 0;
    }

    #crashShare({ share }: CrashWave): void {
        for (const worker of [...this.#workers.values()]) {
            if (worker.isUp && this.#sampler.happens(share)) {
                this.#crash(worker);
            }
        }
    }

    /** Crashes a worker, which is replaced at its address later, alternately under the same id and under a new one. */
    #crash(worker: LoadWorker): void {
        if (!worker.isUp) {
            return;
        }
        worker.isUp = false;
        const lost = [...worker.runs.values()];
        worker.runs.clear();
        lost.forEach(entry => this.#breakGang(entry));
        const { worker: id } = worker.entry;
        const lapsesAt = this.#clock.monotonic() + crashedLease;
        this.#after(
            messageDelay,
            () => this.#cell.applySilence(id, lapsesAt, { cause: "refused", heardAgo: messageDelay }),
        );
        this.#after(restartDelay, () => this.#restart(worker));
    }

    #restart({ entry, slowness }: LoadWorker): void {
        const keepsId = this.#restarts++ % 2 === 0;
        const id = keepsId ? entry.worker : workerId(`${entry.worker}+`);
        const life = workerIncarnation(this.#restarts);
        const next = makeWorker(id, { ...entry, worker: id, life });
        const worker = new LoadWorker(next, slowness);
        this.#workers.delete(entry.worker);
        this.#workers.set(id, worker);
        if (keepsId) {
            this.#cell.applyRestart(id, life);
        }
        else {
            this.#cell.applyReplacement(entry.worker);
        }
        this.#cell.updateWorkerEntries([next], []);
        this.#after(recordDelay * 2, () => {
            // The first poll of the link to this incarnation.
            this.#poll(worker, this.#clock.monotonic());
            this.#pollAgain(worker);
        });
    }

    #join(entry: LoadRun): void {
        const name = gangOf(entry);
        const gang = this.#gangs.get(name) ?? { members: [], hasEnded: false };
        this.#gangs.set(name, gang);
        gang.members.push(entry);
        if (gang.hasEnded) {
            this.#end(entry, RunEnd.Broken);
        }
        else if (gang.members.length === entry.step.taskCount) {
            this.#startWork(gang.members);
        }
    }

    /** Starts tasks that begin, and end, at the same time: a single task or a whole gang. */
    #startWork(entries: readonly LoadRun[]): void {
        const now = this.#clock.monotonic();
        const isLasting = entries[0].step.isLasting;
        const endsAt = isLasting ? Infinity : now + Math.max(...entries.map(entry => this.#durationOf(entry)));
        for (const entry of entries) {
            entry.startedAt = now;
            entry.endsAt = endsAt;
        }
        if (isLasting) {
            return;
        }
        const failing = entries.find(entry => this.#failsNow(entry));
        if (failing === undefined) {
            this.#at(endsAt, () => entries.forEach(entry => this.#end(entry, RunEnd.Done)));
            return;
        }
        this.#at(now + (endsAt - now) * failsAfter, () => {
            this.#end(failing, RunEnd.Failed);
            entries.filter(entry => entry !== failing).forEach(entry => this.#end(entry, RunEnd.Broken));
        });
    }

    #durationOf({ task, restored, worker }: LoadRun): Milliseconds {
        const { job, step, index } = parseTaskAddress(task)!;
        const work = this.#byId.get(job)!.taskWork[step][index];
        return worker.durationOf(work * (1 - restored), this.#clock.monotonic()) + (restored > 0 ? restoreTime : 0);
    }

    /** Whether this is the run of its step that fails: the first run of the failing task. */
    #failsNow({ task }: LoadRun): boolean {
        const { job, step, index } = parseTaskAddress(task)!;
        if (this.#byId.get(job)!.failingTasks[step] !== index || this.#failed.has(task)) {
            return false;
        }
        this.#failed.add(task);
        return true;
    }

    #stop({ worker: id, task, run }: StopCommand): void {
        const entry = this.#workers.get(id)?.runOf(task, run);
        if (entry === undefined) {
            return;
        }
        this.#end(entry, RunEnd.Stopped);
        this.#breakGang(entry);
    }

    #breakGang(entry: LoadRun): void {
        const gang = entry.step.isGang ? this.#gangs.get(gangOf(entry)) : undefined;
        if (gang !== undefined && !gang.hasEnded) {
            gang.hasEnded = true;
            gang.members.forEach(member => this.#end(member, RunEnd.Broken));
        }
    }

    #end(entry: LoadRun, end: RunEnd): void {
        const now = this.#clock.monotonic();
        const isSaved = end === RunEnd.Stopped && entry.step.savesProgress;
        const checkpoint = isSaved ? String(shareCompleted(entry, now)) : "";
        if (!entry.worker.end(entry, end, checkpoint)) {
            return;
        }
        const work = entry.step.size.processorThousandths * (now - entry.arrivedAt);
        this.#totalWork += work;
        this.#wastedWork += end === RunEnd.Done || isSaved || entry.step.isLasting ? 0 : work;
        this.#planPoll(entry.worker);
    }

    #planPoll(worker: LoadWorker): void {
        if (!this.#pollPlanned.has(worker)) {
            this.#pollPlanned.add(worker);
            this.#after(endDelay, () => this.#poll(worker));
        }
    }

    #poll(worker: LoadWorker, resolvedBefore = -Infinity): void {
        this.#pollPlanned.delete(worker);
        const now = this.#clock.monotonic();
        if (worker.isUp) {
            this.#cell.applyPoll(worker.entry.worker, worker.poll(now), now - messageDelay, resolvedBefore);
        }
    }

    #pollAgain(worker: LoadWorker): void {
        this.#poll(worker);
        if (worker.isUp) {
            this.#after(pollInterval, () => this.#pollAgain(worker));
        }
    }

    #addWorkers(): void {
        const { otherServices = [], sizes } = this.pattern;
        this.#addService({ ...this.pattern, name: service }, sizes);
        otherServices.forEach(other => this.#addService(other));
        this.#cell.updateWorkerEntries([...this.#workers.values()].map(worker => worker.entry), []);
        this.#cell.turnCommitted(this.#cell.drain());
        this.#workers.forEach(worker => this.#poll(worker, this.#clock.monotonic()));
    }

    #addService(load: LoadService, sizes: readonly number[] = [1]): void {
        const { name, workers, capacity, workersPerRack, slowness } = load;
        const first = this.#workers.size;
        for (let index = 0; index < workers; index++) {
            const rack = `r${first}-${Math.floor(index / workersPerRack)}`;
            // The size changes after each round of speeds, so that all sizes occur with all speeds.
            const size = sizes[Math.floor(index / slowness.length) % sizes.length];
            const hall = this.pattern.closures === undefined ? 0 : Math.floor(index / workersPerRack) % hallCount;
            const entry = makeWorker(`w${first + index}`, {
                dataHall: hallOf(hall),
                service: serviceName(name),
                capacity: scaleSize(capacity, size),
                rack,
                labels: ["a", rack],
            });
            const worker = new LoadWorker(entry, slowness[index % slowness.length]);
            this.#workers.set(entry.worker, worker);
            this.#after(pollInterval * index / workers, () => this.#pollAgain(worker));
        }
    }

    #drainWorkers({ share, notice }: Departure): void {
        for (const worker of this.#workers.values()) {
            if (worker.isUp && this.#sampler.happens(share)) {
                this.#cell.updateWorkerEntries([{ ...worker.entry, isDraining: true, leavesIn: notice }], []);
                this.#after(notice, () => this.#leave(worker));
            }
        }
    }

    #closeHall({ duration, coldFor, coldFactor }: HallClosure): void {
        const now = this.#clock.monotonic();
        this.#cell.setClosedHalls({ halls: [closingHall], revision: now });
        const workers = [...this.#workers.values()].filter(({ entry }) => entry.dataHall === closingHall);
        this.#after(duration, () => {
            const reopenedAt = this.#clock.monotonic();
            this.#cell.setClosedHalls({ halls: [], revision: reopenedAt });
            workers.forEach(worker => {
                worker.coldUntil = reopenedAt + coldFor;
                worker.coldFactor = coldFactor;
            });
        });
    }

    /** Checks that a start was not sent to a closed data hall. */
    #checkHall({ entry }: LoadWorker): void {
        const sentAt = this.#clock.monotonic() - messageDelay;
        const isClosed = this.pattern.closures?.some(({ at, duration }) => sentAt > at && sentAt < at + duration);
        if (isClosed === true && entry.dataHall === closingHall) {
            this.#violations.push(`${entry.worker} is given a run in a closed data hall`);
        }
    }

    #leave(worker: LoadWorker): void {
        worker.isUp = false;
        const { worker: id } = worker.entry;
        for (const entry of [...worker.runs.values()]) {
            this.#end(entry, RunEnd.Lapsed);
            this.#breakGang(entry);
        }
        this.#cell.updateWorkerEntries([], [id]);
        this.#cell.applySilence(id, this.#clock.monotonic() + lease);
    }

    /** Adds VMs for each of which the advice service answers one call at a time. */
    #addAdvisingVms(): void {
        for (let index = 0; index < this.pattern.advisingVms; index++) {
            let busyUntil = 0;
            this.#dispatcher.join(`vm${index}`, (question, request, duration) => {
                busyUntil = Math.max(busyUntil, this.#clock.monotonic() + messageDelay) + duration;
                this.#at(busyUntil, () => this.#answer(question, request));
            });
        }
    }

    #answer(question: number, { step, workers }: AdviceRequest): void {
        const { validity, permittedShare } = this.#byId.get(step.split("/")[0])!.load.advice!;
        const until = this.#clock.monotonic() + validity;
        const permits = this.#advice.permitsOf(step, workers, permittedShare, until);
        this.#after(messageDelay, () => {
            this.#dispatcher.complete(question);
            this.#cell.applyAdvice(step, workers, { kind: "advised", permits, validity });
        });
    }

    /** Checks that the runs of a run's organisation are within its limit. */
    #checkLimit({ task }: LoadRun): void {
        const organisation = this.#organisationOf(task);
        const limit = this.pattern.organisations?.find(({ name }) => name === organisation);
        if (limit === undefined) {
            return;
        }
        let used = 0;
        let accelerators = 0;
        for (const worker of this.#workers.values()) {
            for (const { task: other, step: { size } } of worker.runs.values()) {
                const isCounted = this.#organisationOf(other) === organisation;
                used += isCounted ? size.processorThousandths : 0;
                accelerators += isCounted ? size.accelerators : 0;
            }
        }
        if (used > limit.cores * 1_000 || accelerators > (limit.accelerators ?? Infinity)) {
            this.#violations.push(`${organisation} has ${used} and ${accelerators} accelerators at work`);
        }
    }

    #organisationOf(task: TaskAddress): string | undefined {
        return this.#byId.get(task.split("/")[0])?.definition.organisation;
    }

    #checkCapacity({ runs, entry }: LoadWorker): void {
        let used = 0;
        let accelerators = 0;
        for (const { step } of runs.values()) {
            used += step.size.processorThousandths;
            accelerators += step.size.accelerators;
        }
        if (used > entry.capacity.processorThousandths || accelerators > entry.capacity.accelerators) {
            this.#violations.push(`${entry.worker} is given ${used} and ${accelerators} accelerators`);
        }
    }

    #stepOf(task: TaskAddress): StepDefinition {
        const { job, step } = parseTaskAddress(task)!;
        return this.#byId.get(job)!.definition.steps[step];
    }

    #countEvent(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
        this.#slowJudgements += event === logEvents.workerSlow ? 1 : 0;
        if (event === logEvents.runStopped) {
            const reason = String(fields["reason"]);
            this.#stops[reason] = (this.#stops[reason] ?? 0) + 1;
        }
    }

    /** Samples idle processors: free ones, up to the demand of waiting tasks of the service. */
    #sample(): void {
        if (this.#clock.monotonic() > this.pattern.duration) {
            return;
        }
        const { processor, services } = this.#cell.summary();
        for (const [name, { freeProcessor, waitingProcessor }] of services) {
            const idle = Math.min(freeProcessor, waitingProcessor) / Math.max(1, processor);
            this.#idle.set(name, (this.#idle.get(name) ?? 0) + idle);
        }
        this.#sampleLasting();
        this.#samples++;
    }

    /** Samples the share of long-running tasks that are running, except those of jobs submitted recently. */
    #sampleLasting(): void {
        for (const { definition, lifetime } of this.#jobs.slice(0, this.#nextJob)) {
            const job = this.#cell.jobs.get(jobId(definition.job));
            if (lifetime === undefined || job?.isOver !== false || this.#isNew(job)) {
                continue;
            }
            const tasks = tasksOf(job);
            this.#longRunningTasks += tasks.length;
            this.#runningLongRunningTasks += tasks.filter(({ runs }) =>
                runs.some(({ phase }) => phase === RunPhase.Running)
            ).length;
        }
    }

    #isNew({ acceptedAtMonotonic, terms }: Job): boolean {
        return this.#clock.monotonic() < acceptedAtMonotonic + terms.latencyTarget;
    }

    #outcomeOf(job: LoadJob): JobOutcome {
        const endedAt = this.#endedAt.get(jobId(job.definition.job));
        return { job, duration: endedAt === undefined ? undefined : endedAt - job.at };
    }

    #outcome(): Outcome {
        const jobs = this.#jobs.filter(({ lifetime }) => lifetime === undefined).map(job => this.#outcomeOf(job));
        const outcomes = new Map<string, JobOutcome[]>();
        for (const outcome of jobs.filter(({ job }) => job.isEntitled)) {
            const { name } = outcome.job.load;
            outcomes.set(name, [...outcomes.get(name) ?? [], outcome]);
        }
        const organisations = organisationShares(outcomes);
        return {
            total: totalShare(outcomes),
            organisations,
            worstOrganisations: worstTenth(organisations),
            queues: Object.fromEntries([...outcomes].map(([name, jobs]) => [name, queueOutcome(jobs)])),
            worstWindows: worstWindows(outcomes),
            unservedShare: unservedShare(jobs),
            lastingShare: this.#longRunningTasks === 0
                ? undefined
                : this.#runningLongRunningTasks / this.#longRunningTasks,
            idleShares: Object.fromEntries(
                [...this.#idle].map(([name, sum]) => [name, sum / Math.max(1, this.#samples)]),
            ),
            idleShare: [...this.#idle.values()].reduce((sum, idle) => sum + idle, 0) / Math.max(1, this.#samples),
            wastedShare: this.#wastedWork / Math.max(1, this.#totalWork),
            stops: this.#stops,
            slowJudgements: this.#slowJudgements,
            questions: this.#questions,
            cycleTimes: this.#cycleTimes,
            mostCrashes: Math.max(0, ...this.#crashesBy.values()),
            violations: this.#violations,
        };
    }
}

const gangOf = ({ task, run }: { readonly task: TaskAddress; readonly run: RunNumber; }): string =>
    `${task.slice(0, task.lastIndexOf("/"))}#${run}`;

const scaleSize = (size: TaskSize, factor: number): TaskSize => ({
    processorThousandths: size.processorThousandths * factor,
    memoryMebibytes: size.memoryMebibytes * factor,
    accelerators: size.accelerators,
});

const termsOf = (
    { priority, extension, latencyTarget, advice, service: name = service }: QueueLoad,
): Partial<QueueConfiguration> => ({
    service: serviceName(name),
    priority,
    extension,
    latencyTarget,
    advice,
});
