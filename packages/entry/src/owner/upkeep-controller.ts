/** Controller for waves of upkeep. */
import {
    type PlannedWorker,
    type UpkeepWave,
    type VmId,
    type VmOrderAnswer,
    type VmOrderIssuer,
    type VmService,
    WavePlanner,
    WaveState,
    type WaveStatusReporter,
} from "@pebbledale/cell";
import { type Clock, logEvents, type Milliseconds, type WorkerId } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";

/** Dependencies of the upkeep controller. */
export interface UpkeepControllerOptions {
    readonly vms: VmService;
    readonly waveReporter: WaveStatusReporter;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly issuer: VmOrderIssuer;
    /** Expected downtime of a VM. */
    readonly upkeepTime: Milliseconds;
    /** How long to wait after a takeover, as orders of the former owner may still be in effect. */
    readonly takeoverDelay: Milliseconds;
    readonly workerOf: (worker: WorkerId) => PlannedWorker;
    readonly closeWorkers: (closed: ReadonlySet<WorkerId>) => void;
    readonly signal: AbortSignal;
}

/**
 * Interval at which VMs are polled while a wave runs, in milliseconds; uses two of the sixty readings allowed per
 * second.
 */
const pollInterval: Milliseconds = 500;

/**
 * Carries out the waves of upkeep requested by operators while this VM is the owner: closes workers, orders VMs to
 * begin their upkeep and reports the state of each wave to the board.
 */
export class UpkeepController {
    readonly #planner: WavePlanner;
    readonly #reportedStates = new Map<number, WaveState>();
    #isRunning = false;

    constructor(private readonly options: UpkeepControllerOptions) {
        const { clock, workerOf, upkeepTime } = options;
        this.#planner = new WavePlanner({ now: () => clock.monotonic(), workerOf, upkeepTime });
    }

    /** Adds waves and starts processing them if necessary. */
    add(waves: readonly UpkeepWave[]): void {
        waves.forEach(wave => this.#planner.add(wave));
        if (this.#planner.isBusy && !this.#isRunning) {
            this.#isRunning = true;
            void this.#run();
        }
    }

    async #run(): Promise<void> {
        const { clock, signal, takeoverDelay: turnLength, logger, closeWorkers } = this.options;
        await clock.sleep(turnLength, signal);
        let hasRead = false;
        while (this.#planner.isBusy && !signal.aborted) {
            try {
                hasRead ||= await this.#readCompleted();
                await this.#runRound();
            }
            catch (cause) {
                logger.log(logEvents.upkeepFailed, { cause: String(cause) });
            }
            await clock.sleep(pollInterval, signal);
        }
        closeWorkers(new Set());
        this.#isRunning = false;
    }

    async #readCompleted(): Promise<true> {
        (await this.options.waveReporter.completed(this.options.signal)).forEach(wave =>
            this.#planner.noteCompleted(wave)
        );
        return true;
    }

    async #runRound(): Promise<void> {
        const { vms, signal, closeWorkers } = this.options;
        this.#planner.applyList(await vms.list(signal));
        const { closed, begin, states } = this.#planner.plan();
        closeWorkers(closed);
        await Promise.all(begin.map(({ wave, vm }) => this.#begin(wave, vm)));
        for (const [wave, state] of states) {
            await this.#reportState(wave, state);
        }
    }

    async #begin(wave: number, vm: VmId): Promise<void> {
        const { vms, issuer, signal, logger } = this.options;
        this.#planner.noteOrdered(wave, vm);
        const answer = await vms.beginUpkeep(vm, wave, issuer, signal).catch((): undefined => undefined);
        logger.log(logEvents.upkeepOrdered, { wave, vm, answer: answer?.kind ?? "none" });
        this.#handleAnswer(wave, vm, answer);
    }

    #handleAnswer(wave: number, vm: VmId, answer: VmOrderAnswer | undefined): void {
        if (answer?.kind === "done") {
            this.#planner.noteConfirmed(wave, vm);
        }
        else if (answer !== undefined) {
            this.#planner.noteRefused(wave, vm);
        }
    }

    async #reportState(wave: number, state: WaveState): Promise<void> {
        if (this.#reportedStates.get(wave) === state) {
            return;
        }
        await this.options.waveReporter.report(wave, state);
        this.#reportedStates.set(wave, state);
        if (state === WaveState.Completed) {
            this.#planner.noteCompleted(wave);
        }
        this.options.logger.log(logEvents.waveStateChanged, { wave, state });
    }
}
