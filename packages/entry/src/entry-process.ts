/** The program of an entry VM, without its HTTP servers. */
import {
    type AdviceClient,
    type ConfigurationFeed,
    type QueueDirectory,
    type TaskWorkerClients,
    type WorkerDirectory,
} from "@pebbledale/cell";
import {
    type ChangeFeed,
    logEvents,
    type Milliseconds,
    type PlatformStore,
    type Random,
    type SuspensionAwareClock,
} from "@pebbledale/core";
import { createAbortController, type EventLogger, waitForAbort } from "@pebbledale/runtime";
import { ConfigurationWatch, OwnerConfirmation } from "./configuration/index.js";
import { HallClosureWatch } from "./data-halls/index.js";
import { type FollowLimits, followLimitsOf, FollowLoop, maxStaleness, StoreProbe } from "./following/index.js";
import { JobService, OwnerWaiters, RequestLog } from "./front-end/index.js";
import { maxClockDrift, ownerSilenceLimit, VmSession } from "./links/index.js";
import {
    cellPrefix,
    CellView,
    type EntryVm,
    KeyFollowSource,
    ownerKey,
    OwnerPlacement,
    vmKey,
    VmRegistration,
} from "./membership/index.js";
import {
    DependencyMonitor,
    type EntryMetrics,
    InstrumentedLogger,
    InstrumentedWorkerClients,
    logTraffic,
    type TrafficAccount,
} from "./observability/index.js";
import { confirmationValidity, type OwnerSession, type OwnerUpkeep } from "./owner/index.js";
import { Candidate, ownerLeaseLength, vmLeaseLength } from "./ownership/index.js";
import { listenForOwners, refusesConnections } from "./peers/index.js";
import { createMemoryChannel, type OwnerMessage, type SocketChannelOptions, type VmMessage } from "./protocol/index.js";
import { type EntrySettings, hasSeveralRegions } from "./settings/index.js";
import { shutdownTimesOf } from "./shutdown-times.js";
import { RelayedStore } from "./store-relay/index.js";

const millisecondsPerSecond = 1_000;
/** Timeout of the connection attempt that tells whether a lost owner's process has ended, in milliseconds. */
const ownerCheckTimeout: Milliseconds = 300;
/** Added to the longest lease that an earlier owner may have granted, in milliseconds. */
const priorLeaseMargin: Milliseconds = 300;

/** What an {@link EntryProcess} depends on. */
export interface EntryProcessOptions {
    readonly settings: EntrySettings;
    readonly clock: SuspensionAwareClock;
    readonly random: Random;
    readonly logger: EventLogger;
    readonly metrics: EntryMetrics;
    /** Account of the bytes of this VM; undefined where all data halls are in one region. */
    readonly traffic?: TrafficAccount | undefined;
    readonly store: PlatformStore & ChangeFeed;
    /** Reads the workers' entries over the given connection to the store. */
    readonly directory: (feed: ChangeFeed) => WorkerDirectory;
    readonly configuration: ConfigurationFeed;
    readonly clients: TaskWorkerClients;
    readonly advice: AdviceClient | undefined;
    /** Access to the platform's VM service and to the published states of waves; undefined where the platform has no such service. */
    readonly upkeep: ((store: PlatformStore & ChangeFeed) => OwnerUpkeep) | undefined;
}

/**
 * Wires the components of an entry VM: the front end for callers, the links to workers, and the owner's work while this VM owns
 * the cell. Every entry VM is a candidate for ownership.
 */
export class EntryProcess {
    readonly jobs: JobService;
    readonly requestLog: RequestLog;
    readonly #logger: EventLogger;
    /** Timeouts of the loops that follow the store. */
    readonly #followLimits: FollowLimits;
    readonly #self: EntryVm;
    readonly #view: CellView;
    readonly #configuration: ConfigurationWatch;
    readonly #halls: HallClosureWatch;
    readonly #session: VmSession;
    readonly #registration: VmRegistration;
    readonly #candidate: Candidate;
    readonly #store: RelayedStore;
    readonly #probe: StoreProbe;
    /** Process of a lost owner that was found to have ended. */
    #terminatedOwner: string | undefined;
    /** Whether the current owner asked this VM to take over the cell. */
    #isTakeoverRequested = false;
    readonly #ownerWaiters: OwnerWaiters;

