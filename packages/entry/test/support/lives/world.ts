/**
 * A cell in the tests' time: the real owner with its decisions, the real sessions and links of its VMs, and workers that keep the
 * protocol to the letter and may be started again under their ids.
 */
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
    type OwnerMessage,
    OwnerSession,
    type VmMessage,
    VmSession,
} from "../../../src/index.js";
import { configuration, queue, service } from "../configuration.js";
import { makeVm, settle } from "../index.js";
import { type LoggedEvent, RecordingLogger } from "../observation.js";
import { makeStep, smallTask } from "../steps.js";
import { longestLease, SimulatedWorker, type WorkerStart } from "./machine.js";
import { SimulatedNetwork } from "./network.js";
import { describeDuplicate, RunHistory } from "./record.js";

/** What a worker has. */
const room = { processorThousandths: 8_000, memoryMebibytes: 32_768, accelerators: 0 };
/** Time is moved on in steps of this length. */
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

/** A life of a worker as the store lists it. */
export type ListedIncarnation = Pick<SimulatedWorker, "address" | "born">;

/** How a job's one step differs from a plain one of small tasks. */
export type StepChanges = Partial<JobDefinition["steps"][0]>;

/** How a world begins. */
export interface SimulationOptions {
    readonly workers: number;
    /** Whether workers name their lives. */
    readonly namesIncarnations?: boolean;
    /** How long the store takes to keep a record. */
    readonly journalTime?: Milliseconds;
}

