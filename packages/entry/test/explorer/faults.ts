/** Injection of faults into a simulation. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import type { CallKind, Fate, LivesWorld, Machine } from "../support/lives/index.js";
import type { Choices } from "./choices.js";

/** Possible outcomes of calls by name; the first is the default. The names are part of stored walks. */
const fates: Readonly<Record<CallKind, Readonly<Record<string, Fate>>>> = {
    start: {
        "delivered": { carriedOutAfter: 0, isAnswered: true },
        "its answer is lost": { carriedOutAfter: 0, isAnswered: false },
        "lost": { carriedOutAfter: undefined, isAnswered: false },
        "carried out 110 ms late": { carriedOutAfter: 110, isAnswered: true },
        "carried out 150 ms late, without an answer": { carriedOutAfter: 150, isAnswered: false },
        "carried out 800 ms late, without an answer": { carriedOutAfter: 800, isAnswered: false },
    },
    look: {
        "delivered": { carriedOutAfter: 0, isAnswered: true },
        "its answer is lost": { carriedOutAfter: 0, isAnswered: false },
        "lost": { carriedOutAfter: undefined, isAnswered: false },
        "carried out 300 ms late, without an answer": { carriedOutAfter: 300, isAnswered: false },
    },
    stop: {
        "delivered": { carriedOutAfter: 0, isAnswered: true },
        "lost": { carriedOutAfter: undefined, isAnswered: false },
    },
    pace: { "delivered": { carriedOutAfter: 0, isAnswered: true } },
};

const nothing = "nothing";
const ownerReplaced = "the owner is replaced";
/** Duration of a disruption of a worker's calls. */
const cutTime: Milliseconds = 600;
/** Time between a worker's announcement that it drains and its crash. */
const slotOfLeaving: Milliseconds = 100;
/** Time until a worker that a task crashed is back. */
const returnTime: Milliseconds = 200;
/** Time until the entry of a removed worker disappears. */
const entryTime: Milliseconds = 1_000;
/** Shift of a worker's wall clock. */
const clockStepBack: Milliseconds = -3_600_000;

/** Faults of a worker by name. The names are part of stored walks. */
const blows: Readonly<Record<string, (faults: Faults, machine: Machine) => void>> = {
    "crashes and is back at once": (faults, machine) => faults.restart(machine, 30),
    "crashes, is back after 250 ms and listed 300 ms later": (faults, machine) =>
        faults.restart(machine, 250, { listedAfter: 300 }),
    "crashes and is back after 250 ms at another address": (faults, machine) =>
        faults.restart(machine, 250, { isElsewhere: true }),
    "crashes and is back after 100 ms with its time of day set back": (faults, machine) =>
        faults.restart(machine, 100, { clockStep: clockStepBack }),
    "crashes, and another worker is at its address after 250 ms": (faults, machine) => faults.replace(machine, 250),
    "crashes for good": (faults, machine) => faults.lose(machine),
    "its answers are lost for 600 ms": (faults, machine) =>
        faults.cut(machine, { carriedOutAfter: 0, isAnswered: false }),
    "nothing reaches it for 600 ms": (faults, machine) =>
        faults.cut(machine, { carriedOutAfter: undefined, isAnswered: false }),
    "is listed as it first was": (faults, machine) => faults.listAsAtFirst(machine),
    "says that it leaves, crashes 100 ms later and is back after 250 ms": (faults, machine) => faults.leave(machine),
};

/** Whether a fault restarts a worker under its id, which cannot happen where incarnations are not reported. */
const isUnderItsId = (blow: string): boolean =>
    ["crashes and is back", "crashes, is back", "says that it leaves"].some(start => blow.startsWith(start));

/** How a worker restarts. */
interface Return {
    readonly listedAfter?: Milliseconds;
    readonly isElsewhere?: boolean;
    readonly clockStep?: Milliseconds;
}

/** Injects faults as a walk chooses: lost or late calls, crashes and restarts of workers, replacement of the owner. */
export class Faults {
    #isArmed = false;
    #due: { readonly at: Milliseconds; readonly act: () => void; }[] = [];
    readonly #cuts = new Map<WorkerId, { readonly until: Milliseconds; readonly fate: Fate; }>();
    readonly #gone = new Set<Machine>();
    /** Workers that have crashed and will restart. */
    readonly #away = new Set<Machine>();
    #names = 0;

