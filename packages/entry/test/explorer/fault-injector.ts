/** Injection of faults into a simulation. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import {
    type CallKind,
    type CallOutcome,
    type ClosureReaders,
    firstHall,
    type SimulatedWorker,
    type SimulationWorld,
} from "../support/simulation/index.js";
import type { Choices } from "./choices.js";

/** Possible outcomes of calls by name; the first is the default. The names are part of stored walks. */
const callOutcomes: Readonly<Record<CallKind, Readonly<Record<string, CallOutcome>>>> = {
    start: {
        "delivered": { executedAfter: 0, isAnswered: true },
        "its answer is lost": { executedAfter: 0, isAnswered: false },
        "lost": { executedAfter: undefined, isAnswered: false },
        "carried out 110 ms late": { executedAfter: 110, isAnswered: true },
        "carried out 150 ms late, without an answer": { executedAfter: 150, isAnswered: false },
        "carried out 800 ms late, without an answer": { executedAfter: 800, isAnswered: false },
    },
    look: {
        "delivered": { executedAfter: 0, isAnswered: true },
        "its answer is lost": { executedAfter: 0, isAnswered: false },
        "lost": { executedAfter: undefined, isAnswered: false },
        "carried out 300 ms late, without an answer": { executedAfter: 300, isAnswered: false },
    },
    stop: {
        "delivered": { executedAfter: 0, isAnswered: true },
        "lost": { executedAfter: undefined, isAnswered: false },
    },
    pace: { "delivered": { executedAfter: 0, isAnswered: true } },
};

const nothing = "nothing";
const ownerReplaced = "the owner is replaced";
/** Duration of a disruption of a worker's calls. */
const disruptionTime: Milliseconds = 600;
/** Time between a worker's announcement that it drains and its crash. */
const drainTime: Milliseconds = 100;
/** Time until a worker that a task crashed is back. */
const restartTime: Milliseconds = 200;
/** Time until the entry of a removed worker disappears. */
const entryTime: Milliseconds = 1_000;
/** Shift of a worker's wall clock. */
const clockStepBack: Milliseconds = -3_600_000;

/** Faults of a worker by name. The names are part of stored walks. */
const workerFaults: Readonly<Record<string, (faults: FaultInjector, worker: SimulatedWorker) => void>> = {
    "crashes and is back at once": (faults, worker) => faults.restart(worker, 30),
    "crashes, is back after 250 ms and listed 300 ms later": (faults, worker) =>
        faults.restart(worker, 250, { listedAfter: 300 }),
    "crashes and is back after 250 ms at another address": (faults, worker) =>
        faults.restart(worker, 250, { isElsewhere: true }),
    "crashes and is back after 100 ms with its time of day set back": (faults, worker) =>
        faults.restart(worker, 100, { clockStep: clockStepBack }),
    "crashes, and another worker is at its address after 250 ms": (faults, worker) => faults.replaceWorker(worker, 250),
    "crashes for good": (faults, worker) => faults.removeWorker(worker),
    "its answers are lost for 600 ms": (faults, worker) =>
        faults.disruptCalls(worker, { executedAfter: 0, isAnswered: false }),
    "nothing reaches it for 600 ms": (faults, worker) =>
        faults.disruptCalls(worker, { executedAfter: undefined, isAnswered: false }),
    "is listed as it first was": (faults, worker) => faults.publishFirstEntry(worker),
    "says that it leaves, crashes 100 ms later and is back after 250 ms": (faults, worker) =>
        faults.drainAndRestart(worker),
};

/** Whether a fault restarts a worker under its id, which cannot happen where incarnations are not reported. */
const keepsId = (fault: string): boolean =>
    ["crashes and is back", "crashes, is back", "says that it leaves"].some(start => fault.startsWith(start));

/** Closures of the first worker's data hall, by name. The names are part of stored walks. */
const closures: Readonly<Record<string, ClosureReaders>> = {
    "its operators close a hall for 600 ms": "both",
    "its operators close a hall for 600 ms, which the owner does not read": "vm",
    "its operators close a hall for 600 ms, which the VM with the links does not read": "owner",
};
const closureTime: Milliseconds = 600;

/** How a worker restarts. */
interface RestartOptions {
    readonly listedAfter?: Milliseconds;
    readonly isElsewhere?: boolean;
    readonly clockStep?: Milliseconds;
}

/** Injects faults as a walk chooses: lost or late calls, crashes and restarts of workers, replacement of the owner. */
export class FaultInjector {
    #isArmed = false;
    #due: { readonly at: Milliseconds; readonly action: () => void; }[] = [];
    readonly #disruptions = new Map<WorkerId, { readonly until: Milliseconds; readonly outcome: CallOutcome; }>();
    readonly #removed = new Set<SimulatedWorker>();
    /** Workers that have crashed and will restart. */
    readonly #restarting = new Set<SimulatedWorker>();
    #nameCount = 0;

