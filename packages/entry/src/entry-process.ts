/** Puts the parts of an entry VM together: front, links, and the owner's work while this VM has the cell. */
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
import { createAbortController, type EventLogger, untilAborted } from "@pebbledale/runtime";
import { ConfigurationWatch } from "./configuration/index.js";
import { type FollowLimits, followLimitsOf, FollowLoop, maxStaleness, StoreProbe } from "./following/index.js";
import { JobService, RequestLog } from "./front/index.js";
import { maxClockDrift, ownerSilenceLimit, VmSession } from "./links/index.js";
import {
    cellPrefix,
    CellView,
    type EntryVm,
    KeyFollowSource,
    ownerKey,
    vmKey,
    VmRegistration,
} from "./membership/index.js";
import {
    DependencyMonitor,
    type EntryMetrics,
    InstrumentedLogger,
    InstrumentedWorkerClients,
} from "./observation/index.js";
import { confirmationValidity, type OwnerSession, type OwnerUpkeep } from "./owner/index.js";
import { Candidate, ownerLeaseLength, vmLeaseLength } from "./ownership/index.js";
import { listenForOwners, refusesConnections } from "./peers/index.js";
import { createMemoryChannel, type OwnerMessage, type VmMessage } from "./protocol/index.js";
import type { EntrySettings } from "./settings/index.js";
import { shutdownTimesOf } from "./stop-times.js";
import { RelayedStore } from "./store-relay/index.js";

const millisecondsPerSecond = 1_000;
/** Limit of the look whether a lost owner's process is gone, in milliseconds. */
const ownerCheckTimeout: Milliseconds = 300;
/** Margin added to the leases of an earlier owner, in milliseconds. */
const priorLeaseMargin: Milliseconds = 300;

/** What an entry VM is made from. */
export interface EntryProcessOptions {
    readonly settings: EntrySettings;
    readonly clock: SuspensionAwareClock;
    readonly random: Random;
    readonly logger: EventLogger;
    readonly metrics: EntryMetrics;
    readonly store: PlatformStore & ChangeFeed;
    /** The workers' entries, read through this way to the store. */
    readonly directory: (feed: ChangeFeed) => WorkerDirectory;
    readonly configuration: ConfigurationFeed;
    readonly clients: TaskWorkerClients;
    readonly advice: AdviceClient | undefined;
    /** The platform's service of VMs and the board of waves, over this way to the store; undefined without one. */
    readonly upkeep: ((store: PlatformStore & ChangeFeed) => OwnerUpkeep) | undefined;
}

/** See the module's comment. */
export class EntryProcess {
    readonly jobs: JobService;
    readonly requestLog: RequestLog;
    readonly #logger: EventLogger;
    /** How long what this VM follows in the store may go unheard. */
    readonly #followLimits: FollowLimits;
    readonly #self: EntryVm;
    readonly #view: CellView;
    readonly #configuration: ConfigurationWatch;
    readonly #session: VmSession;
    readonly #registration: VmRegistration;
    readonly #candidate: Candidate;
    readonly #store: RelayedStore;
    readonly #probe: StoreProbe;
    #terminatedOwner: string | undefined;
    /** Whether the owner asked this VM to take the cell over. */
    #isTakeoverRequested = false;
    #ownerWaiters: (() => void)[] = [];