    constructor(private readonly world: LivesWorld, private readonly choices: Choices) {
        world.onStep = () => this.#tick();
        world.network.fateOf = (kind, worker) => this.#fateOf(kind, worker);
        this.#first = new Map(
            world.machines.map(machine => [machine, { born: machine.born, address: machine.address }]),
        );
    }

    readonly #first: ReadonlyMap<Machine, { readonly born: Machine["born"]; readonly address: string; }>;

    /** From now on outcomes of calls are chosen. */
    begin(): void {
        this.#isArmed = true;
    }

    /** Injects one fault, or none. */
    strike(at: Milliseconds): void {
        const { machines } = this.world;
        const up = machines.filter(machine => machine.isUp && !this.#gone.has(machine));
        const names = Object.keys(blows).filter(name => machines[0].namesLives || !isUnderItsId(name));
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
            blows[names[(chosen - 2) % names.length]](this, machine);
        }
    }

    /** Executes what is due. Workers that a task crashed are restarted. */
    #tick(): void {
        const now = this.world.clock.monotonic();
        for (const machine of this.world.machines) {
            if (!machine.isUp && !this.#gone.has(machine) && !this.#away.has(machine)) {
                this.restart(machine, returnTime);
            }
        }
        const due = this.#due.filter(({ at }) => at <= now);
        this.#due = this.#due.filter(({ at }) => at > now);
        due.forEach(({ act }) => act());
    }

    /** Ends all faults, and publishes the entries of all running workers as they are. */
    heal(): void {
        this.#isArmed = false;
        this.#cuts.clear();
        this.world.machines.filter(machine => machine.isUp).forEach(machine => this.world.list(machine));
    }

    /** Crashes a worker and restarts it under its id. */
    restart(machine: Machine, away: Milliseconds, how: Return = {}): void {
        const { listedAfter = 0, isElsewhere = false, clockStep = 0 } = how;
        machine.crash();
        this.#away.add(machine);
        this.#after(away, () => {
            this.#away.delete(machine);
            machine.start({ clockStep, ...(isElsewhere ? { address: this.#newAddress() } : {}) });
            this.#after(listedAfter, () => this.world.list(machine));
        });
    }

    /** Crashes a worker for good. */
    lose(machine: Machine): void {
        machine.crash();
        this.#gone.add(machine);
        this.#after(entryTime, () => this.world.directory.remove(machine.id));
        // A replacement, so that the jobs can be finished.
        this.#after(entryTime, () => this.world.addMachine(this.#newName(), this.#newAddress()));
    }

    /** Crashes a worker and starts one with another id at its address. */
    replace(machine: Machine, away: Milliseconds): void {
        machine.crash();
        this.#gone.add(machine);
        this.#after(away, () => this.world.addMachine(this.#newName(), machine.address));
        this.#after(entryTime, () => this.world.directory.remove(machine.id));
    }

    /** Gives all calls to a worker one outcome for a while. */
    cut({ id }: Machine, fate: Fate): void {
        this.#cuts.set(id, { until: this.world.clock.monotonic() + cutTime, fate });
    }

    /** Publishes a worker's first entry, which is outdated, and after a while its present one. */
    listAsAtFirst(machine: Machine): void {
        this.world.list(machine, this.#first.get(machine));
        this.#after(cutTime, () => this.world.list(machine));
    }

    /** Has a worker announce that it drains, and crashes and restarts it before it is drained. */
    leave(machine: Machine): void {
        this.world.list(machine, machine, true);
        this.#after(slotOfLeaving, () => machine.isUp && this.restart(machine, 250));
    }

    /** Pending events, for telling states of the simulation apart. */
    describe(): unknown {
        const now = this.world.clock.monotonic();
        return [
            this.#due.map(({ at }) => at - now),
            [...this.#cuts].filter(([, { until }]) => until > now).map(([id, { until }]) => [id, until - now]),
        ];
    }

    #fateOf(kind: CallKind, worker: WorkerId): Fate {
        const cut = this.#cuts.get(worker);
        if (cut !== undefined && cut.until > this.world.clock.monotonic()) {
            return cut.fate;
        }
        const options = Object.entries(fates[kind]);
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
