/** The owner's work: drives the decisions with what the VMs, the store and time bring, and carries them out. */
import {
    AdviceDispatcher,
    type CellConfiguration,
    type CellRecord,
    CellScheduler,
    type CellSnapshot,
    type UpkeepWave,
} from "@pebbledale/cell";
import { fencingToken, JournalFencedError, logEvents, type Milliseconds } from "@pebbledale/core";
import { configurationGrace } from "../configuration/index.js";
import { FollowLoop } from "../following/index.js";
import type { EntryVm } from "../membership/index.js";
import {
    type Channel,
    type OwnerMessage,
    type OwnerReply,
    type OwnerRequest,
    type VmMessage,
} from "../protocol/index.js";
import type { StoreRelay } from "../store-relay/index.js";
import { Assignments } from "./assignments.js";
import {
    confirmationHorizon,
    longestFreeze,
    muchLarger,
    offerAfter,
    ownerBeatInterval,
    storeAnswerLook,
    storeWaitBeforeHandOver,
    summaryInterval,
    tickInterval,
    vmSilence,
} from "./constants.js";
import { FollowedWorkers } from "./followed-workers.js";
import { Interval } from "./interval.js";
import { OutageLog } from "./outage-log.js";
import { relayOrder } from "./relay-order.js";
import { RequestDesk } from "./request-desk.js";
import { chooseSuccessor } from "./successor.js";
import { TurnRunner } from "./turn-runner.js";
import { HandOverOutcome, type OwnerSessionOptions } from "./types.js";
import { UpkeepKeeper } from "./upkeep-keeper.js";
import { VmLink } from "./vm-link.js";
import { WorkerInbox } from "./worker-inbox.js";

/** See the module's comment. */
export class OwnerSession {
    readonly cell: CellScheduler;
    readonly #vms = new Map<string, VmLink>();
    readonly #assignments: Assignments;
    readonly #advice: AdviceDispatcher;
    readonly #requests: RequestDesk;
    readonly #outages: OutageLog;
    readonly #upkeep: UpkeepKeeper | undefined;
    #configuration: CellConfiguration | undefined;
    readonly #turns: TurnRunner;
    readonly #beat: Interval;
    readonly #summary: Interval;
    readonly #workerEntries: FollowLoop;
    readonly #workerInbox: WorkerInbox;
    /** Whether the cell is given up, at once or when the store answers. */
    #isOffered = false;
    /** Whether it is being handed over: nothing is answered any more. */
    #isHandingOver = false;
    #nextRelay = 0;

