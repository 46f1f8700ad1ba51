/** Simulation of a cell in virtual time. */
import {
    type CellRecord,
    type JobDefinition,
    vmId,
    type WorkerChanges,
    type WorkerDirectory,
    type WorkerEntry,
    type WorkerListing,
} from "@pebbledale/cell";
import {
    type DataHallName,
    dataHallName,
    epoch,
    type Journal,
    type LogEvent,
    ManualClock,
    type Milliseconds,
    type TaskAddress,
    taskAddress,
    type WorkerId,
    workerId,
} from "@pebbledale/core";
import { createAbortController } from "@pebbledale/runtime";
import {
    createMemoryChannel,
    EntryMetrics,
    type EntryVm,
    type OwnerMessage,
    OwnerSession,
    type VmMessage,
    VmSession,
} from "../../../src/index.js";
import { configuration, queue, service } from "../configuration.js";
import { makeVm, settle } from "../index.js";
import { type LoggedEvent, RecordingLogger } from "../observation.js";
import { makeStep, smallTask } from "../steps.js";
import { describeDuplicate, RunHistory } from "./run-history.js";
import { SimulatedClosures } from "./simulated-closures.js";
import { SimulatedNetwork } from "./simulated-network.js";
import { longestLease, SimulatedWorker, type WorkerStart } from "./simulated-worker.js";

/** Capacity of each worker. */
const workerCapacity = { processorThousandths: 8_000, memoryMebibytes: 32_768, accelerators: 0 };
/** Time without an answer after which the journal's writes are overdue. */
const overdueAfter: Milliseconds = 160;
/** Data hall of the first worker. */
export const firstHall = dataHallName("hall-a");
const secondHall = dataHallName("hall-b");
/** Resolution of virtual time. */
const step: Milliseconds = 10;

/** The platform's list of workers, in memory. */
class InMemoryWorkerDirectory implements WorkerDirectory {
    readonly #entries = new Map<WorkerId, WorkerEntry>();
    #revision = 0;
    readonly #changes: { readonly revision: number; readonly worker: WorkerId; }[] = [];

    constructor(private readonly clock: ManualClock) {}

    put(entry: WorkerEntry): void {
        this.#entries.set(entry.worker, entry);
        this.#note(entry.worker);
    }

    remove(worker: WorkerId): void {
        this.#entries.delete(worker);
        this.#note(worker);
    }

