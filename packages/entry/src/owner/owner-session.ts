/** Session of a VM that owns the cell. */
import {
    AdviceDispatcher,
    type CellConfiguration,
    type CellRecord,
    CellScheduler,
    type CellSnapshot,
    type HallClosures,
    type UpkeepWave,
} from "@pebbledale/cell";
import { fencingToken, JournalFencedError, logEvents, type Milliseconds } from "@pebbledale/core";
import { FollowLoop } from "../following/index.js";
import type { EntryVm } from "../membership/index.js";
import {
    type Channel,
    type OwnerMessage,
    type OwnerReply,
    type OwnerRequest,
    type VmMessage,
} from "../protocol/index.js";
import { hasSeveralRegions } from "../settings/index.js";
import type { StoreRelay } from "../store-relay/index.js";
import { Assignments } from "./assignments.js";
import {
    confirmationValidity,
    handOverCommitTimeout,
    handOverStoreTimeout,
    minConnectedTimeBeforeHandOver,
    ownerHeartbeatInterval,
    storeAnswerPollInterval,
    summaryInterval,
    tickInterval,
    vmSilenceTimeout,
    workerEntriesGathering,
} from "./constants.js";
import { IntervalTimer } from "./interval-timer.js";
import { JournalOutageLog } from "./journal-outage-log.js";
import { OperatorsKeys } from "./operators-keys.js";
import { relayOrder } from "./relay-order.js";
import { RequestHandler } from "./request-handler.js";
import { chooseSuccessor, isMuchBetterOwner } from "./successor.js";
import { TurnRunner } from "./turn-runner.js";
import { HandOverOutcome, type OwnerSessionOptions } from "./types.js";
import { UpkeepController } from "./upkeep-controller.js";
import { VmLink } from "./vm-link.js";
import { WorkerEntryFollowSource } from "./worker-entry-follow-source.js";
import { WorkerReportHandler } from "./worker-report-handler.js";

/**
 * Runs the scheduler of a cell while this VM owns it: feeds it with messages of the VMs, entries of the store and the
 * passing of time, and carries out its decisions.
 */
export class OwnerSession {
    readonly cell: CellScheduler;
    readonly #vms = new Map<string, VmLink>();
    readonly #assignments: Assignments;
    readonly #advice: AdviceDispatcher;
    readonly #requestHandler: RequestHandler;
    readonly #outageLog: JournalOutageLog;
    readonly #upkeepController: UpkeepController | undefined;
    readonly #operatorsKeys: OperatorsKeys;
    readonly #turnRunner: TurnRunner;
    readonly #heartbeatTimer: IntervalTimer;
    readonly #summaryTimer: IntervalTimer;
    readonly #workerFollowLoop: FollowLoop;
    readonly #reportHandler: WorkerReportHandler;
    /** Whether a handover has been started, including the wait for the store. */
    #isCellOffered = false;
    /** Whether the handover is in progress: no request is answered any more. */
    #isHandingOver = false;
    #isAssignmentScheduled = false;
    #nextRelay = 0;

