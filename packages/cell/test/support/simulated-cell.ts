/** Simulation of a cell under random faults. */
import {
    fencingToken,
    jobId,
    ManualClock,
    type Milliseconds,
    organisationName,
    SeededRandom,
    type TaskAddress,
    type WorkerIncarnation,
    workerIncarnation,
} from "@pebbledale/core";
import {
    type CellConfiguration,
    type EndedRun,
    isTerminalState,
    type JobDefinition,
    OrderRefusal,
    parseTaskAddress,
    RunEnd,
    type StartCommand,
    type StepDefinition,
    type StopCommand,
    type TaskSize,
    type WorkerEntry,
} from "../../src/index.js";
import { makeConfiguration, makeJob, makeOrganisation, makeQueue, makeStep, makeWorker } from "./builders.js";
import { CellDriver } from "./cell-driver.js";
import { FakeAdvice, fakePolicy } from "./fake-advice.js";
import { type FakeTask, FakeWorker } from "./fake-worker.js";

const lease: Milliseconds = 2_000;
const stepTime: Milliseconds = 50;
const maxFailures = 3;
/** Tokens are raised by this for each restart, so that links to later incarnations have higher ones. */
const tokensPerIncarnation = 1_000;
/** Time after a change of capacity for which starts within the former capacity are still allowed. */
const shrinkTime: Milliseconds = 4_500;

/** Probability of each fault in one time step, from 0 to 1. */
export interface Faults {
    readonly crash: number;
    readonly disconnect: number;
    readonly takeOver: number;
    readonly cancel: number;
    /** For each start: its answer is lost, or it is carried out late. */
    readonly start: number;
    /** For each run: it fails. */
    readonly fail: number;
    /** A worker's capacity changes. Undefined if it never does. */
    readonly resize?: number;
    /** The limit of an organisation changes. Undefined in a cell without organisations. */
    readonly limits?: number;
    /** For each question to the advice service: it gets no answer. Undefined in a cell without advice. */
    readonly advice: number | undefined;
}

/** All probabilities zero, in a cell without organisations and advice. */
export const noFaults: Faults = {
    crash: 0,
    disconnect: 0,
    takeOver: 0,
    cancel: 0,
    start: 0,
    fail: 0,
    advice: undefined,
};

/** Limits of an organisation in cores: initial and final one, minimum, and range above the minimum. */
const initialLimit = 24;
const minLimit = 4;
const limitRange = 36;
/** Maximum delay between the decision on a start and its execution. */
const maxStartDelay: Milliseconds = 3 * lease;

/** Limit of an organisation in cores, and former limits with the time until which they still count. */
interface Limit {
    cores: number;
    former: { readonly cores: number; readonly until: Milliseconds; }[];
}

interface Link {
    worker: FakeWorker;
    /** Published capacity, and former ones with the time until which they still count. */
    capacity: TaskSize;
    former: { readonly capacity: TaskSize; readonly until: Milliseconds; }[];
    token: number;
    forgetThrough: number;
    unreachableUntil: Milliseconds;
    isNewLink: boolean;
    isSilent: boolean;
    reportedThrough: number;
    /** Current incarnation; undefined before the first restart. */
    incarnation: WorkerIncarnation | undefined;
    /** Whether it restarted and the owner does not know yet. */
    isRestarted: boolean;
}

interface LateStart {
    readonly at: Milliseconds;
    readonly link: Link;
    readonly worker: FakeWorker;
    readonly token: number;
    readonly command: StartCommand;
}

/**
 * A small cell with workers that follow their protocol, links that lose and delay messages, and owners that fail. The invariants are
 * checked at the workers, independently of the owner's state.
 */
export class SimulatedCell {
    readonly clock = new ManualClock();
    readonly driver: CellDriver;
    /** Violated invariants, one message each. */
    readonly violations: string[] = [];
    readonly #random: SeededRandom;
    readonly #advice: FakeAdvice | undefined;
    readonly #links = new Map<string, Link>();
    readonly #jobs = new Map<string, JobDefinition>();
    readonly #done = new Set<TaskAddress>();
    readonly #countedEnds = new Set<string>();
    readonly #failures = new Map<TaskAddress, number>();
    readonly #limits = new Map<string, Limit>();
    #version = 1;
    #lateStarts: LateStart[] = [];
    #epoch = 1;
    #nextWorker = 1;
    #nextJob = 1;
    #restarts = 0;

