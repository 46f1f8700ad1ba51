/** What may be amiss in a walk: calls that are lost or late, workers that crash and are back, an owner that is replaced. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import type { CallKind, CallOutcome, SimulatedWorker, SimulationWorld } from "../support/lives/index.js";
import type { Choices } from "./choices.js";

/** What becomes of a call, by name; the first one is the default. */
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
/** How long a worker that is cut off stays so. */
const disruptionTime: Milliseconds = 600;
/** Time between a worker's word that it leaves and its crash. */
const drainTime: Milliseconds = 100;
/** A worker that a task took down is back after this long. */
const restartTime: Milliseconds = 200;
/** An entry of a worker that is gone for good stays for this long. */
const entryTime: Milliseconds = 1_000;
/** How far a worker's time of day is set back. */
const clockStepBack: Milliseconds = -3_600_000;

/** What may befall a worker. */
const workerFaults: Readonly<Record<string, (faults: FaultInjector, machine: SimulatedWorker) => void>> = {
    "crashes and is back at once": (faults, machine) => faults.restart(machine, 30),
    "crashes, is back after 250 ms and listed 300 ms later": (faults, machine) =>
        faults.restart(machine, 250, { listedAfter: 300 }),
    "crashes and is back after 250 ms at another address": (faults, machine) =>
        faults.restart(machine, 250, { isElsewhere: true }),
    "crashes and is back after 100 ms with its time of day set back": (faults, machine) =>
        faults.restart(machine, 100, { clockStep: clockStepBack }),
    "crashes, and another worker is at its address after 250 ms": (faults, machine) =>
        faults.replaceWorker(machine, 250),
    "crashes for good": (faults, machine) => faults.removeWorker(machine),
    "its answers are lost for 600 ms": (faults, machine) =>
        faults.cut(machine, { executedAfter: 0, isAnswered: false }),
    "nothing reaches it for 600 ms": (faults, machine) =>
        faults.cut(machine, { executedAfter: undefined, isAnswered: false }),
    "is listed as it first was": (faults, machine) => faults.publishFirstEntry(machine),
    "says that it leaves, crashes 100 ms later and is back after 250 ms": (faults, machine) =>
        faults.drainAndRestart(machine),
};

/** Where lives have no names a worker that starts again has another id. */
const keepsId = (blow: string): boolean =>
    ["crashes and is back", "crashes, is back", "says that it leaves"].some(start => blow.startsWith(start));

/** How a worker is back. */
interface RestartOptions {
    readonly listedAfter?: Milliseconds;
    readonly isElsewhere?: boolean;
    readonly clockStep?: Milliseconds;
}

/** See the module's comment. */
export class FaultInjector {
    #isArmed = false;
    #due: { readonly at: Milliseconds; readonly act: () => void; }[] = [];
    readonly #disruptions = new Map<WorkerId, { readonly until: Milliseconds; readonly fate: CallOutcome; }>();
    readonly #removed = new Set<SimulatedWorker>();
    /** Workers that crashed and will be back. */
    readonly #restarting = new Set<SimulatedWorker>();
    #names = 0;