    constructor(private readonly options: EntryProcessOptions) {
        const { settings, clock, random, store, metrics } = options;
        const logger = new InstrumentedLogger(options.logger, metrics);
        this.#logger = logger;
        this.#followLimits = followLimitsOf(settings.bounds);
        this.#view = new CellView(clock);
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
            clock,
            logger,
        });
        this.#probe = new StoreProbe({
            clock,
            call: () => store.get(ownerKey),
            isNeeded: () => !this.#session.hasOwner,
        });
        this.#configuration = new ConfigurationWatch({
            feed: options.configuration,
            clock,
            logger,
            limits: this.#followLimits,
            probe: this.#probe,
            onChange: configuration => {
                this.#session.announceConfiguration(configuration.version);
                this.#candidate.session?.configure(configuration);
            },
            onWaves: waves => this.#candidate.session?.addWaves(waves),
        });
        this.#session = new VmSession({
            clients: new InstrumentedWorkerClients(options.clients, metrics, clock),
            advice: options.advice,
            clock,
            logger,
            leaseLength: settings.bounds.longestLease,
            store,
            onHandOver: () => {
                this.#isTakeoverRequested = true;
                this.#candidate.wake();
            },
            configuration: () => this.#configuration.configuration,
            onConfiguration: configuration => this.#configuration.apply(configuration, "owner"),
            onOwnerChange: hasOwner => this.#handleOwnerChange(hasOwner),
        });
        this.#registration = new VmRegistration({
            store: this.#store,
            clock,
            logger,
            key: vmKey(settings.vm),
            value: JSON.stringify(this.#self),
            leaseLength: Math.max(vmLeaseLength, settings.store.shortestLease),
        });
        this.#candidate = new Candidate({
            store: this.#store,
            directory: options.directory(this.#store),
            clock,
            random,
            logger,
            metrics,
            self: this.#self,
            view: this.#view,
            leaseLength: Math.max(ownerLeaseLength, settings.store.shortestLease),
            followLimits: this.#followLimits,
            configuration: () => this.#configuration.configuration,
            onConfiguration: configuration => this.#configuration.apply(configuration, "vm"),
            formerLeaseLength: confirmationValidity + ownerSilenceLimit
                + settings.bounds.longestLease / (1 - maxClockDrift)
                + priorLeaseMargin,
            ownerStatus: () => ({
                ownerSilence: this.#session.hasOwner ? this.#session.ownerSilence : Infinity,
                // Not told: an owner that was only paused would answer for a while that it does not know jobs which the next
                // one took, and the renewal of its lease would not show it that the key is another's.
                heardSilence: undefined,
                deadOwner: this.#terminatedOwner,
                isAsked: this.#isTakeoverRequested,
            }),
            waves: () => this.#configuration.waves,
            upkeep: options.upkeep?.(this.#store),
            connectSelf: session => this.#connectLocally(session),
        });
        this.requestLog = new RequestLog({
            logger,
            metrics,
            clock,
            owner: () => ({ epoch: this.#session.epoch, silence: this.#session.ownerSilence }),
        });
        this.jobs = new JobService(
            {
                hasOwner: () => this.#session.hasOwner,
                ask: body => this.#session.ask(body),
                waitForOwner: wait => this.#waitForOwner(wait),
            },
            clock,
            this.requestLog,
        );
    }

    /** The queues in force; undefined while there is no configuration. */
    get queues(): QueueDirectory | undefined {
        return this.#configuration.queues;
    }

    /** Whether this VM hears of the configuration as often as it does while the store answers. */
    get isConfigurationCurrent(): boolean {
        return (this.#configuration.age ?? Infinity) <= maxStaleness(this.#followLimits);
    }

    /** Why this VM is not ready for callers; undefined when it is. */
    get unreadyReason(): string | undefined {
        return this.queues === undefined ? "no configuration yet" : undefined;
    }

    /** Serves until `stop` fires, then hands over and goes on until callers are `drained`. */
    async run(stop: AbortSignal, drained: () => Promise<void>): Promise<void> {
        const { settings, store, clock, metrics } = this.options;
        const { membersUnavailable: lost, membersAvailable: regained } = logEvents;
        const members = new DependencyMonitor({
            logger: this.#logger,
            clock,
            lostEvent: lost,
            recoveredEvent: regained,
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
        metrics.setAgeSources({ configuration: () => this.#configuration.age, members: () => following.age });
        const background = createAbortController();
        await listenForOwners(settings.peerAddress, channel => this.#session.attach(channel), background.signal);
        const running = [
            this.#configuration.run(background.signal),
            this.#registration.run(background.signal),
            following.run(background.signal),
            this.#session.run(background.signal),
        ];
        const leaving = untilAborted(stop).then(() => this.#drain(drained));
        await Promise.all([this.#candidate.run(stop), leaving]);
        background.abort();
        await Promise.all(running);
    }

    /** Callers are served on while the cell and the links go to others. */
    async #drain(drained: () => Promise<void>): Promise<void> {
        const { settings, clock } = this.options;
        this.#session.announceLeaving();
        this.jobs.limitAnswersTo(clock.monotonic() + shutdownTimesOf(settings.bounds.stopWithin).answerWithin);
        await drained();
    }

    #handleOwnerChange(hasOwner: boolean): void {
        if (hasOwner) {
            this.#logger.log(logEvents.ownerConnected, { epoch: this.#session.epoch });
            this.#isTakeoverRequested = false;
            this.#candidate.noteOwnerEpoch(this.#session.epoch);
            const waiters = this.#ownerWaiters;
            this.#ownerWaiters = [];
            waiters.forEach(wake => wake());
            return;
        }
        this.#logger.log(logEvents.ownerLost, { epoch: this.#session.epoch });
        this.#candidate.wake();
        void this.#checkOwnerProcess();
    }

    /** Finds out whether a lost owner's process is gone: then its lease need not be waited for. */
    async #checkOwnerProcess(): Promise<void> {
        const owner = this.#view.owner;
        if (owner !== undefined && await refusesConnections(owner.address, ownerCheckTimeout)) {
            this.#terminatedOwner = owner.process;
            this.#candidate.wake();
        }
    }

    #waitForOwner(wait: Milliseconds): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, wait);
            this.#ownerWaiters.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    /** This VM is one of the owner's: it is connected without a socket. */
    #connectLocally(session: OwnerSession): void {
        const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
        this.#session.attach(vmEnd);
        session.connect(this.#self, ownerEnd);
    }
}
