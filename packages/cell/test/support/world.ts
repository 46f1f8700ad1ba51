/**
 * A small cell under random faults: workers that keep their protocol's rules, links that lose and delay messages, and
 * owners that die. What must always hold is checked at the workers, whatever the owner believes.
 */
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
const mostFailures = 3;
/** A link to a later life of a worker has higher tokens. */
const tokensPerLife = 1_000;
/** A room that has shrunk counts from this long after the worker said so (the users' rules: three seconds and a beat). */
const shrinkTime: Milliseconds = 4_500;

/** How likely each fault is in one step of time, from 0 to 1. */
export interface Faults {
    readonly crash: number;
    readonly cut: number;
    readonly takeOver: number;
    readonly cancel: number;
    /** Of each start: lost, answered late, or carried out late. */
    readonly start: number;
    /** Of each run: its task fails. */
    readonly fail: number;
    /** A worker's room shrinks or grows. Undefined where it never does. */
    readonly resize?: number;
    /** The limit of an organisation falls or rises. Undefined where nobody is told apart. */
    readonly limits?: number;
    /** Of each question to the advice service: it gets no answer. Undefined where nothing is advised on. */
    readonly advice: number | undefined;
}

/** No faults. */
export const noFaults: Faults = { crash: 0, cut: 0, takeOver: 0, cancel: 0, start: 0, fail: 0, advice: undefined };

/** What an organisation may have at work, in cores: as it begins and ends, the least, and by how much it may be more. */
const usualLimit = 24;
const leastLimit = 4;
const limitRange = 36;
/** A start that is carried out late was decided on so long ago at the most. */
const latestStart: Milliseconds = 3 * lease;

/** What an organisation may have at work, and until when what it might have before still counts. */
interface Limit {
    cores: number;
    former: { readonly cores: number; readonly until: Milliseconds; }[];
}

interface Link {
    worker: FakeWorker;
    /** What the worker says of its room, and until when what it said before still counts. */
    room: TaskSize;
    former: { readonly room: TaskSize; readonly until: Milliseconds; }[];
    token: number;
    forgetThrough: number;
    cutUntil: Milliseconds;
    isAssigned: boolean;
    isSilent: boolean;
    reportedThrough: number;
    /** The present life, once the worker was started again. */
    incarnation: WorkerIncarnation | undefined;
    /** Whether it was started again and the owner has not heard of it. */
    isRestarted: boolean;
}

interface LateStart {
    readonly at: Milliseconds;
    readonly link: Link;
    readonly worker: FakeWorker;
    readonly token: number;
    readonly command: StartCommand;
}

/** See the module's comment. */
export class SimulatedCell {
    readonly clock = new ManualClock();
    readonly driver: CellDriver;
    /** What was broken, in words. */
    readonly violations: string[] = [];
    readonly #random: SeededRandom;
    readonly #advice: FakeAdvice | undefined;
    readonly #links = new Map<string, Link>();
    readonly #jobs = new Map<string, JobDefinition>();
    readonly #done = new Set<TaskAddress>();
    readonly #countedEnds = new Set<string>();
    readonly #failures = new Map<TaskAddress, number>();
    readonly #cancelled = new Set<string>();
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
            ["north", "south"].forEach(name => this.#limits.set(name, { cores: usualLimit, former: [] }));
        }
        this.driver = new CellDriver(this.clock, this.#configuration());
        for (let index = 0; index < workers; index++) {
            this.#addWorker();
        }
    }

    /** Jobs that were handed in. */
    get jobs(): ReadonlyMap<string, JobDefinition> {
        return this.#jobs;
    }