    constructor(private readonly options: EntryProcessOptions) {
        const { settings, clock, random, store, metrics } = options;
        const logger = new InstrumentedLogger(options.logger, metrics);
        this.#logger = logger;
        this.#followLimits = followLimitsOf(settings.bounds);
        this.#view = new CellView(
            clock,
            (key, reason) => logger.log(logEvents.memberEntryUnreadable, { key, reason }),
        );
        this.#self = {
            name: settings.vm,
            address: settings.peerAddress,
            dataHall: settings.dataHall,
            processorShare: settings.processorShare,
            process: random.name(),
            startedAt: Math.floor(clock.now().getTime() / millisecondsPerSecond),
        };
        this.#store = new RelayedStore({
            direct: store,
            relays: () => this.#candidate.session?.storeRelays() ?? [],
            checkedKey: ownerKey,
            clock,
            logger,
        });
        this.#probe = new StoreProbe({
            clock,
            call: () => store.get(ownerKey),
            isNeeded: () => !this.#session.hasOwner,
        });
        this.#halls = new HallClosureWatch({
            logger,
            onChange: closures => {
                this.#session.announceClosures(closures);
                this.#candidate.session?.closeHalls(closures);
            },
        });
        const placement = new OwnerPlacement(settings.regions);
        this.#configuration = this.#createConfigurationWatch(placement);
        this.#session = this.#createSession();
        this.#registration = this.#createRegistration();
        this.#candidate = this.#createCandidate(placement);
        this.requestLog = new RequestLog({
            logger,
            metrics,
            clock,
            owner: () => ({ epoch: this.#session.epoch, silence: this.#session.ownerSilence }),
        });
        const mayBeCutOff = hasSeveralRegions(settings.regions);
        this.#ownerWaiters = new OwnerWaiters(clock, () => mayBeCutOff && !this.isConfigurationCurrent);
        this.jobs = new JobService(
            {
                hasOwner: () => this.#session.hasOwner,
                ask: body => this.#session.ask(body),
                waitForOwner: wait => this.#ownerWaiters.wait(wait),
            },
            clock,
            this.requestLog,
        );
    }

    /** Undefined until a configuration is known. */
    get queues(): QueueDirectory | undefined {
        return this.#configuration.queues;
    }

    /** Whether the store has confirmed the configuration within the time of {@link maxStaleness}. */
    get isConfigurationCurrent(): boolean {
        return (this.#configuration.age ?? Infinity) <= maxStaleness(this.#followLimits);
    }

    /** Why this VM does not accept callers; undefined when it does. */
    get unreadyReason(): string | undefined {
        return this.queues === undefined ? "no configuration yet" : undefined;
    }

    /** Serves until `stop` fires, then hands the cell over and serves on until `untilDrained` resolves. */
    async run(stop: AbortSignal, untilDrained: () => Promise<void>): Promise<void> {
        const { settings, store, clock, metrics, traffic } = this.options;
        const { membersUnavailable: lostEvent, membersAvailable: recoveredEvent } = logEvents;
        const members = new DependencyMonitor({
            logger: this.#logger,
            clock,
            lostEvent,
            recoveredEvent,
        });
        const following = new FollowLoop({
            source: new KeyFollowSource(store, cellPrefix, this.#view),
            clock,
            limits: this.#followLimits,
            probe: this.#probe,
            onAnswer: () => {
                members.recordSuccess();
                this.#candidate.wake();
            },
            onFailure: (cause, age) => members.recordFailure(cause, age),
        });
        metrics.setClosedHallSource(() => this.#halls.closures.halls.length);
        metrics.setAgeSources({ configuration: () => this.#configuration.age, members: () => following.age });
        const background = createAbortController();
        const { signal } = background;
        await listenForOwners(
            settings.peerAddress,
            channel => this.#session.attach(channel),
            signal,
            this.#ownerChannelOptions,
        );
        const running = [
            this.#configuration.run(background.signal),
            this.#registration.run(background.signal),
            following.run(background.signal),
            this.#session.run(background.signal),
            ...(traffic === undefined ? [] : [logTraffic(traffic, clock, this.#logger, signal)]),
        ];
        const draining = waitForAbort(stop).then(() => this.#drain(untilDrained));
        await Promise.all([this.#candidate.run(stop), draining]);
        background.abort();
        await Promise.all(running);
    }

    /** Answers open requests while the cell and the links move to other VMs. */
    async #drain(untilDrained: () => Promise<void>): Promise<void> {
        const { settings, clock } = this.options;
        this.#session.announceLeaving();
        this.jobs.limitAnswersTo(clock.monotonic() + shutdownTimesOf(settings.bounds.stopWithin).answerWithin);
        await untilDrained();
    }

    #createConfigurationWatch(placement: OwnerPlacement): ConfigurationWatch {
        const { settings, clock } = this.options;
        const confirmation = new OwnerConfirmation({
            clock,
            limits: this.#followLimits,
            isWanted: () =>
                this.#session.hasOwner && this.#candidate.session === undefined
                && placement.isFar(settings.dataHall, this.#view.vms.values()),
            ask: since => this.#session.askCopy(since),
        });
        return new ConfigurationWatch({
            feed: this.options.configuration,
            clock,
            logger: this.#logger,
            limits: this.#followLimits,
            probe: this.#probe,
            onChange: configuration => {
                this.#session.announceConfiguration(configuration.version);
                this.#candidate.session?.configure(configuration);
            },
            onWaves: waves => this.#candidate.session?.addWaves(waves),
            halls: this.#halls,
            confirmation: hasSeveralRegions(settings.regions) ? confirmation : undefined,
        });
    }

    #createSession(): VmSession {
        const { settings, clock, metrics, store, clients, advice, traffic } = this.options;
        return new VmSession({
            clients: new InstrumentedWorkerClients(clients, metrics, clock),
            advice,
            clock,
            logger: this.#logger,
            leaseLength: settings.bounds.longestLease,
            store,
            onHandOver: () => {
                this.#isTakeoverRequested = true;
                this.#candidate.wake();
            },
            configuration: () => this.#configuration.configuration,
            onConfiguration: configuration => this.#configuration.apply(configuration, "owner"),
            closures: () => this.#halls.closures,
            onClosures: closures => this.#halls.applyPeers(closures),
            onAssign: ({ address, dataHall }) => traffic?.locate(address, dataHall),
            isHallClosed: hall => this.#halls.isClosed(hall),
            onOwnerChange: hasOwner => this.#handleOwnerChange(hasOwner),
        });
    }

    #createRegistration(): VmRegistration {
        const { settings, clock } = this.options;
        return new VmRegistration({
            store: this.#store,
            clock,
            logger: this.#logger,
            key: vmKey(settings.vm),
            value: JSON.stringify(this.#self),
            ...(hasSeveralRegions(settings.regions) && {
                measuredValue: (storeTime: Milliseconds) => JSON.stringify({ ...this.#self, storeTime }),
            }),
            leaseLength: Math.max(vmLeaseLength, settings.store.shortestLease),
        });
    }

    #createCandidate(placement: OwnerPlacement): Candidate {
        const { settings, clock, random, metrics, traffic } = this.options;
        return new Candidate({
            store: this.#store,
            directory: this.options.directory(this.#store),
            clock,
            random,
            logger: this.#logger,
            metrics,
            traffic,
            self: this.#self,
            view: this.#view,
            placement,
            regions: settings.regions,
            leaseLength: Math.max(ownerLeaseLength, settings.store.shortestLease),
            followLimits: this.#followLimits,
            configuration: () => this.#configuration.configuration,
            onConfiguration: configuration => this.#configuration.apply(configuration, "vm"),
            toleratedHallLosses: settings.toleratedHallLosses,
            closures: () => this.#halls.closures,
            operatorsCopy: since => this.#configuration.copyFor(since),
            onClosures: closures => this.#halls.applyPeers(closures),
            formerLeaseLength: confirmationValidity + ownerSilenceLimit
                + settings.bounds.longestLease / (1 - maxClockDrift)
                + priorLeaseMargin,
            ownerStatus: () => ({
                ownerSilence: this.#session.hasOwner ? this.#session.ownerSilence : Infinity,
                // Not reported on purpose: if a paused owner were replaced because of its silence, it would deny jobs that its
                // successor has accepted, because renewing its lease does not reveal that another VM holds the owner's key.
                lastOwnerSilence: undefined,
                terminatedOwner: this.#terminatedOwner,
                isTakeoverRequested: this.#isTakeoverRequested,
            }),
            waves: () => this.#configuration.waves,
            upkeep: this.options.upkeep?.(this.#store),
            connectSelf: session => this.#connectLocally(session),
        });
    }

    /** Counts messages to the owner, and sends large ones in parts, where there are several regions. */
    get #ownerChannelOptions(): SocketChannelOptions | undefined {
        const { traffic } = this.options;
        return traffic && {
            meter: (kind, bytes) => {
                const hall = this.#view.vms.get(this.#view.owner?.name ?? "")?.dataHall;
                traffic.recordMessage(kind, hall, bytes);
            },
            usesCompactForms: true,
        };
    }

    #handleOwnerChange(hasOwner: boolean): void {
        if (hasOwner) {
            this.#logger.log(logEvents.ownerConnected, { epoch: this.#session.epoch });
            this.#isTakeoverRequested = false;
            this.#candidate.noteOwnerEpoch(this.#session.epoch);
            this.#ownerWaiters.wake();
            return;
        }
        this.#logger.log(logEvents.ownerLost, { epoch: this.#session.epoch });
        this.#candidate.wake();
        void this.#checkOwnerProcess();
    }

    /** Checks whether a lost owner's process has ended: a successor need not wait for the lease of an ended process. */
    async #checkOwnerProcess(): Promise<void> {
        const owner = this.#view.owner;
        if (owner !== undefined && await refusesConnections(owner.address, ownerCheckTimeout)) {
            this.#terminatedOwner = owner.process;
            this.#candidate.wake();
        }
    }

    /** Connects this VM to the owner in its own process through a memory channel. */
    #connectLocally(session: OwnerSession): void {
        const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
        this.#session.attach(vmEnd);
        session.connect(this.#self, ownerEnd);
    }
}
