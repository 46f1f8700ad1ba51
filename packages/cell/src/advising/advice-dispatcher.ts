/** Distribution of questions to the advice service over VMs. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { type AdvicePolicy, callDuration, maxAdviceWorkers } from "../advice/index.js";
import type { AdviceRequest } from "../state/index.js";
import { AnswerTimes } from "./answer-times.js";

/** Questions that take longer than this are slow. */
const slowQuestionTime: Milliseconds = 150;
/** Number of VMs reserved for quick questions, in addition to {@link quickVmShare}. */
const minQuickVms = 2;
/** Share of all VMs reserved for quick questions, in addition to {@link minQuickVms}. */
const quickVmShare = 0.06;
/** Delay in the order of waiting questions for each level of urgency. */
const urgencyOffset: Milliseconds = 300;
/** Upper bound of quick questions in flight for each VM. */
const maxInFlight = 8;

/**
 * The per-worker time of a part of a slow question is at least this share of the constant time of a call: smaller parts would occupy more
 * VMs and be answered hardly sooner.
 */
const minWorkerTimeShare = 1 / 3;
/** Share of the free VMs that one question may use, leaving others to the questions that follow. */
const freeVmShare = 1 / 2;

/** Component that asks the questions. */
export interface AdviceRequester {
    /** Whether the answer to a question about a step would still be of use. */
    isAdviceWanted(step: string): boolean;
    /** Called when a question is discarded because its answer would be of no use. */
    dropAdvice(step: string, workers: readonly WorkerId[]): void;
}

/** A VM that can call the advice service. */
interface AskingVm {
    readonly name: string;
    /** VMs of a group are about as far from the service; undefined where all are. */
    readonly group: string | undefined;
    readonly ask: (question: number, request: AdviceRequest, duration: Milliseconds) => void;
    readonly inFlight: Set<number>;
    /** When the service is expected to have answered all of this VM's questions. */
    busyUntil: Milliseconds;
}

/** A question, or the remainder of one, that waits for a free VM. */
interface WaitingQuestion {
    readonly request: AdviceRequest;
    /** When it was asked, plus a delay that grows as urgency falls. The lowest is sent first. */
    readonly sortTime: Milliseconds;
}

/** A question, or a part of one, that was sent to a VM. */
interface InFlightQuestion extends WaitingQuestion {
    readonly number: number;
    readonly vm: AskingVm;
    /** When the answer is due if the way to the service and back took no time. */
    readonly dueAt: Milliseconds;
}

/**
 * Distributes questions to the advice service over the VMs that can call it.
 *
 * The service answers one call at a time for each VM. Some VMs are therefore reserved for quick questions, which must not wait
 * behind slow ones. A slow question about many workers is split over several free VMs, so that all of its tickets are obtained in little
 * more than the time of one call and are valid together. Where VMs belong to groups, those of the group that is answered soonest come first.
 */
export class AdviceDispatcher {
    readonly #vms = new Map<string, AskingVm>();
    readonly #inFlight = new Map<number, InFlightQuestion>();
    #waiting: WaitingQuestion[] = [];
    #nextNumber = 1;
    readonly #answerTimes = new AnswerTimes();

    constructor(private readonly now: () => Milliseconds, private readonly requester: AdviceRequester) {}

    /** Adds a VM. `group`: VMs about as far from the service as this one; omitted where all are. */
    join(name: string, ask: AskingVm["ask"], group?: string): void {
        this.#vms.set(name, { name, group, ask, inFlight: new Set(), busyUntil: 0 });
        if (this.#answerTimes.soonest !== undefined) {
            this.#sortVms();
        }
        this.#dispatchWaiting();
    }

    /** Removes a VM. Its unanswered questions are sent to others. */
    leave(name: string): void {
        const vm = this.#vms.get(name);
        this.#vms.delete(name);
        for (const number of vm?.inFlight ?? []) {
            const question = this.#inFlight.get(number);
            if (question !== undefined) {
                this.#inFlight.delete(number);
                this.#waiting.unshift(question);
            }
        }
        this.#dispatchWaiting();
    }

    /** Sends questions, now or once VMs are free for them. */
    ask(...requests: readonly AdviceRequest[]): void {
        const now = this.now();
        requests.forEach(request => this.#waiting.push({ request, sortTime: now + request.urgency * urgencyOffset }));
        this.#dispatchWaiting();
    }

    /** Ends a question that was answered or failed. Returns the request, or undefined for an unknown number. */
    complete(number: number, isAnswered = true): AdviceRequest | undefined {
        const question = this.#inFlight.get(number);
        this.#inFlight.delete(number);
        if (question !== undefined) {
            this.#release(question, isAnswered);
        }
        this.#dispatchWaiting();
        return question?.request;
    }

    /** A failed question counts as a very late answer, as calls from a VM that is cut off from the service may fail at once. */
    #release({ vm, number, dueAt }: InFlightQuestion, isAnswered: boolean): void {
        const lateBy = isAnswered ? this.now() - dueAt : Infinity;
        if (vm.group !== undefined && this.#answerTimes.record(vm.group, lateBy)) {
            this.#sortVms();
        }
        vm.inFlight.delete(number);
        if (vm.inFlight.size === 0) {
            vm.busyUntil = 0;
        }
    }