    constructor(private readonly world: SimulationWorld, private readonly choices: Choices) {
        world.onStep = () => this.#tick();
        world.network.outcomeOf = (kind, worker) => this.#outcomeOf(kind, worker);
        this.#firstEntries = new Map(
            world.workers.map(worker => [worker, { born: worker.born, address: worker.address }]),
        );
    }

    readonly #firstEntries: ReadonlyMap<
        SimulatedWorker,
        { readonly born: SimulatedWorker["born"]; readonly address: string; }
    >;

    /** Begins to choose the outcomes of calls; before, all calls are delivered. */
    begin(): void {
        this.#isArmed = true;
    }

    /** Injects one fault, or none. */
    injectAt(at: Milliseconds): void {
        const { workers } = this.world;
        const up = workers.filter(worker => worker.isUp && !this.#removed.has(worker));
        const names = Object.keys(workerFaults).filter(name => workers[0].namesIncarnations || !keepsId(name));
        const options = [
            nothing,
            ownerReplaced,
            ...up.flatMap(({ id }) => names.map(name => `${id} ${name}`)),
            ...Object.keys(closures),
        ];
        const chosen = this.choices.choose(`at ${at} ms`, options);
        if (chosen === 1) {
            this.world.replaceOwner();
        }
        else if (options[chosen] in closures) {
            this.closeHall(closures[options[chosen]]);
        }
        else if (chosen > 1) {
            const worker = up[Math.floor((chosen - 2) / names.length)];
            workerFaults[names[(chosen - 2) % names.length]](this, worker);
        }
    }

    /** Executes the actions that are due, and restarts workers that a task crashed. */
    #tick(): void {
        const now = this.world.clock.monotonic();
        for (const worker of this.world.workers) {
            if (!worker.isUp && !this.#removed.has(worker) && !this.#restarting.has(worker)) {
                this.restart(worker, restartTime);
            }
        }
        const due = this.#due.filter(({ at }) => at <= now);
        this.#due = this.#due.filter(({ at }) => at > now);
        due.forEach(({ action }) => action());
    }

    /** Ends all faults, and publishes the entries of all running workers as they are. */
    heal(): void {
        this.#isArmed = false;
        this.#disruptions.clear();
        this.world.closures.reopenAll("both");
        this.world.workers.filter(worker => worker.isUp).forEach(worker => this.world.publishEntry(worker));
    }

    /** Crashes a worker and restarts it under its id. */
    restart(worker: SimulatedWorker, downtime: Milliseconds, options: RestartOptions = {}): void {
        const { listedAfter = 0, isElsewhere = false, clockStep = 0 } = options;
        worker.crash();
        this.#restarting.add(worker);
        this.#after(downtime, () => {
            this.#restarting.delete(worker);
            worker.start({ clockStep, ...(isElsewhere ? { address: this.#newAddress() } : {}) });
            this.#after(listedAfter, () => this.world.publishEntry(worker));
        });
    }

    /** Crashes a worker permanently, and adds another in its place. */
    removeWorker(worker: SimulatedWorker): void {
        worker.crash();
        this.#removed.add(worker);
        this.#after(entryTime, () => this.world.directory.remove(worker.id));
        // A replacement, so that the jobs can be finished.
        this.#after(entryTime, () => this.world.addWorker(this.#newName(), this.#newAddress()));
    }

    /** Crashes a worker and starts one with another id at its address. */
    replaceWorker(worker: SimulatedWorker, downtime: Milliseconds): void {
        worker.crash();
        this.#removed.add(worker);
        this.#after(downtime, () => this.world.addWorker(this.#newName(), worker.address));
        this.#after(entryTime, () => this.world.directory.remove(worker.id));
    }

    /** Closes the first worker's data hall for a while. */
    closeHall(readers: ClosureReaders): void {
        this.world.closures.close(firstHall, readers);
        this.#after(closureTime, () => this.world.closures.reopenAll());
    }

    /** Gives all calls to a worker one outcome for a while. */
    disruptCalls({ id }: SimulatedWorker, outcome: CallOutcome): void {
        this.#disruptions.set(id, { until: this.world.clock.monotonic() + disruptionTime, outcome });
    }

    /** Publishes a worker's first entry, which is outdated, and after a while its current one. */
    publishFirstEntry(worker: SimulatedWorker): void {
        this.world.publishEntry(worker, this.#firstEntries.get(worker));
        this.#after(disruptionTime, () => this.world.publishEntry(worker));
    }

    /** Has a worker announce that it drains, and crashes and restarts it before it is drained. */
    drainAndRestart(worker: SimulatedWorker): void {
        this.world.publishEntry(worker, worker, true);
        this.#after(drainTime, () => worker.isUp && this.restart(worker, 250));
    }

    /** Pending events, for telling states of the simulation apart. */
    describe(): unknown {
        const now = this.world.clock.monotonic();
        return [
            this.#due.map(({ at }) => at - now),
            this.world.closures.describe(),
            [...this.#disruptions].filter(([, { until }]) => until > now).map(([id, { until }]) => [id, until - now]),
        ];
    }

    #outcomeOf(kind: CallKind, worker: WorkerId): CallOutcome {
        if (kind === "start") {
            this.world.noteStart(worker);
        }
        const disruption = this.#disruptions.get(worker);
        if (disruption !== undefined && disruption.until > this.world.clock.monotonic()) {
            return disruption.outcome;
        }
        const options = Object.entries(callOutcomes[kind]);
        const chosen = this.#isArmed ? this.choices.choose(`${kind} at ${worker}`, options.map(([name]) => name)) : 0;
        return options[chosen][1];
    }

    #after(duration: Milliseconds, action: () => void): void {
        this.#due.push({ at: this.world.clock.monotonic() + duration, action });
    }

    #newAddress(): string {
        return `10.0.1.${++this.#nameCount}:80`;
    }

    #newName(): string {
        return `n${++this.#nameCount}`;
    }
}