/** See the module's comment. */
export class SimulationWorld {
    readonly clock = new ManualClock();
    readonly history = new RunHistory();
    readonly workers: SimulatedWorker[] = [];
    readonly network = new SimulatedNetwork(this.clock, this.workers);
    readonly log = new RecordingLogger();
    readonly directory = new InMemoryWorkerDirectory(this.clock);
    /** When the store last renewed the owner's key. */
    keyConfirmedAt: () => Milliseconds = () => this.clock.monotonic();
    /** Since when the store has been silent; undefined while it answers. */
    storeSilentSince: Milliseconds | undefined;
    /** Called in each step of time. */
    onStep: () => void = () => undefined;
    readonly #journal: CellRecord[] = [];
    /** By job, what each of its tasks asks for. */
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
            onOwnerChange: () => undefined,
        });
        void this.#vm.run(this.#ended.signal);
    }

    /** A world whose owner has seen all workers. */
    static async begin(options: SimulationOptions): Promise<SimulationWorld> {
        const world = new SimulationWorld(options);
        world.replaceOwner();
        await world.advance(200);
        return world;
    }

    /** The owner of the moment. */
    get owner(): OwnerSession {
        return this.#owner!;
    }

    /** A worker that nobody knew starts at an address and is listed. */
    addWorker(name: string, address: string): SimulatedWorker {
        const sizeOf = (task: TaskAddress) => this.#sizes.get(task.slice(0, task.indexOf("/"))) ?? 0;
        const machine = new SimulatedWorker(workerId(name), address, this.clock, this.history, sizeOf);
        machine.namesIncarnations = this.options.namesIncarnations ?? true;
        this.workers.push(machine);
        this.publishEntry(machine);
        return machine;
    }

    /** Counts the owners. */
    get epoch(): number {
        return this.#epoch;
    }

    /** What is kept of all that was decided. */
    get journal(): readonly CellRecord[] {
        return this.#journal;
    }

    /** Another owner takes over with what the journal holds. */
    replaceOwner(): void {
        this.#ownerEnded.abort();
        this.#ownerEnded = createAbortController();
        const lost = this.#ownerEnded;
        this.#epoch++;
        const owner = new OwnerSession({
            journal: this.#makeJournal(lost.signal),
            contents: { epoch: epoch(this.#epoch), snapshot: undefined, records: [...this.#journal] },
            directory: this.directory,
            followLimits: { wait: 600, slack: 600 },
            clock: this.clock,
            logger: this.log,
            metrics: new EntryMetrics(),
            name: "vm-0",
            configuration,
            formerLeaseLength: longestLease,
            confirmedAt: () => this.storeSilentSince ?? this.clock.monotonic(),
            keyConfirmedAt: () => this.keyConfirmedAt(),
            ownerLease: 1_000,
            confirm: () => undefined,
            lost,
            onSilentVm: () => undefined,
            onLargerVm: () => undefined,
            isIsolated: () => false,
            onConfiguration: () => undefined,
            upkeep: undefined,
        });
        this.#owner = owner;
        void owner.run();
        const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
        this.#vm.attach(vmEnd);
        owner.connect(makeVm("vm-0"), ownerEnd);
    }

    /** Connects a VM that takes nothing but the owner's words; resolves to their kinds, as they come. */
    connectListener(name: string): string[] {
        const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
        const heard: string[] = [];
        vmEnd.onMessage = ({ kind }) => void heard.push(kind);
        this.owner.connect(makeVm(name), ownerEnd);
        return heard;
    }

    /** Lists a worker as it is at the moment, or as another life of it. */
    publishEntry(machine: SimulatedWorker, { address, born }: ListedIncarnation = machine, isDraining = false): void {
        const { id } = machine;
        this.directory.put({
            worker: id,
            ...(born === undefined ? {} : { life: born }),
            address,
            service,
            dataHall: "hall-a",
            vm: vmId(`vm-of-${id}`),
            capacity: room,
            labels: ["a", "r1"],
            rack: "r1",
            isDraining,
            leavesIn: isDraining ? 2_000 : undefined,
        });
    }

    /** A worker crashes, is back after a while under its id, and is listed then. */
    async restart(machine: SimulatedWorker, away: Milliseconds, how: WorkerStart = {}): Promise<void> {
        machine.crash();
        await this.advance(away);
        machine.start(how);
        this.publishEntry(machine);
    }

    /** Hands in a job of equal tasks; resolves once it is accepted. */
    async submit(name: string, payload: string, tasks = 1, changes: StepChanges = {}): Promise<void> {
        const reply = this.sendJob(name, payload, tasks, changes);
        await this.advance(50);
        if (await reply !== "accepted") {
            throw new Error(`${name} was not accepted`);
        }
    }

    /** Hands in a job of equal tasks; resolves to what its caller is told: nothing where the owner is lost meanwhile. */
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

    /** What a caller is told that asks for a job's state. */
    async askState(name: string): Promise<string | undefined> {
        const reply = this.#vm.ask({ kind: "state", job: name as JobDefinition["job"] });
        await this.advance(50);
        return (await reply)?.kind;
    }

    /** The state that the caller of a job is told. */
    stateOf(name: string): string | undefined {
        return this.owner.cell.stateOf(name as JobDefinition["job"]);
    }

    /** What was started although it was done or at work, a line each. */
    duplicates(): string[] {
        return this.history.duplicates().map(describeDuplicate);
    }

    /** The runs of a job's task. */
    runsOf(name: string, task = 0): ReturnType<RunHistory["of"]> {
        return this.history.of(this.addressOf(name, task));
    }

    /** The address of a job's task. */
    addressOf(name: string, task = 0): TaskAddress {
        return taskAddress(`${name}/0/0/${task}`);
    }

    /** What was logged of one kind. */
    logged(event: LogEvent): LoggedEvent[] {
        return this.log.logged.filter(line => line.event === event);
    }

    /** Moves time on. */
    async advance(duration: Milliseconds): Promise<void> {
        for (let elapsed = 0; elapsed < duration; elapsed += step) {
            this.clock.advance(step);
            this.workers.forEach(machine => machine.tick());
            this.onStep();
            await settle();
        }
    }

    /** Moves time on until something is so, for `limit` at most; whether it is. */
    async advanceUntil(isTrue: () => boolean, limit: Milliseconds): Promise<boolean> {
        for (let elapsed = 0; elapsed < limit && !isTrue(); elapsed += step) {
            await this.advance(step);
        }
        return isTrue();
    }

    /** Ends all that runs. */
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
            stalledFor: () => 0,
        };
        return journal as unknown as Journal;
    }
}