    /** Puts the VMs that are answered soonest first: the first ones are reserved for quick questions. */
    #sortVms(): void {
        const rank = ({ group }: AskingVm) => group === this.#answerTimes.soonest ? 0 : 1;
        const sorted = [...this.#vms.values()].sort((left, right) => rank(left) - rank(right));
        this.#vms.clear();
        sorted.forEach(vm => this.#vms.set(vm.name, vm));
    }

    /** Expected delay of the answer to a question sent through the VM now, without the service's own time. */
    #delayOf(vm: AskingVm, now: Milliseconds): Milliseconds {
        return Math.max(0, vm.busyUntil - now) + this.#answerTimes.delayOf(vm.group);
    }

    /**
     * Sends waiting questions as far as VMs are free. Questions without a free VM are skipped cheaply: this runs after each answer, and
     * hundreds may wait after a change of owner.
     */
    #dispatchWaiting(): void {
        this.#waiting.sort((left, right) => left.sortTime - right.sortTime);
        const hasFree = { slow: this.#vmsFreeFor(true).length > 0, quick: this.#vmsFreeFor(false).length > 0 };
        const left: WaitingQuestion[] = [];
        for (const question of this.#waiting) {
            const kind = isSlow(question.request) ? "slow" : "quick";
            if (!hasFree[kind]) {
                left.push(question);
            }
            else if (!this.#dropUnwanted(question)) {
                const remainder = this.#send(question);
                hasFree[kind] = remainder.length === 0 && this.#vmsFreeFor(kind === "slow").length > 0;
                left.push(...remainder);
            }
        }
        this.#waiting = left;
    }

    /** Discards a question whose answer would be of no use; false when it is still wanted. */
    #dropUnwanted({ request: { step, workers } }: WaitingQuestion): boolean {
        if (this.requester.isAdviceWanted(step)) {
            return false;
        }
        this.requester.dropAdvice(step, workers);
        return true;
    }

    /** Sends a question to free VMs, in parts. Returns the remainder, if any. */
    #send(question: WaitingQuestion): WaitingQuestion[] {
        const { request, sortTime } = question;
        const size = this.#partSize(request);
        for (let next = 0; next < request.workers.length; next += size) {
            const part = { ...request, workers: request.workers.slice(next, next + size) };
            if (!this.#sendPart(part, sortTime)) {
                return [{ request: { ...request, workers: request.workers.slice(next) }, sortTime }];
            }
        }
        return [];
    }

    #sendPart(request: AdviceRequest, sortTime: Milliseconds): boolean {
        const free = this.#vmsFreeFor(isSlow(request));
        if (free.length === 0) {
            return false;
        }
        const now = this.now();
        const vm = free.reduce((best, other) => this.#delayOf(other, now) < this.#delayOf(best, now) ? other : best);
        const duration = callDuration(request.policy, request.workers.length);
        const number = this.#nextNumber++;
        vm.busyUntil = Math.max(vm.busyUntil, now) + duration;
        this.#inFlight.set(number, { number, request, sortTime, vm, dueAt: vm.busyUntil });
        vm.inFlight.add(number);
        vm.ask(number, request, duration);
        return true;
    }

    /** Number of workers in a part of a question. */
    #partSize(request: AdviceRequest): number {
        const { workers, policy } = request;
        if (!isSlow(request)) {
            return maxAdviceWorkers;
        }
        const parts = Math.max(1, Math.floor(this.#vmsFreeFor(true).length * freeVmShare));
        const size = Math.max(minPartSize(policy), Math.ceil(workers.length / parts));
        return Math.min(maxAdviceWorkers, size);
    }

    /** VMs that may be sent a slow or a quick question now. For quick ones, the VMs reserved for them come first. */
    #vmsFreeFor(isSlowQuestion: boolean): AskingVm[] {
        const all = [...this.#vms.values()];
        const quick = Math.min(Math.floor(all.length / 2), Math.floor(minQuickVms + all.length * quickVmShare));
        const candidates = !isSlowQuestion || all.length === 1 ? all : all.slice(quick);
        return candidates.filter(vm => isFreeFor(vm, isSlowQuestion));
    }
}

const isSlow = ({ policy, workers }: AdviceRequest): boolean => callDuration(policy, workers.length) > slowQuestionTime;

const minPartSize = ({ decision, eachWorker }: AdvicePolicy): number =>
    eachWorker === 0 ? maxAdviceWorkers : Math.ceil(decision * minWorkerTimeShare / eachWorker);

const isFreeFor = (vm: AskingVm, isSlowQuestion: boolean): boolean =>
    isSlowQuestion ? vm.inFlight.size === 0 : vm.inFlight.size < maxInFlight;