    constructor(private readonly world: SimulationWorld, private readonly choices: Choices) {
        world.onStep = () => this.#tick();
        world.network.outcomeOf = (kind, worker) => this.#outcomeOf(kind, worker);
        this.#firstEntries = new Map(
            world.workers.map(machine => [machine, { born: machine.born, address: machine.address }]),
        );
    }

    readonly #firstEntries: ReadonlyMap<
        SimulatedWorker,
        { readonly born: SimulatedWorker["born"]; readonly address: string; }
    >;

    /** From now on calls may be lost or late. */
    begin(): void {
        this.#isArmed = true;
    }

    /** One event, or none. */
    injectAt(at: Milliseconds): void {
        const { workers: machines } = this.world;
        const up = machines.filter(machine => machine.isUp && !this.#removed.has(machine));
        const names = Object.keys(workerFaults).filter(name => machines[0].namesIncarnations || !keepsId(name));
        const options = [
            nothing,
            ownerReplaced,
            ...up.flatMap(({ id }) => names.map(name => `${id} ${name}`)),
        ];
        const chosen = this.choices.choose(`at ${at} ms`, options);
        if (chosen === 1) {
            this.world.replaceOwner();
        }
        else if (chosen > 1) {
            const machine = up[Math.floor((chosen - 2) / names.length)];
            workerFaults[names[(chosen - 2) % names.length]](this, machine);
        }
    }

    /** Does what is due. A worker that a task took down is back soon. */
    #tick(): void {
        const now = this.world.clock.monotonic();
        for (const machine of this.world.workers) {
            if (!machine.isUp && !this.#removed.has(machine) && !this.#restarting.has(machine)) {
                this.restart(machine, restartTime);
            }
        }
        const due = this.#due.filter(({ at }) => at <= now);
        this.#due = this.#due.filter(({ at }) => at > now);
        due.forEach(({ act }) => act());
    }

    /** No more faults: each worker that is to be back is soon back, and listed as it is. */
    heal(): void {
        this.#isArmed = false;
        this.#disruptions.clear();
        this.world.workers.filter(machine => machine.isUp).forEach(machine => this.world.publishEntry(machine));
    }

    /** A worker crashes and starts again under its id. */
    restart(machine: SimulatedWorker, away: Milliseconds, how: RestartOptions = {}): void {
        const { listedAfter = 0, isElsewhere = false, clockStep = 0 } = how;
        machine.crash();
        this.#restarting.add(machine);
        this.#after(away, () => {
            this.#restarting.delete(machine);
            machine.start({ clockStep, ...(isElsewhere ? { address: this.#newAddress() } : {}) });
            this.#after(listedAfter, () => this.world.publishEntry(machine));
        });
    }

    /** A worker crashes for good. */
    removeWorker(machine: SimulatedWorker): void {
        machine.crash();
        this.#removed.add(machine);
        this.#after(entryTime, () => this.world.directory.remove(machine.id));
        // Someone has to do the work.
        this.#after(entryTime, () => this.world.addWorker(this.#newName(), this.#newAddress()));
    }

    /** A worker crashes, and one under another id starts where it was. */
    replaceWorker(machine: SimulatedWorker, away: Milliseconds): void {
        machine.crash();
        this.#removed.add(machine);
        this.#after(away, () => this.world.addWorker(this.#newName(), machine.address));
        this.#after(entryTime, () => this.world.directory.remove(machine.id));
    }

    /** Calls of a worker meet one fate for a while. */
    cut({ id }: SimulatedWorker, fate: CallOutcome): void {
        this.#disruptions.set(id, { until: this.world.clock.monotonic() + disruptionTime, fate });
    }

    /** The store shows an entry that is out of date, and after a while the present one. */
    publishFirstEntry(machine: SimulatedWorker): void {
        this.world.publishEntry(machine, this.#firstEntries.get(machine));
        this.#after(disruptionTime, () => this.world.publishEntry(machine));
    }

    /** A worker says that it leaves, crashes before it has left, and is back to stay. */
    drainAndRestart(machine: SimulatedWorker): void {
        this.world.publishEntry(machine, machine, true);
        this.#after(drainTime, () => machine.isUp && this.restart(machine, 250));
    }

    /** What is to come, for telling states apart. */
    describe(): unknown {
        const now = this.world.clock.monotonic();
        return [
            this.#due.map(({ at }) => at - now),
            [...this.#disruptions].filter(([, { until }]) => until > now).map(([id, { until }]) => [id, until - now]),
        ];
    }

    #outcomeOf(kind: CallKind, worker: WorkerId): CallOutcome {
        const cut = this.#disruptions.get(worker);
        if (cut !== undefined && cut.until > this.world.clock.monotonic()) {
            return cut.fate;
        }
        const options = Object.entries(callOutcomes[kind]);
        const chosen = this.#isArmed ? this.choices.choose(`${kind} at ${worker}`, options.map(([name]) => name)) : 0;
        return options[chosen][1];
    }

    #after(duration: Milliseconds, act: () => void): void {
        this.#due.push({ at: this.world.clock.monotonic() + duration, act });
    }

    #newAddress(): string {
        return `10.0.1.${++this.#names}:80`;
    }

    #newName(): string {
        return `n${++this.#names}`;
    }
}