    constructor(private readonly options: OwnerSessionOptions) {
        const { clock, logger, journal, contents, name } = options;
        this.cell = new CellScheduler({
            clock,
            log: logger,
            onWorkerLeaves: worker => this.#assignments.vmOf(worker)?.channel.send({ kind: "worker-leaves", worker }),
        });
        this.cell.recover(
            contents.snapshot as CellSnapshot | undefined,
            contents.records as readonly CellRecord[],
        );
        journal.setSnapshotSource(() => this.cell.snapshot());
        this.#assignments = new Assignments(journal.epoch, name, () => clock.monotonic());
        this.#workerInbox = new WorkerInbox({
            cell: this.cell,
            assignments: this.#assignments,
            clock,
            formerLeasesOverAt: clock.monotonic() + options.formerLeases,
            onFenced: worker => this.stepDown(`worker ${worker} has seen a later owner`),
        });
        this.#beat = new Interval(clock, ownerBeatInterval);
        this.#summary = new Interval(clock, summaryInterval);
        this.#advice = new AdviceDispatcher(() => clock.monotonic(), this.cell);
        this.#turns = new TurnRunner({
            cell: this.cell,
            journal,
            clock,
            confirmedAt: options.confirmedAt,
            confirm: options.confirm,
            advice: this.#advice,
            assignments: this.#assignments,
            lost: options.lost,
            onNewWorkers: () => this.#balance(),
        });
        this.#workerEntries = new FollowLoop({
            followed: new FollowedWorkers(options.directory, this.cell),
            clock,
            limits: options.followLimits,
            onAnswer: () => this.#turns.request(),
            onFailure: (cause, age) => this.#noteEntriesUnheard(cause, age),
        });
        this.#outages = new OutageLog({ journal, clock, logger });
        this.#requests = new RequestDesk({
            cell: this.cell,
            journal,
            clock,
            lost: options.lost.signal,
            turn: () => this.#turns.run(),
            isConfirmed: () => this.#doesKeyStand,
            outages: this.#outages,
        });
        this.#upkeep = options.upkeep && new UpkeepKeeper({
            ...options.upkeep,
            clock,
            logger,
            orderer: { holder: name, token: fencingToken(journal.epoch) },
            workerOf: worker => this.cell.plannedWorkerOf(worker),
            closeWorkers: closed => this.cell.closeWorkers(closed),
            signal: options.lost.signal,
        });
        if (options.configuration !== undefined) {
            this.configure(options.configuration);
        }
    }

    /** The epoch of this owner. */
    get epoch(): number {
        return this.options.journal.epoch;
    }

    /** Gives the cell up: there is another owner. */
    stepDown(reason: string): void {
        this.options.lost.abort(new JournalFencedError(reason));
    }

    /** Serves until `lost` fires. */
    async run(): Promise<void> {
        const { lost, clock, metrics } = this.options;
        const following = this.#workerEntries.run(lost.signal);
        while (!lost.signal.aborted) {
            this.cell.tick();
            this.#dropSilentVms();
            this.#lookForLarger();
            this.#outages.look();
            this.#beat.runIfDue(() => this.#sendBeats());
            this.#summary.runIfDue(() => this.#tellSummary());
            this.#turns.request();
            await clock.sleep(tickInterval, lost.signal);
        }
        metrics.noteCell(undefined);
        await following;
        this.#vms.forEach(vm => vm.channel.close());
        this.#vms.clear();
    }

    #sendBeats(): void {
        const mayLease = this.#isConfirmed;
        this.#vms.forEach(vm => vm.channel.send({ kind: "beat", mayLease }));
    }

    /** Whether the store has confirmed lately that this VM owns the cell. */
    get #isConfirmed(): boolean {
        return this.#isWithin(this.options.confirmedAt(), confirmationHorizon);
    }

    /** Whether nobody else can have claimed the cell: its key has surely not run out. */
    get #doesKeyStand(): boolean {
        return this.#isWithin(this.options.keyConfirmedAt(), this.options.ownerLease);
    }

    /** Whether less than a time, all of which was counted, has passed since a moment. */
    #isWithin(moment: Milliseconds, time: Milliseconds): boolean {
        const { clock } = this.options;
        return clock.monotonic() - moment < time && moment >= clock.countedSince();
    }

    #tellSummary(): void {
        const { logger, journal, metrics } = this.options;
        const summary = this.cell.summary();
        const journalWait = Math.round(journal.waitingFor());
        const entriesAge = this.#workerEntries.age;
        const age = entriesAge === undefined ? {} : { entriesAge: Math.round(entriesAge) };
        logger.log(logEvents.cellSummary, { ...summary, journalWait, ...age });
        metrics.noteCell({ summary, journalWait, entriesAge: entriesAge ?? 0 });
    }

    #noteEntriesUnheard(cause: unknown, age: Milliseconds | undefined): void {
        this.options.logger.log(logEvents.workerListUnavailable, {
            cause: String(cause),
            ...(age === undefined ? {} : { age: Math.round(age) }),
        });
        this.#turns.request();
    }

    /** Takes a newer configuration and passes it on. */
    configure(configuration: CellConfiguration): void {
        if (configuration.version <= (this.#configuration?.version ?? 0)) {
            return;
        }
        this.#configuration = configuration;
        this.cell.configure(configuration);
        this.#vms.forEach(vm => vm.channel.send({ kind: "configuration-version", version: configuration.version }));
        this.#turns.request();
    }

    /** Takes waves of upkeep in. */
    addWaves(waves: readonly UpkeepWave[]): void {
        this.#upkeep?.add(waves);
    }

    /** Whether a VM is connected. */
    isConnected(name: string): boolean {
        return this.#vms.has(name);
    }

    /** How long a connected VM has not been heard. */
    silenceOf(name: string): Milliseconds {
        const { clock } = this.options;
        return clock.monotonic() - (this.#vms.get(name)?.heardAt ?? clock.monotonic());
    }

    /** Takes a connection to a VM into use. */
    connect(vm: EntryVm, channel: Channel<OwnerMessage, VmMessage>): void {
        const { clock, journal, name } = this.options;
        const link = new VmLink(vm, channel, clock.monotonic());
        this.#drop(this.#vms.get(vm.name));
        this.#vms.set(vm.name, link);
        channel.onMessage = message => this.#take(link, message);
        channel.onClose = () => this.#drop(link);
        channel.send({ kind: "welcome", epoch: journal.epoch, owner: name });
        if (this.#configuration !== undefined) {
            channel.send({ kind: "configuration-version", version: this.#configuration.version });
        }
        this.#advice.join(
            vm.name,
            (question, { step, workers }, duration) => channel.send({ kind: "ask", question, step, workers, duration }),
        );
        this.#balance();
        this.#assignments.even(this.cell.workers, link, [...this.#vms.values()]);
    }

    /** VMs that can make calls of the store for this one, those first whose last call was answered. */
    storeRelays(): StoreRelay[] {
        const others = [...this.#vms.values()].filter(link => link.vm.name !== this.options.name);
        return relayOrder(others, this.#nextRelay++).map(link => operation => link.callStore(operation));
    }

    /**
     * Gives the cell to another VM once all that was accepted is kept. While the store is silent nobody could claim the cell, so it
     * is served on for some time, and nothing has changed where the store stays silent.
     */
    async handOver(): Promise<HandOverOutcome> {
        this.#isOffered = true;
        if (!await this.#doesStoreAnswer(storeWaitBeforeHandOver)) {
            this.#isOffered = false;
            return HandOverOutcome.StoreSilent;
        }
        const successor = chooseSuccessor(this.#vms.values(), this.options.name);
        this.#isHandingOver = true;
        this.#turns.freeze();
        // A record that is not kept by then may be found by the next owner; no caller was told that it is.
        const kept = this.#turns.untilKept().catch((cause: unknown) => this.options.lost.abort(cause));
        await Promise.race([kept, this.options.clock.sleep(longestFreeze, this.options.lost.signal)]);
        successor?.channel.send({ kind: "hand-over" });
        return successor === undefined ? HandOverOutcome.NoSuccessor : HandOverOutcome.Offered;
    }

    /** Whether the store answers a call that is made from now on, waited for up to a limit. */
    async #doesStoreAnswer(limit: Milliseconds): Promise<boolean> {
        const { clock, lost, confirm, confirmedAt } = this.options;
        const since = clock.monotonic();
        confirm();
        while (confirmedAt() < since && clock.monotonic() - since < limit && !lost.signal.aborted) {
            await clock.sleep(storeAnswerLook, lost.signal);
        }
        return confirmedAt() >= since;
    }

    /** A VM knows a newer configuration: it is asked for it, unless the store shows it meanwhile. */
    async #wantConfiguration(link: VmLink, version: number): Promise<void> {
        await this.options.clock.sleep(configurationGrace, this.options.lost.signal);
        if (version > (this.#configuration?.version ?? 0)) {
            link.channel.send({ kind: "want-configuration" });
        }
    }

    #sendConfiguration(link: VmLink): void {
        if (this.#configuration !== undefined) {
            link.channel.send({ kind: "configuration", configuration: this.#configuration });
        }
    }

    /** A VM is about to stop: its links and questions go to others. */
    #takeLeave(link: VmLink): void {
        link.isLeaving = true;
        this.#advice.leave(link.vm.name);
        for (const worker of link.workers) {
            link.channel.send({ kind: "unassign", worker });
        }
        this.#assignments.removeAll(link);
        this.#balance();
    }

    /** Gives workers without a link to VMs that stay. */
    #balance(): void {
        const staying = [...this.#vms.values()].filter(link => !link.isLeaving);
        const vms = staying.length > 0 ? staying : [...this.#vms.values()];
        this.#assignments.balance(this.cell.workers.values(), vms);
    }

    #drop(link: VmLink | undefined): void {
        if (link === undefined || this.#vms.get(link.vm.name) !== link) {
            return;
        }
        this.#vms.delete(link.vm.name);
        link.channel.close();
        link.dropCalls();
        this.#advice.leave(link.vm.name);
        this.#assignments.removeAll(link);
        this.#balance();
    }

    /** Offers the cell to a VM that can do much more of its work. */
    #lookForLarger(): void {
        const now = this.options.clock.monotonic();
        const own = this.#vms.get(this.options.name)?.vm.processorShare ?? Infinity;
        const isLarger = (link: VmLink) =>
            !link.isLeaving && link.vm.processorShare >= own * muchLarger && now - link.connectedAt > offerAfter;
        if (!this.#isOffered && this.#isConfirmed && [...this.#vms.values()].some(isLarger)) {
            this.options.onLargerVm();
        }
    }

    #dropSilentVms(): void {
        const now = this.options.clock.monotonic();
        for (const link of [...this.#vms.values()]) {
            if (now - link.heardAt > vmSilence) {
                this.options.onSilentVm(link.vm.name);
                this.#drop(link);
            }
        }
        if (this.options.isCutOff()) {
            // Others that reach each other serve better; without a claim of theirs this VM comes back.
            this.stepDown("this VM is cut off from most of the others");
        }
    }

    #take(link: VmLink, message: VmMessage): void {
        link.heardAt = this.options.clock.monotonic();
        switch (message.kind) {
            case "request":
                void this.#answer(link, message.request, message.body);
                break;
            case "configuration":
                this.options.onConfiguration(message.configuration);
                break;
            case "configuration-version":
                void this.#wantConfiguration(link, message.version);
                return;
            case "want-configuration":
                this.#sendConfiguration(link);
                return;
            case "advised": {
                const command = this.#advice.answered(message.question);
                if (command !== undefined) {
                    this.cell.takeAdvice(command.step, command.workers, message.answer, message.cause);
                }
                break;
            }
            case "store-answer":
                link.takeStoreAnswer(message.call, message.isAnswered, message.answer, message.cause);
                return;
            case "leaving":
                this.#takeLeave(link);
                break;
            case "beat":
            case "owner-heard":
                return;
            default:
                this.#workerInbox.take(link, message);
        }
        this.#turns.request();
    }

    async #answer(link: VmLink, request: number, body: OwnerRequest): Promise<void> {
        const reply: OwnerReply = this.#isHandingOver
            ? { kind: "handing-over" }
            : await this.#requests.reply(body);
        // What is uncertain as the cell is handed over meanwhile is asked of the next owner again by the front.
        if (!this.#isHandingOver || reply.kind !== "uncertain") {
            link.channel.send({ kind: "reply", request, reply });
        }
    }
}