    async list(): Promise<WorkerListing> {
        return { workers: [...this.#entries.values()], unreadable: [], cursor: String(this.#revision) };
    }

    async follow(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<WorkerChanges> {
        const until = this.clock.monotonic() + wait;
        while (this.#revision <= Number(cursor) && this.clock.monotonic() < until && !signal.aborted) {
            await this.clock.sleep(step, signal);
        }
        const changed = new Set(
            this.#changes.filter(({ revision }) => revision > Number(cursor)).map(({ worker }) => worker),
        );
        const entries = [...changed].map(worker => this.#entries.get(worker));
        return {
            changed: entries.filter(entry => entry !== undefined),
            unreadable: [],
            gone: [...changed].filter(worker => !this.#entries.has(worker)),
            cursor: String(this.#revision),
        };
    }

    #note(worker: WorkerId): void {
        this.#revision++;
        this.#changes.push({ revision: this.#revision, worker });
    }
}

/** An incarnation of a worker as its entry describes it. */
export type ListedIncarnation = Pick<SimulatedWorker, "address" | "born">;

/** Differences between a job's only step and a plain step of small tasks. */
export type StepChanges = Partial<JobDefinition["steps"][0]>;

/** Parameters of a simulation. */
export interface SimulationOptions {
    readonly workers: number;
    /** Whether workers report their incarnations. */
    readonly namesIncarnations?: boolean;
    /** Time until the journal has persisted a record. */
    readonly journalTime?: Milliseconds;
    /** Maximum number of ends in one answer of a worker; unlimited by default. */
    readonly maxListedEnds?: number;
}

/** Runs the product's owner, sessions and links in virtual time, against simulated workers, network and journal. */
export class SimulationWorld {
    readonly clock = new ManualClock();
    readonly history = new RunHistory();
    readonly workers: SimulatedWorker[] = [];
    readonly network = new SimulatedNetwork(this.clock, this.workers);
    readonly log = new RecordingLogger();
    readonly directory = new InMemoryWorkerDirectory(this.clock);
    readonly closures = new SimulatedClosures(this.clock, {
        onOwnerChange: closures => this.#owner?.closeHalls(closures),
        onVmChange: closures => this.#vm.announceClosures(closures),
    });
    /** Workers to which a start was sent while their data hall was closed. */
    readonly startsInClosedHalls: string[] = [];
    /** When the store last confirmed the owner's key. */
    keyConfirmedAt: () => Milliseconds = () => this.clock.monotonic();
    /** Since when the store does not answer; undefined while it does. */
    storeSilentSince: Milliseconds | undefined;
    /** Called after each step of time. */
    onStep: () => void = () => undefined;
    readonly #journal: CellRecord[] = [];
    /** By job, the processor time that each of its tasks requests. */
    readonly #sizes = new Map<string, number>();
    readonly #ended = createAbortController();
    readonly #vm: VmSession;
    #owner: OwnerSession | undefined;
    #ownerEnded = createAbortController();
    #epoch = 0;

    private constructor(private readonly options: SimulationOptions) {
        for (let index = 0; index < options.workers; index++) {
            this.addWorker(`w${index}`, `10.0.0.${index + 1}:80`);
        }
        this.#vm = new VmSession({
            clients: this.network,
            advice: undefined,
            clock: this.clock,
            logger: this.log,
            leaseLength: longestLease,
            store: {} as ConstructorParameters<typeof VmSession>[0]["store"],
            onHandOver: () => undefined,
            configuration: () => undefined,
            onConfiguration: () => undefined,
            closures: () => this.closures.vm.closures,
            onClosures: closures => this.closures.vm.applyPeers(closures),
            isHallClosed: hall => this.closures.vm.isClosed(hall),
            onOwnerChange: () => undefined,
        });
        void this.#vm.run(this.#ended.signal);
    }

    /** Creates a world whose owner knows all workers. */
    static async begin(options: SimulationOptions): Promise<SimulationWorld> {
        const world = new SimulationWorld(options);
        world.replaceOwner();
        await world.advance(200);
        return world;
    }

    /** The current owner. */
    get owner(): OwnerSession {
        return this.#owner!;
    }

    /** Starts a new worker and publishes its entry. */
    addWorker(name: string, address: string): SimulatedWorker {
        const sizeOf = (task: TaskAddress) => this.#sizes.get(task.slice(0, task.indexOf("/"))) ?? 0;
        const worker = new SimulatedWorker(workerId(name), address, this.clock, this.history, sizeOf);
        worker.namesIncarnations = this.options.namesIncarnations ?? true;
        worker.maxListedEnds = this.options.maxListedEnds ?? Infinity;
        this.workers.push(worker);
        this.publishEntry(worker);
        return worker;
    }

    /** Number of owners so far. */
    get epoch(): number {
        return this.#epoch;
    }

    /** All records that were persisted. */
    get journal(): readonly CellRecord[] {
        return this.#journal;
    }

    /** Has another owner take over from the journal. `own`: differences of its VM. */
    replaceOwner(own: Partial<EntryVm> = {}): void {
        this.#ownerEnded.abort();
        this.#ownerEnded = createAbortController();
        const lost = this.#ownerEnded;
        this.#epoch++;
        this.#owner = undefined;
        this.closures.replaceOwner();
        const owner = new OwnerSession({
            journal: this.#makeJournal(lost.signal),
            contents: { epoch: epoch(this.#epoch), snapshot: undefined, records: [...this.#journal] },
            directory: this.directory,
            followLimits: { wait: 600, slack: 600 },
            clock: this.clock,
            logger: this.log,
            metrics: new EntryMetrics(),
            name: "vm-0",
            regions: new Map(),
            configuration: () => configuration,
            waves: () => [],
            formerLeaseLength: longestLease,
            confirmedAt: () => this.storeSilentSince ?? this.clock.monotonic(),
            keyConfirmedAt: () => this.keyConfirmedAt(),
            ownerLeaseLength: 1_000,
            confirm: () => undefined,
            lost,
            onSilentVm: () => undefined,
            preferred: () => undefined,
            onBetterVm: () => undefined,
            isIsolated: () => false,
            onConfiguration: () => undefined,
            toleratedHallLosses: 0,
            closures: () => this.closures.owner.closures,
            onClosures: closures => this.closures.owner.applyPeers(closures),
            operatorsCopy: () => undefined,
            upkeep: undefined,
        });
        this.#owner = owner;
        void owner.run();
        const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
        this.#vm.attach(vmEnd);
        owner.connect(makeVm("vm-0", own), ownerEnd);
    }

    /** Connects a VM that only listens to the owner; the kinds of messages are added to the result as they arrive. */
    connectListener(name: string, changes: Partial<EntryVm> = {}): string[] {
        const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
        const received: string[] = [];
        vmEnd.onMessage = ({ kind }) => void received.push(kind);
        this.owner.connect(makeVm(name, changes), ownerEnd);
        return received;
    }

    /** Publishes a worker's entry, by default with its current incarnation and address. */
    publishEntry(worker: SimulatedWorker, { address, born }: ListedIncarnation = worker, isDraining = false): void {
        const { id } = worker;
        this.directory.put({
            worker: id,
            ...(born === undefined ? {} : { life: born }),
            address,
            service,
            dataHall: this.hallOf(id),
            vm: vmId(`vm-of-${id}`),
            capacity: workerCapacity,
            labels: ["a", "r1"],
            rack: "r1",
            isDraining,
            leavesIn: isDraining ? 2_000 : undefined,
        });
    }

    /** Data hall of a worker: the first worker is alone in its hall. */
    hallOf(worker: WorkerId): DataHallName {
        return worker === this.workers[0].id ? firstHall : secondHall;
    }

    /** Records a start that is sent to a closed data hall. */
    noteStart(worker: WorkerId): void {
        if (this.closures.isInEffect(this.hallOf(worker))) {
            this.startsInClosedHalls.push(`${worker} at ${this.clock.monotonic()} ms`);
        }
    }

    /** Crashes a worker and restarts it under its id after a while, when its entry is published. */
    async restart(worker: SimulatedWorker, downtime: Milliseconds, options: WorkerStart = {}): Promise<void> {
        worker.crash();
        await this.advance(downtime);
        worker.start(options);
        this.publishEntry(worker);
    }

    /** Submits a job of equal tasks; rejects when it is not accepted. */
    async submit(name: string, payload: string, tasks = 1, changes: StepChanges = {}): Promise<void> {
        const reply = this.sendJob(name, payload, tasks, changes);
        await this.advance(50);
        if (await reply !== "accepted") {
            throw new Error(`${name} was not accepted`);
        }
    }

    /** Submits a job of equal tasks; resolves to the kind of the reply, undefined when the owner is lost meanwhile. */
    async sendJob(name: string, payload: string, tasks = 1, changes: StepChanges = {}): Promise<string | undefined> {
        this.#sizes.set(name, changes.size?.processorThousandths ?? smallTask.processorThousandths);
        const definition: JobDefinition = {
            job: name as JobDefinition["job"],
            queue,
            payload,
            steps: [makeStep({ taskCount: tasks, ...changes })],
            timetable: undefined,
        };
        return (await this.#vm.ask({ kind: "submit", definition }))?.kind;
    }

    /** Kind of the reply to a caller who asks for a job's state. */
    async askState(name: string): Promise<string | undefined> {
        const reply = this.#vm.ask({ kind: "state", job: name as JobDefinition["job"] });
        await this.advance(50);
        return (await reply)?.kind;
    }

    /** State of a job according to the owner. */
    stateOf(name: string): string | undefined {
        return this.owner.cell.stateOf(name as JobDefinition["job"]);
    }

    /** Descriptions of all duplicate runs. */
    duplicates(): string[] {
        return this.history.duplicates().map(describeDuplicate);
    }

    runsOf(name: string, task = 0): ReturnType<RunHistory["of"]> {
        return this.history.of(this.addressOf(name, task));
    }

    addressOf(name: string, task = 0): TaskAddress {
        return taskAddress(`${name}/0/0/${task}`);
    }

    /** Log events of one kind. */
    logged(event: LogEvent): LoggedEvent[] {
        return this.log.logged.filter(line => line.event === event);
    }

    /** Advances virtual time. */
    async advance(duration: Milliseconds): Promise<void> {
        for (let elapsed = 0; elapsed < duration; elapsed += step) {
            this.clock.advance(step);
            this.workers.forEach(worker => worker.tick());
            this.onStep();
            await settle();
        }
    }

    /** Advances virtual time until a condition holds, for `limit` at most; resolves to whether it holds. */
    async advanceUntil(condition: () => boolean, limit: Milliseconds): Promise<boolean> {
        for (let elapsed = 0; elapsed < limit && !condition(); elapsed += step) {
            await this.advance(step);
        }
        return condition();
    }

    /** Stops the owner and the VM. */
    end(): void {
        this.#ownerEnded.abort();
        this.#ended.abort();
    }

    #makeJournal(signal: AbortSignal): Journal {
        const journal = {
            epoch: epoch(this.#epoch),
            append: async (records: readonly CellRecord[]) => {
                await this.clock.sleep(this.options.journalTime ?? 0);
                while (this.storeSilentSince !== undefined) {
                    await this.clock.sleep(step);
                }
                if (!signal.aborted) {
                    this.#journal.push(...records);
                }
            },
            setSnapshotSource: () => undefined,
            waitingFor: () => 0,
            silentFor: () => this.clock.monotonic() - (this.storeSilentSince ?? this.clock.monotonic()),
            isOverdue: () => this.clock.monotonic() - (this.storeSilentSince ?? this.clock.monotonic()) > overdueAfter,
            stalledFor: () => 0,
        };
        return journal as unknown as Journal;
    }
}
