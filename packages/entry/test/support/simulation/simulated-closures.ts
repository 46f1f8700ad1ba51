/** Closures of data halls in a simulation: in the store, and as the owner and the VM with the links know them. */
import type { HallClosures } from "@pebbledale/cell";
import type { DataHallName, ManualClock, Milliseconds } from "@pebbledale/core";
import { HallClosureWatch } from "../../../src/index.js";
import { RecordingLogger } from "../observation.js";

/** Who reads the store; the other learns from messages alone. */
export type ClosureReaders = "both" | "vm" | "owner";

/** Called when the owner's or the VM's set of closed halls has changed. */
export interface ClosureListeners {
    readonly onOwnerChange: (closures: HallClosures) => void;
    readonly onVmChange: (closures: HallClosures) => void;
}

/** Time that messages may take from the reading of a closure to its effect. */
const effectTime: Milliseconds = 20;

/** Closes and reopens data halls. */
export class SimulatedClosures {
    readonly vm: HallClosureWatch;
    owner: HallClosureWatch;
    readonly #closedAt = new Map<DataHallName, Milliseconds>();
    #revision = 1;
    #readers: ClosureReaders = "both";

    constructor(private readonly clock: ManualClock, private readonly listeners: ClosureListeners) {
        this.vm = this.#watch(listeners.onVmChange);
        this.owner = this.#watch(listeners.onOwnerChange);
    }

    close(hall: DataHallName, readers: ClosureReaders): void {
        this.#closedAt.set(hall, this.clock.monotonic());
        this.#change(readers);
    }

    reopenAll(readers: ClosureReaders = this.#readers): void {
        this.#closedAt.clear();
        this.#change(readers);
    }

    /** Forgets what the owner knew, as the next one is another VM. */
    replaceOwner(): void {
        this.owner = this.#watch(this.listeners.onOwnerChange);
        this.#read();
    }

    /** Whether a hall has been closed for long enough that no start may be sent there. */
    isInEffect(hall: DataHallName): boolean {
        const closedAt = this.#closedAt.get(hall);
        return closedAt !== undefined && this.clock.monotonic() > closedAt + effectTime;
    }

    /** What is known to whom, for telling states of the simulation apart. */
    describe(): unknown {
        return [this.#readers, this.vm.closures.halls, this.owner.closures.halls];
    }

    #change(readers: ClosureReaders): void {
        this.#revision++;
        this.#readers = readers;
        this.#read();
    }

    #read(): void {
        const reading = { closed: [...this.#closedAt.keys()], reopened: [], revision: this.#revision };
        if (this.#readers !== "owner") {
            this.vm.replace(reading);
        }
        if (this.#readers !== "vm") {
            this.owner.replace(reading);
        }
    }

    #watch(onChange: (closures: HallClosures) => void): HallClosureWatch {
        return new HallClosureWatch({ logger: new RecordingLogger(), onChange });
    }
}
