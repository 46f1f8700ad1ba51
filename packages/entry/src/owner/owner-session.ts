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
import { configurationFetchDelay } from "../configuration/index.js";
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
    confirmationValidity,
    handOverCommitTimeout,
    handOverSizeRatio,
    handOverStoreTimeout,
    minConnectedTimeBeforeHandOver,
    ownerHeartbeatInterval,
    storeAnswerPollInterval,
    summaryInterval,
    tickInterval,
    vmSilenceTimeout,
} from "./constants.js";
import { WorkerEntryFollowSource } from "./followed-workers.js";
import { IntervalTimer } from "./interval.js";
import { JournalOutageLog } from "./outage-log.js";
import { relayOrder } from "./relay-order.js";
import { RequestHandler } from "./request-desk.js";
import { chooseSuccessor } from "./successor.js";
import { TurnRunner } from "./turn-runner.js";
import { HandOverOutcome, type OwnerSessionOptions } from "./types.js";
import { UpkeepController } from "./upkeep-keeper.js";
import { VmLink } from "./vm-link.js";
import { WorkerReportHandler } from "./worker-inbox.js";

/** See the module's comment. */
export class OwnerSession {
    readonly cell: CellScheduler;
    readonly #vms = new Map<string, VmLink>();
    readonly #assignments: Assignments;
    readonly #advice: AdviceDispatcher;
    readonly #requestHandler: RequestHandler;
    readonly #outageLog: JournalOutageLog;
    readonly #upkeepController: UpkeepController | undefined;
    #configuration: CellConfiguration | undefined;
    readonly #turnRunner: TurnRunner;
    readonly #heartbeatTimer: IntervalTimer;
    readonly #summaryTimer: IntervalTimer;
    readonly #workerFollowLoop: FollowLoop;
    readonly #reportHandler: WorkerReportHandler;
    /** Whether the cell is given up, at once or when the store answers. */
    #isCellOffered = false;
    /** Whether it is being handed over: nothing is answered any more. */
    #isHandingOver = false;
    #nextRelay = 0;