    /** Whether every job has its final state. */
    get isFinished(): boolean {
        return [...this.#jobs.keys()].every(id => {
            const state = this.driver.cell.stateOf(jobId(id));
            return state !== undefined && isTerminalState(state);
        });
    }

    /** Hands a random job in. */
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

    /** One step of time under the faults, or without them. */
    step(hasFaults: boolean): void {
        this.clock.advance(stepTime);
        const now = this.clock.monotonic();
        this.#links.forEach(link => link.worker.tick(now));
        this.#deliverLate(now);
        if (hasFaults) {
            this.#injectFaults(now);
        }
        else {
            this.#restoreRooms(now);
            this.#limits.forEach((_, name) => this.#changeLimit(name, usualLimit));
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
            room: entry.capacity,
            former: [],
            token: this.#tokenBase(),
            forgetThrough: 0,
            cutUntil: 0,
            isAssigned: true,
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
            else if (this.#happens(this.faults.cut)) {
                link.cutUntil = now + this.#below(3 * lease);
            }
            else if (this.#happens(this.faults.resize ?? 0)) {
                this.#resize(link, now);
            }
        }
        for (const name of this.#limits.keys()) {
            if (this.#happens(this.faults.limits ?? 0)) {
                this.#changeLimit(name, leastLimit + this.#below(limitRange));
            }
        }
        const ids = [...this.#jobs.keys()];
        if (ids.length > 0 && this.#happens(this.faults.cancel)) {
            const id = ids[this.#below(ids.length)];
            if (this.driver.cell.cancel(jobId(id))) {
                this.#cancelled.add(id);
            }
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
            limit.former.push({ cores: limit.cores, until: this.clock.monotonic() + latestStart });
            limit.cores = cores;
            this.#version++;
            this.driver.cell.configure(this.#configuration());
        }
    }

    /** Whether the organisation of a task has more at work, as the workers have it, than it might have of late. */
    #checkLimit(task: TaskAddress): void {
        const name = this.#organisationOf(task);
        const limit = name === undefined ? undefined : this.#limits.get(name);
        if (limit === undefined) {
            return;
        }
        const now = this.clock.monotonic();
        const most = Math.max(
            limit.cores,
            ...limit.former.filter(({ until }) => until >= now).map(({ cores }) => cores),
        );
        const runs = [...this.#links.values()].flatMap(({ worker }) => worker.isUp ? worker.runs : []);
        const used = runs
            .filter(run => this.#organisationOf(run.task) === name)
            .reduce((sum, { size }) => sum + size.processorThousandths, 0);
        if (used > most * 1_000) {
            this.violations.push(`${name} has ${used} of ${most * 1_000} at work`);
        }
    }

    #organisationOf(task: TaskAddress): string | undefined {
        return this.#jobs.get(parseTaskAddress(task)!.job)?.organisation;
    }

    #resize(link: Link, now: Milliseconds): void {
        link.former.push({ room: link.room, until: now + shrinkTime });
        const processorThousandths = 2_000 + this.#below(10_000);
        link.room = { ...link.room, processorThousandths };
        this.driver.cell.updateWorkerEntries([this.#entryOf(link)], []);
    }

    /** Rooms that have shrunk grow again once the faults are over: else a gang may be too wide for ever. */
    #restoreRooms(now: Milliseconds): void {
        for (const link of this.#links.values()) {
            const { capacity } = link.worker;
            if (link.room.processorThousandths < capacity.processorThousandths) {
                link.former.push({ room: link.room, until: now + shrinkTime });
                link.room = capacity;
                this.driver.cell.updateWorkerEntries([this.#entryOf(link)], []);
            }
        }
    }

    #entryOf(link: Link): WorkerEntry {
        const life = link.incarnation === undefined ? {} : { life: link.incarnation };
        return makeWorker(link.worker.id, { capacity: link.room, ...life });
    }

    /** The most that the worker has said of late. */
    #roomOf({ room, former }: Link): number {
        const now = this.clock.monotonic();
        const counted = former.filter(({ until }) => until >= now).map(entry => entry.room.processorThousandths);
        return Math.max(room.processorThousandths, ...counted);
    }

    #takeOver(): void {
        this.#epoch++;
        this.#advice?.dropQuestions();
        this.driver.takeOver();
        this.driver.cell.configure(this.#configuration());
        for (const link of this.#links.values()) {
            link.token = this.#tokenBase();
            link.isAssigned = true;
            link.reportedThrough = 0;
            link.forgetThrough = 0;
            link.isSilent = false;
        }
        const entries = [...this.#links.values()].map(link => this.#entryOf(link));
        this.driver.cell.replaceWorkerEntries(entries);
        // A job whose record was not kept is not known to its caller either: it is handed in again.
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

    /** The worker is back at once under its id; its entry comes with its next look, or some time after. */
    #restart(link: Link): void {
        link.worker = new FakeWorker(link.worker.id, link.worker.capacity);
        link.incarnation = workerIncarnation(this.#restarts);
        link.isRestarted = true;
    }

    /** The link of the former life ends with the first answer of the next one. */
    #noteRestart(link: Link): void {
        link.isRestarted = false;
        link.isAssigned = true;
        link.forgetThrough = 0;
        link.reportedThrough = 0;
        link.token = this.#tokenBase() + this.#restarts * tokensPerLife;
        this.driver.cell.applyRestart(link.worker.id, link.incarnation!);
        this.driver.cell.updateWorkerEntries([this.#entryOf(link)], []);
    }

    #poll(link: Link, now: Milliseconds): void {
        if (now < link.cutUntil) {
            if (!link.isSilent) {
                link.isSilent = true;
                this.driver.cell.applySilence(link.worker.id, Math.max(now, link.worker.leaseUntil));
            }
            return;
        }
        if (link.isRestarted) {
            this.#noteRestart(link);
        }
        const look = link.worker.poll(fencingToken(link.token), link.forgetThrough, now + lease, now);
        if (look === undefined) {
            this.violations.push(`${link.worker.id} refuses the owner's token`);
            return;
        }
        const fresh = look.ended.filter(end => end.number > link.reportedThrough);
        fresh.forEach(end => this.#countEnd(end));
        link.reportedThrough = Math.max(link.reportedThrough, ...fresh.map(end => end.number));
        const settledBefore = link.isAssigned ? now : -Infinity;
        link.isAssigned = false;
        link.isSilent = false;
        this.driver.cell.applyPoll(link.worker.id, { ...look, ended: fresh }, now, settledBefore);
    }

    #start(command: StartCommand, now: Milliseconds, hasFaults: boolean): void {
        const link = this.#links.get(command.worker);
        if (link === undefined) {
            return;
        }
        const isCut = now < link.cutUntil;
        if (!isCut && !(hasFaults && this.#happens(this.faults.start))) {
            this.#deliver(link, link.worker, link.token, command, true);
            return;
        }
        const { token, worker } = link;
        if (!isCut && this.#happens(0.5)) {
            this.#deliver(link, worker, token, command, false);
        }
        else {
            this.#lateStarts.push({ at: now + this.#below(3 * lease), link, worker, token, command });
        }
        this.#settle(link, command, now);
    }

    /** No answer: the token is raised, and the next look is final. */
    #settle(link: Link, { worker, task, run }: StartCommand, now: Milliseconds): void {
        link.token++;
        if (now < link.cutUntil) {
            // The link goes on asking; what it finds once the worker answers settles this start too.
            link.isAssigned = true;
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
        if (link !== undefined && now >= link.cutUntil) {
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
        const place = parseTaskAddress(task)!;
        return this.#jobs.get(place.job)!.steps[place.step];
    }

    /** An end that another owner sees again counts once. */
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

    /** What must hold whenever a worker begins a run. */
    #checkStart(worker: FakeWorker, { task, payload }: StartCommand, step: StepDefinition): void {
        const place = parseTaskAddress(task)!;
        for (const { worker: other } of this.#links.values()) {
            const copies = other.runs.filter(run => run.task === task).length - (other === worker ? 1 : 0);
            if (copies > 0) {
                this.violations.push(`${task} runs twice, at ${other.id} and ${worker.id}`);
            }
        }
        const used = worker.runs.reduce((sum, run) => sum + run.size.processorThousandths, 0);
        const link = this.#links.get(worker.id);
        if (link !== undefined && used > this.#roomOf(link)) {
            this.violations.push(`${worker.id} is given ${used}`);
        }
        if (this.#isDone(task)) {
            this.violations.push(`${task} starts after it was done`);
        }
        for (const before of step.after) {
            const tasks = this.#jobs.get(place.job)!.steps[before].taskCount;
            const isOpen = Array.from({ length: tasks }, (_, index) => index)
                .some(index => !this.#isDoneOrGangDone(place.job, before, index));
            if (isOpen) {
                this.violations.push(`${task} starts before step ${before} is done`);
            }
        }
        if ((this.#failures.get(task) ?? 0) >= mostFailures) {
            this.violations.push(`${task} starts after ${mostFailures} failed runs`);
        }
        const sameStep = worker.runs.filter(run => run.task.startsWith(`${place.job}/0/${place.step}/`)).length;
        if (step.mostPerWorker !== undefined && sameStep > step.mostPerWorker) {
            this.violations.push(`${worker.id} has ${sameStep} tasks of ${place.job}/0/${place.step}`);
        }
        if (payload !== this.#jobs.get(place.job)!.payload) {
            this.violations.push(`${task} starts with another payload`);
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