    constructor(seed: number, private readonly faults: Faults, workers: number) {
        this.#random = new SeededRandom(seed);
        this.#advice = faults.advice === undefined
            ? undefined
            : new FakeAdvice(new SeededRandom(seed + 1), faults.advice);
        if (faults.limits !== undefined) {
            ["north", "south"].forEach(name => this.#limits.set(name, { cores: initialLimit, former: [] }));
        }
        this.driver = new CellDriver(this.clock, this.#configuration());
        for (let index = 0; index < workers; index++) {
            this.#addWorker();
        }
    }

    /** Submitted jobs. */
    get jobs(): ReadonlyMap<string, JobDefinition> {
        return this.#jobs;
    }

    /** Whether every job has ended. */
    get isFinished(): boolean {
        return [...this.#jobs.keys()].every(id => {
            const state = this.driver.cell.stateOf(jobId(id));
            return state !== undefined && isTerminalState(state);
        });
    }

    /** Submits a random job. */
    submit(): void {
        const id = `job${this.#nextJob++}`;
        const count = 1 + this.#below(3);
        const steps = Array.from({ length: count }, (_, index) => this.#randomStep(index));
        const organisation = [...this.#limits.keys()][this.#jobs.size % 2];
        const definition = makeJob(
            id,
            steps,
            organisation === undefined ? {} : { organisation: organisationName(organisation) },
        );
        this.#jobs.set(id, definition);
        this.driver.cell.submit(definition);
    }

    /** Advances the simulation by one time step, with or without faults. */
    step(hasFaults: boolean): void {
        this.clock.advance(stepTime);
        const now = this.clock.monotonic();
        this.#links.forEach(link => link.worker.tick(now));
        this.#deliverLate(now);
        if (hasFaults) {
            this.#injectFaults(now);
        }
        else {
            this.#restoreCapacities(now);
            this.#limits.forEach((_, name) => this.#changeLimit(name, initialLimit));
        }
        this.#links.forEach(link => this.#poll(link, now));
        this.#advice?.answer(this.driver.cell, now);
        this.driver.cell.tick();
        const { starts, stops, acknowledged, questions } = this.driver.run();
        this.#advice?.ask(questions, now);
        for (const [worker, through] of Object.entries(acknowledged)) {
            const link = this.#links.get(worker);
            if (link !== undefined) {
                link.forgetThrough = Math.max(link.forgetThrough, through);
            }
        }
        stops.forEach(stop => this.#stop(stop, now));
        starts.forEach(start => this.#start(start, now, hasFaults));
    }

    #randomStep(index: number): StepDefinition {
        return makeStep({
            taskCount: 1 + this.#below(6),
            isGang: this.#happens(0.3),
            after: index > 0 && this.#happens(0.7) ? [this.#below(index)] : [],
            size: { processorThousandths: 500 + this.#below(3_000), memoryMebibytes: 512, accelerators: 0 },
            mostPerWorker: this.#happens(0.2) ? 2 : undefined,
        });
    }

    #addWorker(): Link {
        const entry = makeWorker(`w${this.#nextWorker++}`);
        const link: Link = {
            worker: new FakeWorker(entry.worker, entry.capacity),
            capacity: entry.capacity,
            former: [],
            token: this.#tokenBase(),
            forgetThrough: 0,
            unreachableUntil: 0,
            isNewLink: true,
            isSilent: false,
            reportedThrough: 0,
            incarnation: undefined,
            isRestarted: false,
        };
        this.#links.set(entry.worker, link);
        this.driver.cell.updateWorkerEntries([entry], []);
        return link;
    }

    #tokenBase(): number {
        return this.#epoch * 1_000_000;
    }

    #injectFaults(now: Milliseconds): void {
        if (this.#happens(this.faults.takeOver)) {
            this.#takeOver();
        }
        for (const link of [...this.#links.values()]) {
            if (this.#happens(this.faults.crash)) {
                this.#crash(link);
            }
            else if (this.#happens(this.faults.disconnect)) {
                link.unreachableUntil = now + this.#below(3 * lease);
            }
            else if (this.#happens(this.faults.resize ?? 0)) {
                this.#resize(link, now);
            }
        }
        for (const name of this.#limits.keys()) {
            if (this.#happens(this.faults.limits ?? 0)) {
                this.#changeLimit(name, minLimit + this.#below(limitRange));
            }
        }
        const ids = [...this.#jobs.keys()];
        if (ids.length > 0 && this.#happens(this.faults.cancel)) {
            const id = ids[this.#below(ids.length)];
            this.driver.cell.cancel(jobId(id));
        }
    }

    #configuration(): CellConfiguration {
        const advice = this.#advice && fakePolicy;
        const organisations = [...this.#limits].map(([name, { cores }]) => makeOrganisation(name, cores));
        return makeConfiguration(this.#version, [makeQueue("work", { advice })], organisations);
    }

    #changeLimit(name: string, cores: number): void {
        const limit = this.#limits.get(name)!;
        if (limit.cores !== cores) {
            limit.former.push({ cores: limit.cores, until: this.clock.monotonic() + maxStartDelay });
            limit.cores = cores;
            this.#version++;
            this.driver.cell.configure(this.#configuration());
        }
    }

    /** Checks that the runs of a task's organisation, as its workers have them, are within its recent limits. */
    #checkLimit(task: TaskAddress): void {
        const name = this.#organisationOf(task);
        const limit = name === undefined ? undefined : this.#limits.get(name);
        if (limit === undefined) {
            return;
        }
        const now = this.clock.monotonic();
        const maxCores = Math.max(
            limit.cores,
            ...limit.former.filter(({ until }) => until >= now).map(({ cores }) => cores),
        );
        const runs = [...this.#links.values()].flatMap(({ worker }) => worker.isUp ? worker.runs : []);
        const used = runs
            .filter(run => this.#organisationOf(run.task) === name)
            .reduce((sum, { size }) => sum + size.processorThousandths, 0);
        if (used > maxCores * 1_000) {
            this.violations.push(`${name} uses ${used} of ${maxCores * 1_000} thousandths of a processor`);
        }
    }

    #organisationOf(task: TaskAddress): string | undefined {
        return this.#jobs.get(parseTaskAddress(task)!.job)?.organisation;
    }

    #resize(link: Link, now: Milliseconds): void {
        link.former.push({ capacity: link.capacity, until: now + shrinkTime });
        const processorThousandths = 2_000 + this.#below(10_000);
        link.capacity = { ...link.capacity, processorThousandths };
        this.driver.cell.updateWorkerEntries([this.#entryOf(link)], []);
    }

    /** Restores shrunk capacities when the faults are over; otherwise a gang might never fit. */
    #restoreCapacities(now: Milliseconds): void {
        for (const link of this.#links.values()) {
            const { capacity } = link.worker;
            if (link.capacity.processorThousandths < capacity.processorThousandths) {
                link.former.push({ capacity: link.capacity, until: now + shrinkTime });
                link.capacity = capacity;
                this.driver.cell.updateWorkerEntries([this.#entryOf(link)], []);
            }
        }
    }

    #entryOf(link: Link): WorkerEntry {
        const life = link.incarnation === undefined ? {} : { life: link.incarnation };
        return makeWorker(link.worker.id, { capacity: link.capacity, ...life });
    }

    /** Largest capacity that the worker published recently, in thousandths of a processor. */
    #maxRecentCapacity({ capacity, former }: Link): number {
        const now = this.clock.monotonic();
        const counted = former.filter(({ until }) => until >= now).map(entry => entry.capacity.processorThousandths);
        return Math.max(capacity.processorThousandths, ...counted);
    }

    #takeOver(): void {
        this.#epoch++;
        this.#advice?.dropQuestions();
        this.driver.takeOver();
        this.driver.cell.configure(this.#configuration());
        for (const link of this.#links.values()) {
            link.token = this.#tokenBase();
            link.isNewLink = true;
            link.reportedThrough = 0;
            link.forgetThrough = 0;
            link.isSilent = false;
        }
        const entries = [...this.#links.values()].map(link => this.#entryOf(link));
        this.driver.cell.replaceWorkerEntries(entries);
        // Callers submit jobs again, because those whose records were not committed are unknown to the new owner.
        this.#jobs.forEach(definition => this.driver.cell.submit(definition));
    }

    #crash(link: Link): void {
        link.worker.crash();
        if (this.#restarts++ % 2 === 0) {
            this.#restart(link);
            return;
        }
        this.#links.delete(link.worker.id);
        this.driver.cell.applyReplacement(link.worker.id);
        this.#addWorker();
    }

    /** Restarts a worker immediately under its id. The owner learns of it at the next poll. */
    #restart(link: Link): void {
        link.worker = new FakeWorker(link.worker.id, link.worker.capacity);
        link.incarnation = workerIncarnation(this.#restarts);
        link.isRestarted = true;
    }

    /** Replaces the link to the former incarnation when the new one answers for the first time. */
    #replaceLink(link: Link): void {
        link.isRestarted = false;
        link.isNewLink = true;
        link.forgetThrough = 0;
        link.reportedThrough = 0;
        link.token = this.#tokenBase() + this.#restarts * tokensPerIncarnation;
        this.driver.cell.applyRestart(link.worker.id, link.incarnation!);
        this.driver.cell.updateWorkerEntries([this.#entryOf(link)], []);
    }

    #poll(link: Link, now: Milliseconds): void {
        if (now < link.unreachableUntil) {
            if (!link.isSilent) {
                link.isSilent = true;
                this.driver.cell.applySilence(link.worker.id, Math.max(now, link.worker.leaseUntil));
            }
            return;
        }
        if (link.isRestarted) {
            this.#replaceLink(link);
        }
        const poll = link.worker.poll(fencingToken(link.token), link.forgetThrough, now + lease, now);
        if (poll === undefined) {
            this.violations.push(`${link.worker.id} refused the owner's token`);
            return;
        }
        const fresh = poll.ended.filter(end => end.number > link.reportedThrough);
        fresh.forEach(end => this.#countEnd(end));
        link.reportedThrough = Math.max(link.reportedThrough, ...fresh.map(end => end.number));
        const resolvedBefore = link.isNewLink ? now : -Infinity;
        link.isNewLink = false;
        link.isSilent = false;
        this.driver.cell.applyPoll(link.worker.id, { ...poll, ended: fresh }, now, resolvedBefore);
    }

    #start(command: StartCommand, now: Milliseconds, hasFaults: boolean): void {
        const link = this.#links.get(command.worker);
        if (link === undefined) {
            return;
        }
        const isUnreachable = now < link.unreachableUntil;
        if (!isUnreachable && !(hasFaults && this.#happens(this.faults.start))) {
            this.#deliver(link, link.worker, link.token, command, true);
            return;
        }
        const { token, worker } = link;
        if (!isUnreachable && this.#happens(0.5)) {
            this.#deliver(link, worker, token, command, false);
        }
        else {
            this.#lateStarts.push({ at: now + this.#below(3 * lease), link, worker, token, command });
        }
        this.#resolveStart(link, command, now);
    }

    /** Resolves a start without an answer: raises the token, so that the next poll is conclusive. */
    #resolveStart(link: Link, { worker, task, run }: StartCommand, now: Milliseconds): void {
        link.token++;
        if (now < link.unreachableUntil) {
            // The link keeps polling, and the first answer of the worker resolves this start too.
            link.isNewLink = true;
            return;
        }
        this.#poll(link, now);
        this.driver.cell.startRefused(worker, task, run, undefined);
    }

    #deliverLate(now: Milliseconds): void {
        const due = this.#lateStarts.filter(start => start.at <= now);
        this.#lateStarts = this.#lateStarts.filter(start => start.at > now);
        due.forEach(({ link, worker, token, command }) => this.#deliver(link, worker, token, command, false));
    }

    #deliver(link: Link, worker: FakeWorker, token: number, command: StartCommand, isAnswered: boolean): void {
        if (!worker.isUp) {
            return;
        }
        if (this.#advice?.isTicketValid(command, this.clock.monotonic()) === false) {
            this.#refuseTicket(link, command, isAnswered);
            return;
        }
        const definition = this.#stepOf(command.task);
        const before = worker.runs.length;
        const refusal = worker.start(command, fencingToken(token), this.#taskOf(definition), this.clock.monotonic());
        if (worker.runs.length > before) {
            this.#checkStart(worker, command, definition);
            this.#checkLimit(command.task);
        }
        if (isAnswered && refusal === undefined) {
            this.driver.cell.startAccepted(command.worker, command.task, command.run);
        }
        else if (isAnswered) {
            this.driver.cell.startRefused(link.worker.id, command.task, command.run, refusal);
        }
    }

    #refuseTicket(link: Link, { task, run }: StartCommand, isAnswered: boolean): void {
        if (isAnswered) {
            this.driver.cell.startRefused(link.worker.id, task, run, OrderRefusal.Ticket);
        }
    }

    #stop({ worker, task, run }: StopCommand, now: Milliseconds): void {
        const link = this.#links.get(worker);
        if (link !== undefined && now >= link.unreachableUntil) {
            link.worker.stop(task, run, fencingToken(link.token));
        }
    }

    #taskOf(step: StepDefinition): FakeTask {
        return {
            size: step.size,
            duration: 50 + this.#below(1_500),
            end: this.#happens(this.faults.fail) ? RunEnd.Failed : RunEnd.Done,
        };
    }

    #stepOf(task: TaskAddress): StepDefinition {
        const coordinates = parseTaskAddress(task)!;
        return this.#jobs.get(coordinates.job)!.steps[coordinates.step];
    }

    /** Counts an end once, however many owners it is reported to. */
    #countEnd({ task, run, end }: EndedRun): void {
        const name = `${task}#${run}`;
        if (this.#countedEnds.has(name)) {
            return;
        }
        this.#countedEnds.add(name);
        if (end === RunEnd.Done) {
            this.#done.add(task);
        }
        if (end === RunEnd.Failed) {
            this.#failures.set(task, (this.#failures.get(task) ?? 0) + 1);
        }
    }

    /** Checks the invariants that apply when a worker starts a run. */
    #checkStart(worker: FakeWorker, { task, payload }: StartCommand, step: StepDefinition): void {
        const coordinates = parseTaskAddress(task)!;
        for (const { worker: other } of this.#links.values()) {
            const copies = other.runs.filter(run => run.task === task).length - (other === worker ? 1 : 0);
            if (copies > 0) {
                this.violations.push(`${task} runs twice, at ${other.id} and ${worker.id}`);
            }
        }
        const used = worker.runs.reduce((sum, run) => sum + run.size.processorThousandths, 0);
        const link = this.#links.get(worker.id);
        if (link !== undefined && used > this.#maxRecentCapacity(link)) {
            this.violations.push(`${worker.id} is overcommitted with ${used} thousandths of a processor`);
        }
        if (this.#isDone(task)) {
            this.violations.push(`${task} started after it was done`);
        }
        for (const before of step.after) {
            const tasks = this.#jobs.get(coordinates.job)!.steps[before].taskCount;
            const isOpen = Array.from({ length: tasks }, (_, index) => index)
                .some(index => !this.#isDoneOrGangDone(coordinates.job, before, index));
            if (isOpen) {
                this.violations.push(`${task} started before step ${before} was done`);
            }
        }
        if ((this.#failures.get(task) ?? 0) >= maxFailures) {
            this.violations.push(`${task} started after ${maxFailures} failed runs`);
        }
        const sameStep =
            worker.runs.filter(run => run.task.startsWith(`${coordinates.job}/0/${coordinates.step}/`)).length;
        if (step.mostPerWorker !== undefined && sameStep > step.mostPerWorker) {
            this.violations.push(`${worker.id} has ${sameStep} tasks of ${coordinates.job}/0/${coordinates.step}`);
        }
        if (payload !== this.#jobs.get(coordinates.job)!.payload) {
            this.violations.push(`${task} started with another payload`);
        }
    }

    #isDone(task: TaskAddress): boolean {
        return this.#done.has(task);
    }

    #isDoneOrGangDone(job: string, step: number, index: number): boolean {
        const { isGang, taskCount } = this.#jobs.get(job)!.steps[step];
        const indexes = isGang ? Array.from({ length: taskCount }, (_, other) => other) : [index];
        return indexes.some(other => this.#done.has(`${job}/0/${step}/${other}` as TaskAddress));
    }

    #happens(probability: number): boolean {
        return this.#random.next() < probability;
    }

    #below(limit: number): number {
        return Math.floor(this.#random.next() * limit);
    }
}