    constructor(private readonly options: OwnerSessionOptions) {
        const { clock, logger, journal, contents, name } = options;
        this.cell = new CellScheduler({
            clock,
            log: logger,
            toleratedHallLosses: options.toleratedHallLosses,
            onWorkerDraining: worker => this.#assignments.vmOf(worker)?.channel.send({ kind: "worker-leaves", worker }),
        });
        this.cell.recover(
            contents.snapshot as CellSnapshot | undefined,
            contents.records as readonly CellRecord[],
        );
        journal.setSnapshotSource(() => this.cell.snapshot());
        this.#assignments = new Assignments(
            journal.epoch,
            name,
            () => clock.monotonic(),
            options.regions,
            worker => this.stepDown(`the fencing tokens of worker ${worker} in this epoch are used up`),
        );
        this.#reportHandler = new WorkerReportHandler({
            cell: this.cell,
            assignments: this.#assignments,
            clock,
            formerLeasesExpireAt: clock.monotonic() + options.formerLeaseLength,
            onFenced: worker => this.stepDown(`worker ${worker} has seen the token of a later owner`),
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
            gatherFor: workerEntriesGathering,
            onAnswer: () => {
                this.#assignments.moveLocated(this.cell.workers, this.#stayingVms);
                this.#turnRunner.schedule();
            },
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
            issuer: { holder: name, token: fencingToken(journal.epoch) },
            workerOf: worker => this.cell.plannedWorkerOf(worker),
            closeWorkers: closed => this.cell.setClosedWorkers(closed),
            signal: options.lost.signal,
        });
        this.#operatorsKeys = new OperatorsKeys({
            session: options,
            cell: this.cell,
            vms: this.#vms,
            onChange: () => this.#turnRunner.schedule(),
        });
        this.#applyOperatorsKeys();
    }

    get epoch(): number {
        return this.options.journal.epoch;
    }

    /** Ends the session because another owner exists or is needed. */
    stepDown(reason: string): void {
        this.options.lost.abort(new JournalFencedError(reason));
    }

    /** Runs until `lost` fires. */
    async run(): Promise<void> {
        const { lost, clock, metrics } = this.options;
        // Changes between the session's creation and now were not passed on to it.
        this.#applyOperatorsKeys();
        const following = this.#workerFollowLoop.run(lost.signal);
        while (!lost.signal.aborted) {
            this.cell.tick();
            this.#dropSilentVms();
            this.#checkForBetterVm();
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
        this.#vms.forEach(vm => vm.sendHeartbeat(mayLease));
    }

    /** Whether the store has recently confirmed that this VM owns the cell. */
    get #isConfirmed(): boolean {
        return this.#isRecent(this.options.confirmedAt(), confirmationValidity);
    }

    /** Whether the owner's key cannot have expired, so that no other VM can have claimed the cell. */
    get #isKeyValid(): boolean {
        return this.#isRecent(this.options.keyConfirmedAt(), this.options.ownerLeaseLength);
    }

    /** Whether `moment` is less than `time` ago and the process has certainly not been suspended since. */
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
        const services = Object.fromEntries(summary.services);
        logger.log(logEvents.cellSummary, { ...summary, services, journalWait, ...age });
        metrics.setCellStatistics({ summary, journalWait, workerEntriesAge: entriesAge });
    }

    #noteEntriesUnavailable(cause: unknown, age: Milliseconds | undefined): void {
        this.options.logger.log(logEvents.workerListUnavailable, {
            cause: String(cause),
            ...(age === undefined ? {} : { age: Math.round(age) }),
        });
        this.#turnRunner.schedule();
    }

    /** Applies a configuration if it is newer and announces it to the VMs. */
    configure(configuration: CellConfiguration): void {
        this.#operatorsKeys.configure(configuration);
    }

    /** Starts nothing more in the data halls that are closed, and tells the VMs. */
    closeHalls(closures: HallClosures): void {
        this.#operatorsKeys.closeHalls(closures);
    }

    /** Applies what this VM has read of the operators' keys. */
    #applyOperatorsKeys(): void {
        this.#operatorsKeys.refresh();
        this.addWaves(this.options.waves());
    }

    /** Adds waves of upkeep to be carried out. */
    addWaves(waves: readonly UpkeepWave[]): void {
        this.#upkeepController?.add(waves);
    }

    isConnected(name: string): boolean {
        return this.#vms.has(name);
    }

    /** Time since the last message of a connected VM; 0 for one that is not connected. */
    silenceOf(name: string): Milliseconds {
        const { clock } = this.options;
        return clock.monotonic() - (this.#vms.get(name)?.lastHeardAt ?? clock.monotonic());
    }

    /** Attaches a connection to a VM, replacing a former one. */
    connect(vm: EntryVm, channel: Channel<OwnerMessage, VmMessage>): void {
        const { clock, journal, name, regions } = this.options;
        const link = new VmLink(vm, channel, clock);
        this.#drop(this.#vms.get(vm.name));
        this.#vms.set(vm.name, link);
        channel.onMessage = message => this.#handle(link, message);
        channel.onClose = () => this.#drop(link);
        link.welcome(journal.epoch, name);
        this.#operatorsKeys.announceTo(channel);
        this.#advice.join(
            vm.name,
            (question, { step, workers }, duration) => channel.send({ kind: "ask", question, step, workers, duration }),
            hasSeveralRegions(regions) ? regions.get(vm.dataHall) : undefined,
        );
        this.#scheduleAssignment();
        const links = [...this.#vms.values()];
        if (this.options.toleratedHallLosses > 0) {
            this.#assignments.returnTo(this.cell.workers, link, links);
        }
        this.#assignments.rebalanceTo(this.cell.workers, link, links);
    }

    /**
     * Assigns workers without a link after pending callbacks. A new owner gets the connections to most VMs at once, and the first
     * of them must not receive all links.
     */
    #scheduleAssignment(): void {
        if (!this.#isAssignmentScheduled) {
            this.#isAssignmentScheduled = true;
            setImmediate(() => {
                this.#isAssignmentScheduled = false;
                if (!this.options.lost.signal.aborted) {
                    this.#assignUnlinkedWorkers();
                }
            });
        }
    }

    /** VMs through which the store can be called, in order of preference. */
    storeRelays(): StoreRelay[] {
        const others = [...this.#vms.values()].filter(link => link.vm.name !== this.options.name);
        return relayOrder(others, this.#nextRelay++).map(link => operation => link.callStore(operation));
    }

    /**
     * Hands the cell over to another VM once all accepted requests are committed. While the store does not answer, no
     * VM could claim the cell: this one keeps serving for a while, and nothing has changed if the store stays silent.
     */
    async handOver(): Promise<HandOverOutcome> {
        this.#isCellOffered = true;
        if (!await this.#waitForStoreAnswer(handOverStoreTimeout)) {
            this.#isCellOffered = false;
            return HandOverOutcome.StoreSilent;
        }
        const successor = chooseSuccessor(this.#vms.values(), this.options.name, this.options.preferred());
        this.#isHandingOver = true;
        this.#turnRunner.freeze();
        // Records still in flight may be found by the next owner; no caller was told that they are committed.
        const committed = this.#turnRunner.untilCommitted().catch((cause: unknown) => this.options.lost.abort(cause));
        await Promise.race([committed, this.options.clock.sleep(handOverCommitTimeout, this.options.lost.signal)]);
        successor?.channel.send({ kind: "hand-over" });
        return successor === undefined ? HandOverOutcome.NoSuccessor : HandOverOutcome.Offered;
    }

    /** Whether the store answers a call made from now on, within `timeout`. */
    async #waitForStoreAnswer(timeout: Milliseconds): Promise<boolean> {
        const { clock, lost, confirm, confirmedAt } = this.options;
        const startedAt = clock.monotonic();
        confirm();
        while (confirmedAt() < startedAt && clock.monotonic() - startedAt < timeout && !lost.signal.aborted) {
            await clock.sleep(storeAnswerPollInterval, lost.signal);
        }
        return confirmedAt() >= startedAt;
    }

    /** Reassigns the links and advice questions of a VM that is about to stop. */
    #handleLeaving(link: VmLink): void {
        link.isLeaving = true;
        this.#advice.leave(link.vm.name);
        for (const worker of link.workers) {
            link.channel.send({ kind: "unassign", worker });
        }
        this.#assignments.removeAll(link);
        this.#assignUnlinkedWorkers();
    }

    get #stayingVms(): VmLink[] {
        return [...this.#vms.values()].filter(link => !link.isLeaving);
    }

    /** Assigns workers without a link to VMs that are not stopping, if there are any. */
    #assignUnlinkedWorkers(): void {
        const staying = this.#stayingVms;
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

    /** Notifies the candidate once a VM that would own the cell much better has been connected for a while. */
    #checkForBetterVm(): void {
        const now = this.options.clock.monotonic();
        const own = this.#vms.get(this.options.name)?.vm;
        if (this.#isCellOffered || !this.#isConfirmed || own === undefined) {
            return;
        }
        const preferred = this.options.preferred();
        const isBetter = (link: VmLink) =>
            !link.isLeaving && isMuchBetterOwner(link.vm, own, preferred)
            && now - link.connectedAt > minConnectedTimeBeforeHandOver;
        if ([...this.#vms.values()].some(isBetter)) {
            this.options.onBetterVm();
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
            // VMs that reach each other serve better. If none of them claims the cell, this VM claims it again.
            this.stepDown("this VM is isolated from most of the others");
        }
    }

    #handle(link: VmLink, message: VmMessage): void {
        link.lastHeardAt = this.options.clock.monotonic();
        switch (message.kind) {
            case "request":
                void this.#answer(link, message.request, message.body);
                break;
            case "configuration":
            case "closed-halls":
                this.#operatorsKeys.handle(link, message);
                break;
            case "configuration-version":
            case "want-configuration":
            case "copy-question":
                this.#operatorsKeys.handle(link, message);
                return;
            case "advised": {
                const command = this.#advice.complete(message.question, message.cause === undefined);
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
                link.handleHeartbeat(message.sentAt, () => this.#isConfirmed);
                return;
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
        // The front end repeats requests with an uncertain outcome at the next owner after a handover.
        if (!this.#isHandingOver || reply.kind !== "uncertain") {
            link.channel.send({ kind: "reply", request, reply });
        }
    }
}