    constructor(private readonly options: OwnerSessionOptions) {
        const { clock, logger, journal, contents, name } = options;
        this.cell = new CellScheduler({
            clock,
            log: logger,
            onWorkerDraining: worker => this.#assignments.vmOf(worker)?.channel.send({ kind: "worker-leaves", worker }),
        });
        this.cell.recover(
            contents.snapshot as CellSnapshot | undefined,
            contents.records as readonly CellRecord[],
        );
        journal.setSnapshotSource(() => this.cell.snapshot());
        this.#assignments = new Assignments(journal.epoch, name, () => clock.monotonic());
        this.#reportHandler = new WorkerReportHandler({
            cell: this.cell,
            assignments: this.#assignments,
            clock,
            formerLeasesExpireAt: clock.monotonic() + options.formerLeaseLength,
            onFenced: worker => this.stepDown(`worker ${worker} has seen a later owner`),
        });
        this.#heartbeatTimer = new IntervalTimer(clock, ownerHeartbeatInterval);
        this.#summaryTimer = new IntervalTimer(clock, summaryInterval);
        this.#advice = new AdviceDispatcher(() => clock.monotonic(), this.cell);
        this.#turnRunner = new TurnRunner({
            cell: this.cell,
            journal,
            clock,
            confirmedAt: options.confirmedAt,
            confirm: options.confirm,
            advice: this.#advice,
            assignments: this.#assignments,
            lost: options.lost,
            onNewWorkers: () => this.#assignUnlinkedWorkers(),
        });
        this.#workerFollowLoop = new FollowLoop({
            source: new WorkerEntryFollowSource(options.directory, this.cell),
            clock,
            limits: options.followLimits,
            onAnswer: () => this.#turnRunner.schedule(),
            onFailure: (cause, age) => this.#noteEntriesUnavailable(cause, age),
        });
        this.#outageLog = new JournalOutageLog({ journal, clock, logger });
        this.#requestHandler = new RequestHandler({
            cell: this.cell,
            journal,
            clock,
            lost: options.lost.signal,
            runTurn: () => this.#turnRunner.run(),
            isConfirmed: () => this.#isKeyValid,
            outageLog: this.#outageLog,
        });
        this.#upkeepController = options.upkeep && new UpkeepController({
            ...options.upkeep,
            clock,
            logger,
            orderer: { holder: name, token: fencingToken(journal.epoch) },
            workerOf: worker => this.cell.plannedWorkerOf(worker),
            closeWorkers: closed => this.cell.setClosedWorkers(closed),
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
        const following = this.#workerFollowLoop.run(lost.signal);
        while (!lost.signal.aborted) {
            this.cell.tick();
            this.#dropSilentVms();
            this.#checkForLargerVm();
            this.#outageLog.check();
            this.#heartbeatTimer.runIfDue(() => this.#sendHeartbeats());
            this.#summaryTimer.runIfDue(() => this.#reportSummary());
            this.#turnRunner.schedule();
            await clock.sleep(tickInterval, lost.signal);
        }
        metrics.setCellStatistics(undefined);
        await following;
        this.#vms.forEach(vm => vm.channel.close());
        this.#vms.clear();
    }

    #sendHeartbeats(): void {
        const mayLease = this.#isConfirmed;
        this.#vms.forEach(vm => vm.channel.send({ kind: "beat", mayLease }));
    }

    /** Whether the store has confirmed lately that this VM owns the cell. */
    get #isConfirmed(): boolean {
        return this.#isRecent(this.options.confirmedAt(), confirmationValidity);
    }

    /** Whether nobody else can have claimed the cell: its key has surely not run out. */
    get #isKeyValid(): boolean {
        return this.#isRecent(this.options.keyConfirmedAt(), this.options.ownerLease);
    }

    /** Whether less than a time, all of which was counted, has passed since a moment. */
    #isRecent(moment: Milliseconds, time: Milliseconds): boolean {
        const { clock } = this.options;
        return clock.monotonic() - moment < time && moment >= clock.uninterruptedSince();
    }

    #reportSummary(): void {
        const { logger, journal, metrics } = this.options;
        const summary = this.cell.summary();
        const journalWait = Math.round(journal.waitingFor());
        const entriesAge = this.#workerFollowLoop.age;
        const age = entriesAge === undefined ? {} : { entriesAge: Math.round(entriesAge) };
        logger.log(logEvents.cellSummary, { ...summary, journalWait, ...age });
        metrics.setCellStatistics({ summary, journalWait, workerEntriesAge: entriesAge ?? 0 });
    }

    #noteEntriesUnavailable(cause: unknown, age: Milliseconds | undefined): void {
        this.options.logger.log(logEvents.workerListUnavailable, {
            cause: String(cause),
            ...(age === undefined ? {} : { age: Math.round(age) }),
        });
        this.#turnRunner.schedule();
    }

    /** Takes a newer configuration and passes it on. */
    configure(configuration: CellConfiguration): void {
        if (configuration.version <= (this.#configuration?.version ?? 0)) {
            return;
        }
        this.#configuration = configuration;
        this.cell.configure(configuration);
        this.#vms.forEach(vm => vm.channel.send({ kind: "configuration-version", version: configuration.version }));
        this.#turnRunner.schedule();
    }

    /** Takes waves of upkeep in. */
    addWaves(waves: readonly UpkeepWave[]): void {
        this.#upkeepController?.add(waves);
    }

    /** Whether a VM is connected. */
    isConnected(name: string): boolean {
        return this.#vms.has(name);
    }

    /** How long a connected VM has not been heard. */
    silenceOf(name: string): Milliseconds {
        const { clock } = this.options;
        return clock.monotonic() - (this.#vms.get(name)?.lastHeardAt ?? clock.monotonic());
    }

    /** Takes a connection to a VM into use. */
    connect(vm: EntryVm, channel: Channel<OwnerMessage, VmMessage>): void {
        const { clock, journal, name } = this.options;
        const link = new VmLink(vm, channel, clock.monotonic());
        this.#drop(this.#vms.get(vm.name));
        this.#vms.set(vm.name, link);
        channel.onMessage = message => this.#handle(link, message);
        channel.onClose = () => this.#drop(link);
        channel.send({ kind: "welcome", epoch: journal.epoch, owner: name });
        if (this.#configuration !== undefined) {
            channel.send({ kind: "configuration-version", version: this.#configuration.version });
        }
        this.#advice.join(
            vm.name,
            (question, { step, workers }, duration) => channel.send({ kind: "ask", question, step, workers, duration }),
        );
        this.#assignUnlinkedWorkers();
        this.#assignments.rebalanceTo(this.cell.workers, link, [...this.#vms.values()]);
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
        this.#isCellOffered = true;
        if (!await this.#waitForStoreAnswer(handOverStoreTimeout)) {
            this.#isCellOffered = false;
            return HandOverOutcome.StoreSilent;
        }
        const successor = chooseSuccessor(this.#vms.values(), this.options.name);
        this.#isHandingOver = true;
        this.#turnRunner.freeze();
        // A record that is not kept by then may be found by the next owner; no caller was told that it is.
        const kept = this.#turnRunner.untilCommitted().catch((cause: unknown) => this.options.lost.abort(cause));
        await Promise.race([kept, this.options.clock.sleep(handOverCommitTimeout, this.options.lost.signal)]);
        successor?.channel.send({ kind: "hand-over" });
        return successor === undefined ? HandOverOutcome.NoSuccessor : HandOverOutcome.Offered;
    }

    /** Whether the store answers a call that is made from now on, waited for up to a limit. */
    async #waitForStoreAnswer(limit: Milliseconds): Promise<boolean> {
        const { clock, lost, confirm, confirmedAt } = this.options;
        const since = clock.monotonic();
        confirm();
        while (confirmedAt() < since && clock.monotonic() - since < limit && !lost.signal.aborted) {
            await clock.sleep(storeAnswerPollInterval, lost.signal);
        }
        return confirmedAt() >= since;
    }

    /** A VM knows a newer configuration: it is asked for it, unless the store shows it meanwhile. */
    async #requestNewerConfiguration(link: VmLink, version: number): Promise<void> {
        await this.options.clock.sleep(configurationFetchDelay, this.options.lost.signal);
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
    #handleLeaving(link: VmLink): void {
        link.isLeaving = true;
        this.#advice.leave(link.vm.name);
        for (const worker of link.workers) {
            link.channel.send({ kind: "unassign", worker });
        }
        this.#assignments.removeAll(link);
        this.#assignUnlinkedWorkers();
    }

    /** Gives workers without a link to VMs that stay. */
    #assignUnlinkedWorkers(): void {
        const staying = [...this.#vms.values()].filter(link => !link.isLeaving);
        const vms = staying.length > 0 ? staying : [...this.#vms.values()];
        this.#assignments.assignUnlinked(this.cell.workers.values(), vms);
    }

    #drop(link: VmLink | undefined): void {
        if (link === undefined || this.#vms.get(link.vm.name) !== link) {
            return;
        }
        this.#vms.delete(link.vm.name);
        link.channel.close();
        link.failPendingCalls();
        this.#advice.leave(link.vm.name);
        this.#assignments.removeAll(link);
        this.#assignUnlinkedWorkers();
    }

    /** Offers the cell to a VM that can do much more of its work. */
    #checkForLargerVm(): void {
        const now = this.options.clock.monotonic();
        const own = this.#vms.get(this.options.name)?.vm.processorShare ?? Infinity;
        const isLarger = (link: VmLink) =>
            !link.isLeaving && link.vm.processorShare >= own * handOverSizeRatio
            && now - link.connectedAt > minConnectedTimeBeforeHandOver;
        if (!this.#isCellOffered && this.#isConfirmed && [...this.#vms.values()].some(isLarger)) {
            this.options.onLargerVm();
        }
    }

    #dropSilentVms(): void {
        const now = this.options.clock.monotonic();
        for (const link of [...this.#vms.values()]) {
            if (now - link.lastHeardAt > vmSilenceTimeout) {
                this.options.onSilentVm(link.vm.name);
                this.#drop(link);
            }
        }
        if (this.options.isIsolated()) {
            // Others that reach each other serve better; without a claim of theirs this VM comes back.
            this.stepDown("this VM is cut off from most of the others");
        }
    }

    #handle(link: VmLink, message: VmMessage): void {
        link.lastHeardAt = this.options.clock.monotonic();
        switch (message.kind) {
            case "request":
                void this.#answer(link, message.request, message.body);
                break;
            case "configuration":
                this.options.onConfiguration(message.configuration);
                break;
            case "configuration-version":
                void this.#requestNewerConfiguration(link, message.version);
                return;
            case "want-configuration":
                this.#sendConfiguration(link);
                return;
            case "advised": {
                const command = this.#advice.complete(message.question);
                if (command !== undefined) {
                    this.cell.applyAdvice(command.step, command.workers, message.answer, message.cause);
                }
                break;
            }
            case "store-answer":
                link.settleStoreCall(message.call, message.isAnswered, message.answer, message.cause);
                return;
            case "leaving":
                this.#handleLeaving(link);
                break;
            case "beat":
            case "owner-heard":
                return;
            default:
                this.#reportHandler.handle(link, message);
        }
        this.#turnRunner.schedule();
    }

    async #answer(link: VmLink, request: number, body: OwnerRequest): Promise<void> {
        const reply: OwnerReply = this.#isHandingOver
            ? { kind: "handing-over" }
            : await this.#requestHandler.reply(body);
        // What is uncertain as the cell is handed over meanwhile is asked of the next owner again by the front.
        if (!this.#isHandingOver || reply.kind !== "uncertain") {
            link.channel.send({ kind: "reply", request, reply });
        }
    }
}
